// When an idle connection is too old to be used: something on the way may drop connections that are unused
// for some time, unseen by either end. The time is learnt from shard requests that got no reply after they
// went out on a long-idle connection. Owned by one router; not thread-safe; it closes nothing itself.
#ifndef LIFTRUDDER_ROUTING_CONNECTION_REUSE_H_
#define LIFTRUDDER_ROUTING_CONNECTION_REUSE_H_

#include <optional>

#include "routing/events.h"
#include "routing/reasons.h"
#include "routing/types.h"

namespace liftrudder::routing {

// Connections of one endpoint.
struct ConnectionState {
  Micros used_us = 0;       // last send or reply; 0: no connection yet
  Micros idle_sent_us = 0;  // a request sent on a connection unused for idle_us, without a reply so far
  double idle_us = 0;
  bool stale = false;  // the idle connection must not be used

  // The endpoint's process is a new one.
  void Restart() {
    stale = false;
    used_us = 0;
  }
};

class ConnectionReuse {
 public:
  ConnectionReuse(double min_latency_objective_us, bool cancellation_allowed)
      : min_latency_objective_us_(min_latency_objective_us), cancellation_allowed_(cancellation_allowed) {}

  void Decay(double elapsed_us);

  // A shard request is about to be sent. `idle`: nothing else is in flight there. Says whether, and why, idle
  // connections are to be closed first.
  std::optional<CloseReason> BeforeSend(ConnectionState& state, bool idle, Micros now) const;

  // An attempt sent at `sent_us` ended. A connection that was idle and then answered proves that nothing
  // drops connections idle for that long.
  void RecordOutcome(ConnectionState& state, AttemptOutcome outcome, Micros sent_us, Micros now);

  // The endpoint has not replied since its oldest request, sent at `oldest_sent_us`. True when the connection
  // was dropped rather than the endpoint at fault, as far as is known: its attempts are to be cancelled.
  bool SuspectsDroppedConnection(ConnectionState& state, Micros oldest_sent_us);

 private:
  double min_latency_objective_us_;
  bool cancellation_allowed_;
  double max_idle_us_ = 1e12;  // longer idle connections are closed before use; grows without bound
  double proven_idle_us_ = 0;  // the longest that a connection was idle and lived, of late
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_CONNECTION_REUSE_H_
