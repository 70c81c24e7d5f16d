// Whether the client of a request is still connected, as its socket shows: the front's reader thread may be
// behind with the events of its connections.
#ifndef LIFTRUDDER_NET_SOCKET_PRESENCE_H_
#define LIFTRUDDER_NET_SOCKET_PRESENCE_H_

#include <mutex>

#include "coordinator/messages.h"

namespace liftrudder::net {

// Thread-safe.
class SocketPresence : public coordinator::ClientPresence {
 public:
  // `fd` is the client's socket; it must stay open until Detach is called.
  explicit SocketPresence(int fd) : fd_(fd) {}
  bool CheckDisconnected() const override;
  // The request has been answered, or its connection is about to be closed: the socket is not used any more.
  void Detach();

 private:
  mutable std::mutex mutex_;  // guards fd_; held while the socket is looked at, which does not block
  int fd_;                    // -1 once detached
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_SOCKET_PRESENCE_H_
