// Wakes a thread that waits in poll or epoll_wait. Any thread may call Wake; the waiting thread calls Drain.
#ifndef LIFTRUDDER_NET_WAKER_H_
#define LIFTRUDDER_NET_WAKER_H_

#include "net/socket.h"

namespace liftrudder::net {

class Waker {
 public:
  Waker();
  // Readable from Wake until Drain.
  const Fd& fd() const { return fd_; }
  void Wake() const;
  // Consumes all earlier wakes.
  void Drain() const;

 private:
  const Fd fd_;  // an eventfd
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_WAKER_H_
