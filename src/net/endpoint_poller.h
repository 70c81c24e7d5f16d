// Waits for readiness of the pool's sockets and for the next sweep of their time limits. Identifies
// connections by id only. Wait is called on the pool's thread without the pool's lock, everything else with
// the lock held.
#ifndef LIFTRUDDER_NET_ENDPOINT_POLLER_H_
#define LIFTRUDDER_NET_ENDPOINT_POLLER_H_

#include <vector>

#include "net/attempt_registry.h"
#include "net/socket.h"
#include "net/waker.h"

namespace liftrudder::net {

class EndpointPoller {
 public:
  struct Event {
    ConnectionId connection = kNoConnection;
    bool writable = false;  // or in an error state, which a write reports
  };
  // The longest time between two sweeps of the connections' time limits.
  static constexpr Micros kSweepIntervalUs = 100'000;

  EndpointPoller();

  // Starts reporting readability and writability; the latter completes a connect. Closing the descriptor
  // stops the reports.
  void Watch(ConnectionId id, const Fd& fd);
  void SetWriteInterest(ConnectionId id, const Fd& fd, bool write_interest);
  // Blocks until an event, Wake or the timeout. The events stay valid until the next call.
  const std::vector<Event>& Wait();
  // Ends a Wait early.
  void Wake() { waker_.Wake(); }

  // Marks the thread as awake: no Wake is needed until EndTurn. Consumes earlier wakes.
  void BeginTurn();
  bool SweepIsDue(Micros now_us) const { return now_us >= next_sweep_us_; }
  void SetNextSweep(Micros at_us) { next_sweep_us_ = at_us; }
  // Brings the next sweep forward, and wakes the thread if it would sleep past it.
  void SweepNoLaterThan(Micros at_us);
  // Computes the next Wait's timeout; `now_us` is when this turn checked whether a sweep was due.
  void EndTurn(Micros now_us);

 private:
  void Control(int operation, ConnectionId id, const Fd& fd, std::uint32_t interest) const;

  Fd epoll_;
  Waker waker_;
  std::vector<Event> events_;  // the pool's thread only, like the next two members
  bool woken_ = false;         // the last Wait ended by Wake
  Micros wait_us_ = kSweepIntervalUs;
  Micros asleep_until_us_ = 0;  // 0 while the thread is awake; under the pool's lock
  Micros next_sweep_us_ = 0;    // under the pool's lock
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ENDPOINT_POLLER_H_
