// Closes connections whose client may still be sending: a close with unread bytes would reset the connection,
// and the client could lose the response that was written last. Reads and discards instead, for a bounded
// time.
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

// Any thread; one thread of its own does the reading.
class LingeringCloser {
 public:
  // Holds at most `max_connections`; beyond that the oldest is closed as it is.
  explicit LingeringCloser(std::size_t max_connections);
  // Closes what it still holds as it is.
  ~LingeringCloser();
  LingeringCloser(const LingeringCloser&) = delete;
  LingeringCloser& operator=(const LingeringCloser&) = delete;

  // Ends our side of the connection, discards what still arrives, and closes it. Never blocks.
  void Take(Fd fd);
  void Resize(std::size_t max_connections);
  // Whether all connections have been closed within that time.
  bool WaitEmpty(Micros wait_us);

 private:
  struct Connection {
    Fd fd;
    Micros deadline_us = 0;
    std::size_t remaining_bytes = 0;  // that are still discarded
  };
  void Run();
  void DiscardAll();

  const SteadyClock clock_;
  const Waker waker_;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;  // guards everything below but `thread_`
  std::size_t max_connections_;
  std::condition_variable emptied_;
  std::list<Connection> connections_;  // the oldest first
  Thread thread_;                      // last: it uses everything above
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_LINGERING_CLOSER_H_
