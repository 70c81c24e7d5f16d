// Waits for readiness of the pool's connections and for the next time at which something may be overdue.
// It knows connections by id only. Wait is called by the pool's thread without the pool's lock; everything
// else under it.
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
  // How often the thread looks for what is overdue at least.
  static constexpr Micros kSweepInterval = 100'000;

  EndpointPoller();

  // Reports both readability and writability; a connection attempt ends with the latter. Closing the
  // descriptor ends it.
  void Watch(ConnectionId id, const Fd& fd);
  void SetWriteInterest(ConnectionId id, const Fd& fd, bool write_interest);
  // Blocks until an event, Wake or the timeout. The events stay valid until the next call.
  const std::vector<Event>& Wait();
  // Ends a Wait early.
  void Wake() { waker_.Wake(); }

  // The thread is awake and handles events: no Wake is needed until EndTurn, and earlier ones are consumed.
  void BeginTurn();
  bool SweepIsDue(Micros now_us) const { return now_us >= next_sweep_us_; }
  void SetNextSweep(Micros at_us) { next_sweep_us_ = at_us; }
  // Brings the next sweep forward, and wakes the thread if it would sleep past it.
  void SweepNoLaterThan(Micros at_us);
  // Computes the next Wait's timeout; `now_us` is when this turn looked for what is overdue.
  void EndTurn(Micros now_us);

 private:
  void Control(int operation, ConnectionId id, const Fd& fd, std::uint32_t interest) const;

  Fd epoll_;
  Waker waker_;
  std::vector<Event> events_;  // the pool's thread only, as are the next two
  bool woken_ = false;         // the last Wait ended by Wake
  Micros wait_us_ = kSweepInterval;
  Micros asleep_until_us_ = 0;  // 0 while the thread is awake; under the pool's lock
  Micros next_sweep_us_ = 0;    // under the pool's lock
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ENDPOINT_POLLER_H_
