// Closes connections whose client may still be sending. A close with unread bytes would reset the connection,
// and the client could lose the last response, so the bytes are first read and discarded for a bounded time.
#ifndef LIFTRUDDER_NET_LINGERING_CLOSER_H_
#define LIFTRUDDER_NET_LINGERING_CLOSER_H_

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <list>
#include <mutex>

#include "net/socket.h"
#include "net/waker.h"

namespace liftrudder::net {

// Thread-safe; a dedicated thread does the reading.
class LingeringCloser {
 public:
  // Holds at most `max_connections`; beyond that the oldest is closed immediately.
  explicit LingeringCloser(std::size_t max_connections);
  // Closes the connections that it still holds immediately.
  ~LingeringCloser();
  LingeringCloser(const LingeringCloser&) = delete;
  LingeringCloser& operator=(const LingeringCloser&) = delete;

  // Takes over the connection: shuts down its write side, then discards what still arrives and closes it in
  // the background. Never blocks.
  void Take(Fd fd);
  void Resize(std::size_t max_connections);
  // Waits until all connections have been closed; returns false if that takes longer than `wait_us`.
  bool WaitEmpty(Micros wait_us);

 private:
  struct Connection {
    Fd fd;
    Micros deadline_us = 0;
    std::size_t remaining_bytes = 0;  // that may still be discarded
  };
  void Run();
  void DiscardAll();

  const SteadyClock clock_;
  const Waker waker_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;  // guards everything below except `thread_`
  std::size_t max_connections_;
  std::condition_variable emptied_;
  std::list<Connection> connections_;  // oldest first
  Thread thread_;                      // declared last: the thread uses all members above
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_LINGERING_CLOSER_H_
