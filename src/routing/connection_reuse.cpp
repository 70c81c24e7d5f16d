#include "routing/connection_reuse.h"

#include <algorithm>
#include <cmath>

namespace liftrudder::routing {
namespace {

// How long an idle connection is assumed to survive, in shortest latency objectives.
constexpr double kMinIdleObjectives = 0.25;
// Time in which the idle limit grows, and the proven idle time shrinks, by a factor of e, in shortest latency
// objectives.
constexpr double kTimeConstantObjectives = 16;

}  // namespace

void ConnectionReuse::Decay(double elapsed_us) {
  max_idle_us_ *= std::exp(elapsed_us / (kTimeConstantObjectives * min_latency_objective_us_));
  proven_idle_us_ *= std::exp(-elapsed_us / (kTimeConstantObjectives * min_latency_objective_us_));
}

std::optional<CloseReason> ConnectionReuse::BeforeSend(ConnectionState& state, bool idle, Micros now) const {
  std::optional<CloseReason> close;
  if (idle) {
    double idle_us = state.last_used_us > 0 ? static_cast<double>(now - state.last_used_us) : 0;
    if (state.stale) {
      close = CloseReason::kDeadConnection;
    } else if (idle_us > max_idle_us_) {
      close = CloseReason::kIdleTimeout;
    }
    bool reuses_idle = !close && idle_us > kMinIdleObjectives * min_latency_objective_us_;
    state.stale = false;
    state.idle_sent_us = reuses_idle ? now : 0;
    state.idle_us = idle_us;
  }
  state.last_used_us = now;
  return close;
}

void ConnectionReuse::RecordOutcome(ConnectionState& state, AttemptOutcome outcome, Micros sent_us,
                                    Micros now) {
  // A timeout comes from the coordinator's own clock and does not show that the connection works.
  if (outcome != AttemptOutcome::kTimeout) state.last_used_us = now;
  if (outcome == AttemptOutcome::kOk && sent_us == state.idle_sent_us) {
    proven_idle_us_ = std::max(proven_idle_us_, state.idle_us);
  }
}

bool ConnectionReuse::SuspectsDroppedConnection(ConnectionState& state, Micros oldest_sent_us) {
  bool first_on_idle = oldest_sent_us == state.idle_sent_us;
  if (!first_on_idle || state.idle_us <= proven_idle_us_ || !cancellation_allowed_) return false;
  // The limit applies to all endpoints, as the device that drops one idle connection drops the others too. It
  // is never below an idle time that a connection has survived.
  max_idle_us_ = std::max({std::min(max_idle_us_, state.idle_us) / 2,
                           kMinIdleObjectives * min_latency_objective_us_, proven_idle_us_});
  state.idle_sent_us = 0;
  state.stale = true;
  return true;
}

}  // namespace liftrudder::routing
