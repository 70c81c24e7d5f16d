// Decides when an idle connection is too old to be used: a device on the network path may drop connections
// that have been unused for some time, without telling either end. The time is learnt from shard requests
// that got no reply after they were sent on a long-idle connection. Owned by one router; not thread-safe. It
// closes no connection itself.
#ifndef LIFTRUDDER_ROUTING_CONNECTION_REUSE_H_
#define LIFTRUDDER_ROUTING_CONNECTION_REUSE_H_

#include <optional>

#include "routing/events.h"
#include "routing/reasons.h"
#include "routing/types.h"

namespace liftrudder::routing {

// The connections to one endpoint.
struct ConnectionState {
  Micros last_used_us = 0;  // last send or reply; 0: no connection yet
  Micros idle_sent_us = 0;  // latest send on an idle connection; 0 if it was idle only briefly
  double idle_us = 0;       // how long the connections had been idle before the latest send on an idle one
  bool stale = false;       // the idle connections must not be used

  // Resets the state for a new process of the endpoint.
  void Restart() {
    stale = false;
    last_used_us = 0;
  }
};

class ConnectionReuse {
 public:
  ConnectionReuse(double min_latency_objective_us, bool cancellation_allowed)
      : min_latency_objective_us_(min_latency_objective_us), cancellation_allowed_(cancellation_allowed) {}

  void Decay(double elapsed_us);

  // Called before a shard request is sent. `idle`: nothing else is in flight there. Returns why idle
  // connections must be closed first; none if they need not be.
  std::optional<CloseReason> BeforeSend(ConnectionState& state, bool idle, Micros now) const;

  // Records the end of an attempt sent at `sent_us`. An answer on a connection that had been idle proves that
  // connections idle for that long are not dropped.
  void RecordOutcome(ConnectionState& state, AttemptOutcome outcome, Micros sent_us, Micros now);

  // Called when the endpoint has not replied since its oldest request in flight, sent at `oldest_sent_us`.
  // True if probably a dropped connection is at fault, not the endpoint: its attempts must be cancelled.
  bool SuspectsDroppedConnection(ConnectionState& state, Micros oldest_sent_us);

 private:
  double min_latency_objective_us_;
  bool cancellation_allowed_;
  // Connections idle for longer are closed before use. Starts in effect unlimited, and grows again after it
  // was lowered.
  double max_idle_us_ = 1e12;
  double proven_idle_us_ = 0;  // the longest recent idle time that a connection survived
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_CONNECTION_REUSE_H_
