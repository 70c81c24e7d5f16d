// Ends connections whose other side may still be writing: what was answered must not be lost to a reset.
#ifndef LIFTRUDDER_NET_LINGERING_CLOSER_H_
#define LIFTRUDDER_NET_LINGERING_CLOSER_H_

#include <atomic>
#include <condition_variable>
#include <list>
#include <mutex>

#include "net/socket.h"

namespace liftrudder::net {

class LingeringCloser {
 public:
  // Holds at most so many connections; beyond that the oldest is closed as it is.
  explicit LingeringCloser(std::size_t most);
  ~LingeringCloser();

  // Ends our writing, throws away what still comes, bounded in bytes and time, and closes. Never blocks.
  void Take(Fd fd);
  void Resize(std::size_t most);
  // Whether none is held any more within that time.
  bool WaitEmpty(Micros wait_us);

 private:
  struct One {
    Fd fd;
    Micros until_us = 0;
    std::size_t left = 0;  // bytes that are still thrown away
  };
  void Loop();
  void Sweep();

  std::size_t most_;  // under the lock
  SteadyClock clock_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable emptied_;
  std::list<One> all_;
  Fd waker_;
  Thread thread_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_LINGERING_CLOSER_H_
