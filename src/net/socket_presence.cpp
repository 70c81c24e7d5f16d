#include "net/socket_presence.h"

#include "net/socket.h"

namespace liftrudder::net {

bool SocketPresence::CheckDisconnected() const {
  if (Disconnected()) return true;
  std::lock_guard lock(mutex_);
  return fd_ >= 0 && PeerHungUp(fd_);
}

void SocketPresence::Detach() {
  std::lock_guard lock(mutex_);
  fd_ = -1;
}

}  // namespace liftrudder::net
