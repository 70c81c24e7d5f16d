#include "routing/endpoint_table.h"

#include <cmath>
#include <set>

namespace liftrudder::routing {
namespace {

// Time constant of the decay of losses, in shortest latency objectives.
constexpr double kLossDecayObjectives = 4;
constexpr double kElevatedLosses = 0.5;
constexpr double kMaxLosses = 2;  // more are not counted, so that the precautions end soon after the losses

// Removed from the endpoint list, and no attempt is in flight there.
bool CanBeErased(const EndpointState& state) {
  return state.endpoint.availability == Availability::kRemoved && state.in_flight.empty();
}

}  // namespace

Micros EndpointState::OldestSentUs(Micros now) const {
  Micros oldest = now;
  for (const auto& [key, sent_us] : in_flight) oldest = std::min(oldest, sent_us);
  return oldest;
}

void EndpointTable::Apply(const EndpointListUpdate& update, const SlowStart& slow_start, Random& random,
                          Micros now) {
  if (update.kind != EndpointListKind::kDelta) {
    std::set<EndpointId> listed;
    for (const Endpoint& endpoint : update.endpoints) listed.insert(endpoint.id);
    for (auto& [id, state] : endpoints_) {
      if (listed.contains(id)) continue;
      state.endpoint.availability = Availability::kRemoved;
      state.usable = false;
    }
  }
  for (const Endpoint& endpoint : update.endpoints) ApplyEndpoint(endpoint, slow_start, random, now);
  std::erase_if(endpoints_, [](const auto& entry) { return CanBeErased(entry.second); });
  IndexReplicas();
}

void EndpointTable::ApplyEndpoint(const Endpoint& endpoint, const SlowStart& slow_start, Random& random,
                                  Micros now) {
  bool known = endpoints_.contains(endpoint.id);
  EndpointState& state = endpoints_[endpoint.id];
  bool restarted = endpoint.started_us != state.endpoint.started_us;
  bool was_ready = state.endpoint.availability == Availability::kReady;
  bool ended = restarted || endpoint.availability == Availability::kRemoved;
  if (known && was_ready && ended) RecordLoss(state);
  state.endpoint = endpoint;
  state.zone = static_cast<std::size_t>(std::max(endpoint.zone, 0));
  state.usable = endpoint.availability == Availability::kReady;
  if (!restarted) return;
  state.outlier.Restart();
  state.connection.Restart();
  state.loss_counted = false;
  slow_start.Start(state.slow_start, random.NextUnit(), now);
}

void EndpointTable::IndexReplicas() {
  replicas_by_cell_.assign(static_cast<std::size_t>(settings_.cells), {});
  for (auto& [id, state] : endpoints_) {
    auto cell = static_cast<std::size_t>(state.endpoint.cell);
    if (cell < replicas_by_cell_.size()) replicas_by_cell_[cell].push_back(&state);
  }
}

EndpointState* EndpointTable::Find(const EndpointId& id) {
  auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

const EndpointState* EndpointTable::Find(const EndpointId& id) const {
  auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

void EndpointTable::RecordLoss(EndpointState& state) {
  if (!state.loss_counted) recent_losses_ = std::min(recent_losses_ + 1, kMaxLosses);
  state.loss_counted = true;
}

void EndpointTable::DecayLosses(double elapsed_us, double min_latency_objective_us) {
  recent_losses_ *= std::exp(-elapsed_us / (kLossDecayObjectives * min_latency_objective_us));
}

bool EndpointTable::LossesElevated() const { return recent_losses_ > kElevatedLosses; }

}  // namespace liftrudder::routing
