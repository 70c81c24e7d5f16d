#include "routing/router.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <variant>

#include "routing/router_state.h"
#include "routing/settings_validation.h"

namespace liftrudder::routing {
namespace {

constexpr std::uint64_t kRoundTimerLabel = 0;

}  // namespace

Router::State::State(const Settings& router_settings, std::uint64_t seed)
    : settings(router_settings),
      min_latency_objective_us(MinLatencyObjectiveUs(settings)),
      answer_margin_us(AnswerMarginUs(settings)),
      random(seed),
      endpoints(settings),
      latency(min_latency_objective_us),
      load(min_latency_objective_us),
      slow_start(settings),
      outliers(min_latency_objective_us),
      zones(min_latency_objective_us),
      connections(min_latency_objective_us, settings.cancellation_allowed),
      selector(settings, endpoints, zones, outliers, slow_start, latency, random),
      admission(settings),
      retries(settings),
      hedging(settings, endpoints, zones, latency),
      completion(settings),
      list_poller(settings) {}

// ---- One round ----

void Router::State::Handle(Micros at, std::span<const Event> events, std::vector<Action>& round_actions,
                           std::vector<PendingShardRequest>* round_pending) {
  now = at;
  actions = &round_actions;
  pending = round_pending;
  for (const Event& event : events) std::visit(*this, event);
  UpdateEstimates();
  for (auto& [id, query] : queries.All()) {
    if (!query.dispatched && !query.shard_requests.empty()) DispatchQuery(query);
  }
  for (auto& [id, query] : queries.All()) {
    if (!queries.HasEnded(id)) ReviewQuery(query);
  }
  queries.EraseEnded();
  arrivals.DropBefore(now - std::max(settings.retry_budget_window_us, hedging.WindowUs()));
  if (!round_timer_set && !queries.Empty()) {
    round_timer_set = true;
    actions->push_back(SetTimer{std::max<Micros>(settings.decision_interval_us, 1), kRoundTimerLabel});
  }
}

void Router::State::UpdateEstimates() {
  double elapsed_us =
      estimates_updated_us == 0 ? 0 : std::max(0.0, static_cast<double>(now - estimates_updated_us));
  estimates_updated_us = now;
  connections.Decay(elapsed_us);
  endpoints.DecayLosses(elapsed_us, min_latency_objective_us);
  latency.Decay(elapsed_us);
  zones.Update(endpoints, elapsed_us, latency.MedianUs(), now);
  ReviewEndpoints();
  load.Update(MeasureFleet(endpoints, zones, slow_start, now), elapsed_us, latency.PerRequestUs());
  admission.RefillQuotas(elapsed_us);
}

void Router::State::ReviewEndpoints() {
  double warm_weight = 0;
  usable_endpoints = 0;
  avoided_endpoints = 0;
  for (auto& [id, state] : endpoints.All()) {
    CheckResponsive(state);
    if (state.usable) ++usable_endpoints;
    bool listed = state.endpoint.availability != Availability::kRemoved;
    if (listed && (!state.usable || zones.IsAvoided(state))) ++avoided_endpoints;
    if (state.usable && !state.outlier.ejected && slow_start.IsWarm(state.endpoint, now)) {
      warm_weight += state.endpoint.weight;
    }
  }
  slow_start.SetWarmWeight(warm_weight);
}

// That an endpoint does not reply shows only in the age of the requests in flight there. If the connection
// may have been dropped, those requests are cancelled so that they can be sent elsewhere, and the next
// request to the endpoint shows whether the endpoint or the connection was at fault.
void Router::State::CheckResponsive(EndpointState& endpoint) {
  if (endpoint.in_flight.empty()) return;
  Micros oldest_sent_us = endpoint.OldestSentUs(now);
  if (outliers.CheckResponsive(endpoint.outlier, oldest_sent_us, latency.HedgeDelayUs(), Clock())) return;
  if (!connections.SuspectsDroppedConnection(endpoint.connection, oldest_sent_us)) return;
  OutlierDetector::AllowProbeNow(endpoint.outlier);
  for (const auto& [key, sent_us] : endpoint.in_flight) {
    actions->push_back(Cancel{key.shard_request, key.attempt, CancelReason::kDeadConnection});
  }
}

// ---- Events ----

void Router::State::operator()(const EndpointListUpdate& update) {
  if (update.kind != EndpointListKind::kFailed) {
    endpoints.Apply(update, slow_start, random, now);
    zones.AddMissingZones(endpoints);
  }
  PollDecision poll = list_poller.OnUpdate(update.kind, random);
  if (poll.subscribe_now) actions->push_back(Subscribe{});
  if (poll.poll_after_us) actions->push_back(SetTimer{*poll.poll_after_us, kPollTimerLabel});
}

void Router::State::operator()(const QueryReceived& event) {
  if (static_cast<std::size_t>(event.class_index) >= settings.classes.size()) {
    actions->push_back(Fail{event.id, MakeReason(CompletionCause::kUnknownClass, 0, 0)});
    return;
  }
  arrivals.Add(now);
  load.RecordQuery(now, settings.classes[0].client_timeout_us * 2);
  queries.Add(admission.MakeQuery(event, now)).LimitDeadline(shutdown_deadline_us);
}

void Router::State::operator()(const ShardRequestReceived& event) {
  arrivals.Add(now);
  Query* query = queries.FindByNumber(event.query_number);
  if (query == nullptr) return;
  ShardRequest shard_request;
  shard_request.id = event.id;
  shard_request.query = query->id;
  shard_request.shard = event.shard;
  shard_request.weight = event.weight;
  shard_request.key = event.key;
  shard_request.idle_since_us = now;
  queries.AddShardRequest(*query, std::move(shard_request));
  query->dispatched = false;
}

void Router::State::operator()(const AttemptFinished& finished) {
  ShardRequest* shard_request = queries.FindShardRequest(finished.shard_request);
  if (shard_request == nullptr) return;
  auto index = static_cast<std::size_t>(finished.attempt);
  if (index >= shard_request->attempts.size() || !shard_request->attempts[index].in_flight) return;
  Attempt& attempt = shard_request->attempts[index];
  attempt.in_flight = false;
  attempt.never_ran = ProvesNotRun(finished.outcome);
  attempt.endpoint_lost = finished.outcome == AttemptOutcome::kReset;
  attempt.outcome = finished.outcome;
  if (EndpointState* endpoint = endpoints.Find(attempt.endpoint)) {
    endpoint->in_flight.erase({shard_request->id, finished.attempt});
    RecordEndpointOutcome(*endpoint, finished, attempt);
    if (attempt.endpoint_lost) endpoints.RecordLoss(*endpoint);
  }
  Query* query = queries.Find(shard_request->query);
  if (shard_request->query == 0 || query == nullptr) {
    if (shard_request->InFlight() == 0) queries.EraseShardRequest(shard_request->id);
    return;
  }
  if (shard_request->InFlight() == 0) shard_request->idle_since_us = now;
  if (attempt.endpoint_lost) ++query->endpoint_losses;
  if (finished.outcome == AttemptOutcome::kOk && !shard_request->answered) {
    RecordAnswer(*query, *shard_request, finished.attempt);
  }
}

void Router::State::operator()(const ClientDisconnected& event) {
  Query* query = queries.Find(event.id);
  if (query == nullptr) return;
  ReleaseShardRequests(*query);
  queries.MarkEnded(*query);
}

void Router::State::operator()(const ShutdownStarted& event) {
  shutdown_deadline_us = now + event.answer_within_us;
  for (auto& [id, query] : queries.All()) query.LimitDeadline(shutdown_deadline_us);
}

void Router::State::operator()(const TimerFired& timer) {
  if (timer.label == kPollTimerLabel) {
    actions->push_back(Subscribe{});
  } else {
    round_timer_set = false;
  }
}

// ---- Outcomes ----

void Router::State::RecordEndpointOutcome(EndpointState& endpoint, const AttemptFinished& finished,
                                          const Attempt& attempt) {
  if (finished.outcome == AttemptOutcome::kNotSent || finished.outcome == AttemptOutcome::kCancelled) return;
  bool ok = finished.outcome == AttemptOutcome::kOk;
  bool was_ejected = endpoint.outlier.ejected;
  bool warm = slow_start.IsWarm(endpoint.endpoint, now);
  auto latency_us = static_cast<double>(finished.spent_us);
  connections.RecordOutcome(endpoint.connection, finished.outcome, attempt.sent_us, now);
  load.RecordOutcome(finished.outcome, was_ejected);
  zones.RecordOutcome(endpoint.zone, ok && latency_us <= kSlowLatencyRatio * latency.MedianUs());
  outliers.RecordOutcome(endpoint.outlier, {finished.outcome, finished.spent_us, warm}, latency.MedianUs(),
                         Clock());
  if (!ok) return;
  double per_request_us = latency_us / attempt.in_flight_at_endpoint;
  if (!was_ejected) latency.Record(latency_us);
  if (!was_ejected && warm) latency.RecordPerRequest(per_request_us);
  // Updated for ejected endpoints too, as one may be the last replica of a shard.
  endpoint.latency_per_request_us =
      latency.UpdatedEndpointEstimateUs(endpoint.latency_per_request_us, per_request_us);
}

void Router::State::RecordAnswer(Query& query, ShardRequest& shard_request, int attempt) {
  shard_request.answered = true;
  if (attempt > 0 && shard_request.InFlight() > 0) hedging.RecordWin();
  query.known_safe = true;
  ++query.answered;
  if (query.mostly_answered_us == 0 && CompletionPolicy::MostlyAnswered(query)) {
    query.mostly_answered_us = now;
  }
  query.coverage += shard_request.weight;
  CancelInFlight(shard_request, CancelReason::kAnswered);
}

void Router::State::CancelInFlight(const ShardRequest& shard_request, CancelReason reason) {
  if (!settings.cancellation_allowed) return;
  for (std::size_t index = 0; index < shard_request.attempts.size(); ++index) {
    if (shard_request.attempts[index].in_flight) {
      actions->push_back(Cancel{shard_request.id, static_cast<int>(index), reason});
    }
  }
}

// ---- Interface ----

Router::Router(const Settings& settings, std::uint64_t seed)
    : state_(CheckSettings(settings) ? nullptr : std::make_unique<State>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

int Router::AvoidedEndpoints() const { return state_ == nullptr ? 0 : state_->avoided_endpoints; }

void Router::Handle(Micros now, std::span<const Event> events, std::vector<Action>& actions,
                    std::vector<PendingShardRequest>* pending) {
  if (state_ != nullptr) return state_->Handle(now, events, actions, pending);
  for (const Event& event : events) {
    if (const auto* query = std::get_if<QueryReceived>(&event)) {
      actions.emplace_back(Fail{query->id, MakeReason(CompletionCause::kInvalidSettings, 0, 0)});
    }
  }
}

}  // namespace liftrudder::routing
