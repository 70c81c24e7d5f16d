// A client's connection: its socket, with TLS over it where its listener has that. What is read and written
// is what the client means.
#ifndef LIFTRUDDER_NET_CLIENT_CONNECTION_H_
#define LIFTRUDDER_NET_CLIENT_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include "net/socket.h"
#include "net/tls.h"

namespace liftrudder::net {

// Not for several threads at once.
class ClientConnection {
 public:
  ClientConnection() = default;
  // `tls` null: none. The connection keeps the context that is newest now.
  ClientConnection(Fd fd, const TlsSource* tls)
      : fd_(std::move(fd)), source_(tls), context_(tls == nullptr ? nullptr : tls->Get()) {}

  // Appends what is there, a bounded amount, without waiting. kTimeout: nothing of a request, though a
  // handshake may have gone on. kEnd also on a client that says it writes no more, kError on one cut or at
  // fault.
  Io Read(std::string& plain);
  Written Write(std::string_view plain, Micros wait_us);
  // What there is to see beyond what was read: the next Read gets it.
  Sight See();
  // The last word is said, that a cut is told from it; then the socket, for whoever reads it to its end.
  Fd Finish();
  Fd Release() { return std::move(fd_); }

  int fd() const { return fd_.Get(); }
  // A handshake has begun and is not over.
  bool Shaking() const { return channel_ != nullptr && channel_->state() == TlsChannel::State::kShaking; }
  const TlsChannel* channel() const { return channel_.get(); }
  // The client's certificate, and in `wrong` why it is not good any more: held against the newest files each
  // time they have changed, and against the clock every kRecheck. Null: none was shown, or none is asked for
  // now.
  const TlsPeer* Peer(Micros now_us, std::string& wrong);

 private:
  static constexpr Micros kRecheck = 1'000'000;

  Fd fd_;
  const TlsSource* source_ = nullptr;
  std::shared_ptr<const TlsContext> context_;
  std::unique_ptr<TlsChannel> channel_;             // from the first byte on: a mute client costs none
  std::string early_;                               // what See has read
  std::shared_ptr<const TlsContext> held_against_;  // by Peer, when, and what it found
  Micros held_us_ = 0;
  std::string peer_wrong_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_CLIENT_CONNECTION_H_
