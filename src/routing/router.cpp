#include "routing/router.h"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>
#include <variant>

#include "routing/admission.h"
#include "routing/canary_policy.h"
#include "routing/completion_policy.h"
#include "routing/connection_reuse.h"
#include "routing/coverage_cutoff.h"
#include "routing/endpoint_list_poller.h"
#include "routing/endpoint_selector.h"
#include "routing/endpoint_table.h"
#include "routing/hedging_policy.h"
#include "routing/latency_tracker.h"
#include "routing/load_estimator.h"
#include "routing/outlier_detector.h"
#include "routing/query_table.h"
#include "routing/random.h"
#include "routing/retry_policy.h"
#include "routing/settings_validation.h"
#include "routing/sliding_window.h"
#include "routing/slow_start.h"
#include "routing/zone_health.h"

namespace liftrudder::routing {
namespace {

constexpr std::uint64_t kRoundTimerLabel = 0;

// Why a shard request is not sent, with the compared figures of PendingReason.
struct Obstacle {
  PendingReason reason = PendingReason::kNone;
  double observed = 0;
  double threshold = 0;
};

// How a shard request is sent again while an attempt of it is in flight, if one is.
enum class HedgeCause : std::uint8_t { kStraggler, kEndpointSuspect };

}  // namespace

// The modules with their state, and the order in which a round calls them. It decides nothing of its own.
struct Router::State {
  State(const Settings& router_settings, std::uint64_t seed);

  void Handle(Micros at, std::span<const Event> events, std::vector<Action>& round_actions,
              std::vector<PendingShardRequest>* round_pending);

  // Events.
  void operator()(const EndpointListUpdate& update);
  void operator()(const QueryReceived& event);
  void operator()(const ShardRequestReceived& event);
  void operator()(const AttemptFinished& finished);
  void operator()(const ClientDisconnected& event);
  void operator()(const TimerFired& timer);
  void operator()(const HealthCheckFinished&) {}
  void operator()(const GossipMessage&) {}

  // Once a round: what is known of the fleet.
  void UpdateEstimates();
  void SurveyEndpoints();
  void CheckResponsive(EndpointState& endpoint);

  // Sending.
  void DispatchQuery(Query& query);
  std::vector<CutoffCandidate> CandidatesByWeight(const Query& query);
  void SendShardRequest(Query& query, ShardRequest& shard_request, HedgeCause hedge = HedgeCause::kStraggler);
  std::optional<Obstacle> FindObstacle(const Query& query, const ShardRequest& shard_request) const;
  bool RetryWithinBudget(bool needs_hedge_budget);
  DispatchKind KindOfSend(const Query& query, const ShardRequest& shard_request, const Selection& selection,
                          HedgeCause hedge) const;
  void RecordSend(Query& query, const ShardRequest& shard_request, EndpointState& endpoint, HedgeCause hedge);
  void SetPending(ShardRequest& shard_request, const Obstacle& obstacle, const Choice& choice = {});

  // Outcomes.
  void RecordEndpointOutcome(EndpointState& endpoint, const AttemptFinished& finished,
                             const Attempt& attempt);
  void RecordAnswer(Query& query, ShardRequest& shard_request, int attempt);

  // Review of the queries in flight.
  void ReviewQuery(Query& query);
  void ReviewShardRequest(Query& query, ShardRequest& shard_request);
  void HedgeOrCancel(Query& query, ShardRequest& shard_request, Attempt& attempt);
  bool CanStillBeAnswered(const Query& query, const ShardRequest& shard_request) const;
  void AnswerQuery(Query& query, const Completion& completion);
  void AbandonQuery(Query& query, const CompletionReason& reason);
  void ReleaseShardRequests(Query& query);
  void CancelInFlight(const ShardRequest& shard_request, CancelReason reason);

  ProbeClock Clock() const { return {now, slow_start.WarmRequests()}; }
  CanaryInputs CanaryState() const {
    return {endpoints.LossesElevated(), usable_endpoints, load.Load(), latency.MedianUs(), now};
  }

  const Settings settings;
  const double min_latency_objective_us;
  const Micros answer_margin_us;
  Random random;

  QueryTable queries;
  EndpointTable endpoints;
  LatencyTracker latency;
  LoadEstimator load;
  SlowStart slow_start;
  OutlierDetector outliers;
  ZoneHealth zones;
  ConnectionReuse connections;
  EndpointSelector selector;
  Admission admission;
  RetryPolicy retries;
  HedgingPolicy hedging;
  CompletionPolicy completion;
  EndpointListPoller list_poller;

  SlidingWindow arrivals;  // queries and shard requests; what budgets are shares of
  Micros estimates_updated_us = 0;
  double usable_endpoints = 0;
  int avoided_endpoints = 0;  // listed, and draining, ejected or in an ejected zone
  bool round_timer_set = false;

  // Of the round that runs; the pointers are valid during Handle only.
  Micros now = 0;
  std::vector<Action>* actions = nullptr;
  std::vector<PendingShardRequest>* pending = nullptr;
};

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
  SurveyEndpoints();
  load.Update(MeasureFleet(endpoints, zones, slow_start, now), elapsed_us, latency.PerRequestUs());
  admission.RefillQuotas(elapsed_us);
}

void Router::State::SurveyEndpoints() {
  double warm_weight = 0;
  usable_endpoints = 0;
  avoided_endpoints = 0;
  for (auto& [id, state] : endpoints.All()) {
    CheckResponsive(state);
    if (state.usable) ++usable_endpoints;
    bool listed = state.endpoint.availability != Availability::kGone;
    if (listed && (!state.usable || zones.IsAvoided(state))) ++avoided_endpoints;
    if (state.usable && !state.outlier.ejected && slow_start.IsWarm(state.endpoint, now))
      warm_weight += state.endpoint.weight;
  }
  slow_start.SetWarmWeight(warm_weight);
}

// An endpoint that answers nothing shows only by the age of what is in flight there. Where its connection may
// have been dropped, the requests are sent elsewhere, and the next one there tells which it was.
void Router::State::CheckResponsive(EndpointState& endpoint) {
  if (endpoint.in_flight.empty()) return;
  Micros oldest_sent_us = endpoint.OldestSentUs(now);
  if (outliers.CheckResponsive(endpoint.outlier, oldest_sent_us, latency.HedgeDelayUs(), Clock())) return;
  if (!connections.SuspectsDroppedConnection(endpoint.connection, oldest_sent_us)) return;
  OutlierDetector::AllowProbeNow(endpoint.outlier);
  for (const auto& [key, sent_us] : endpoint.in_flight)
    actions->push_back(Cancel{key.shard_request, key.attempt, CancelReason::kDeadConnection});
}

// ---- Events ----

void Router::State::operator()(const EndpointListUpdate& update) {
  if (update.kind != EndpointListKind::kFailed) {
    endpoints.Apply(update, slow_start, random, now);
    zones.CoverZones(endpoints);
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
  queries.Add(admission.MakeQuery(event, now));
}

void Router::State::operator()(const ShardRequestReceived& event) {
  arrivals.Add(now);
  Query* query = queries.FindByNumber(event.number);
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
  attempt.never_ran = ProvesNotRun(finished.code);
  attempt.endpoint_lost = finished.code == AttemptOutcome::kReset;
  attempt.outcome = finished.code;
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
  if (finished.code == AttemptOutcome::kOk && !shard_request->answered)
    RecordAnswer(*query, *shard_request, finished.attempt);
}

void Router::State::operator()(const ClientDisconnected& event) {
  Query* query = queries.Find(event.id);
  if (query == nullptr) return;
  ReleaseShardRequests(*query);
  queries.MarkEnded(*query);
}

void Router::State::operator()(const TimerFired& timer) {
  if (timer.label == kPollTimerLabel) {
    actions->push_back(Subscribe{});
  } else {
    round_timer_set = false;
  }
}

// ---- Sending ----

void Router::State::DispatchQuery(Query& query) {
  const QueryClassSettings& cls = settings.classes[query.class_index];
  query.dispatched = true;
  if (query.phase == 1) admission.RecordRequestCount(query.class_index, query.shard_requests.size());
  std::vector<CutoffCandidate> by_weight = CandidatesByWeight(query);
  SlowestRequest slowest = ApplyCoverageCutoff(cls, load.CutoffLevel(), by_weight);
  for (const CutoffCandidate& candidate : by_weight) {
    ShardRequest& shard_request = *candidate.shard_request;
    if (candidate.skipped == PendingReason::kCutoff)
      SetPending(shard_request, {PendingReason::kCutoff, load.CutoffLevel(), shard_request.weight});
    if (candidate.skipped == PendingReason::kEndpointLoad)
      SetPending(shard_request,
                 {PendingReason::kEndpointLoad, candidate.latency_ratio, kHopelessLatencyRatio});
  }
  if (query.phase == 1) {
    if (auto shed = admission.Shed(query, slowest.latency_ratio, load, random)) {
      if (shed->cause == CompletionCause::kEndpointLoad) shed->endpoint = slowest.endpoint;
      AbandonQuery(query, *shed);
      return;
    }
  }
  for (auto candidate = by_weight.rbegin(); candidate != by_weight.rend(); ++candidate) {
    if (candidate->shard_request->selected) SendShardRequest(query, *candidate->shard_request);
  }
}

std::vector<CutoffCandidate> Router::State::CandidatesByWeight(const Query& query) {
  const QueryClassSettings& cls = settings.classes[query.class_index];
  // Both phases of a query share its objective.
  int phases_left = query.phase == 1 && cls.fetch_phase_requests > 0 ? 2 : 1;
  double time_left_us = static_cast<double>(query.objective_at_us - now) / phases_left;
  std::vector<CutoffCandidate> candidates;
  candidates.reserve(query.shard_requests.size());
  for (Id id : query.shard_requests) {
    ShardRequest& shard_request = queries.ShardRequestAt(id);
    CutoffCandidate candidate;
    candidate.shard_request = &shard_request;
    if (time_left_us > 0) {
      ExpectedLatency expected = selector.Expect(shard_request.shard);
      candidate.latency_ratio = expected.latency_us / time_left_us;
      candidate.endpoint = expected.endpoint;
    }
    candidates.push_back(candidate);
  }
  std::ranges::stable_sort(candidates, {},
                           [](const CutoffCandidate& candidate) { return candidate.shard_request->weight; });
  return candidates;
}

void Router::State::SendShardRequest(Query& query, ShardRequest& shard_request, HedgeCause hedge) {
  if (auto obstacle = FindObstacle(query, shard_request)) return SetPending(shard_request, *obstacle);
  bool is_hedge = shard_request.InFlight() > 0;
  bool is_first = shard_request.attempts.empty();
  if (is_hedge && (!settings.hedging_allowed || shard_request.InFlight() > 1)) return;
  bool needs_hedge_budget = is_hedge && hedge == HedgeCause::kStraggler;
  if (!is_first && !RetryWithinBudget(needs_hedge_budget))
    return SetPending(shard_request, {PendingReason::kRetryBudget});
  Selection selection = selector.Select(shard_request, is_hedge, now);
  if (selection.endpoint == nullptr)
    return SetPending(shard_request, {PendingReason::kNoEndpoint}, selection.choice);
  EndpointState& endpoint = *selection.endpoint;
  DispatchReason reason;
  reason.kind = KindOfSend(query, shard_request, selection, hedge);
  reason.after = is_first ? AttemptOutcome::kOk : shard_request.attempts.back().outcome;
  reason.choice = selection.choice;
  RecordSend(query, shard_request, endpoint, hedge);
  shard_request.pending = PendingReason::kNone;
  auto attempt_number = static_cast<int>(shard_request.attempts.size());
  endpoint.in_flight[{shard_request.id, attempt_number}] = now;
  Attempt attempt;
  attempt.endpoint = endpoint.endpoint.id;
  attempt.sent_us = now;
  attempt.in_flight_at_endpoint = static_cast<int>(endpoint.in_flight.size());
  shard_request.attempts.push_back(attempt);
  Micros timeout_us = query.deadline_us - answer_margin_us - now;
  actions->push_back(Send{shard_request.id, endpoint.endpoint.id, timeout_us, reason});
}

std::optional<Obstacle> Router::State::FindObstacle(const Query& query,
                                                    const ShardRequest& shard_request) const {
  constexpr double kUsPerSecond = 1e6;
  Micros left_us = query.deadline_us - now;
  if (left_us <= answer_margin_us)
    return Obstacle{PendingReason::kDeadline, static_cast<double>(left_us) / kUsPerSecond,
                    static_cast<double>(answer_margin_us) / kUsPerSecond};
  const QueryClassSettings& cls = settings.classes[query.class_index];
  PendingReason forbidden = retries.Forbids(cls, shard_request, query.cleared, now);
  if (forbidden != PendingReason::kNone)
    return Obstacle{forbidden, static_cast<double>(shard_request.attempts.size()),
                    static_cast<double>(settings.max_attempts)};
  if (shard_request.attempts.empty() && WaitsForCanary(query, CanaryState()))
    return Obstacle{PendingReason::kCanary};
  return std::nullopt;
}

bool Router::State::RetryWithinBudget(bool needs_hedge_budget) {
  return retries.WithinBudget(arrivals, now) && (!needs_hedge_budget || hedging.WithinBudget(arrivals, now));
}

DispatchKind Router::State::KindOfSend(const Query& query, const ShardRequest& shard_request,
                                       const Selection& selection, HedgeCause hedge) const {
  if (shard_request.InFlight() > 0)
    return hedge == HedgeCause::kEndpointSuspect ? DispatchKind::kOutlierHedge
                                                 : DispatchKind::kStragglerHedge;
  if (!shard_request.attempts.empty()) return DispatchKind::kRetry;
  bool chosen_among_eligible = std::ranges::any_of(selection.choice.endpoints, &Candidate::eligible);
  if (zones.IsAvoided(*selection.endpoint) && !chosen_among_eligible) return DispatchKind::kProbe;
  return SendsCanary(query, CanaryState()) ? DispatchKind::kCanary : DispatchKind::kFirst;
}

// Must precede the new attempt's entries in the tables.
void Router::State::RecordSend(Query& query, const ShardRequest& shard_request, EndpointState& endpoint,
                               HedgeCause hedge) {
  if (shard_request.attempts.empty()) {
    query.last_first_attempt_us = now;
    ++query.sent;
  } else {
    retries.RecordAttempt(now);
  }
  if (shard_request.InFlight() > 0) hedging.RecordHedge(hedge == HedgeCause::kEndpointSuspect, now);
  bool idle = endpoint.in_flight.empty();
  if (auto close = connections.BeforeSend(endpoint.connection, idle, now))
    actions->push_back(Close{endpoint.endpoint.id, *close});
  bool counts_as_warm = !endpoint.outlier.ejected && slow_start.IsWarm(endpoint.endpoint, now);
  slow_start.RecordSend(endpoint.slow_start, counts_as_warm);
}

// Reported when the reason changes, of requests that have nothing in flight.
void Router::State::SetPending(ShardRequest& shard_request, const Obstacle& obstacle, const Choice& choice) {
  if (pending != nullptr && shard_request.pending != obstacle.reason && shard_request.InFlight() == 0) {
    pending->push_back({shard_request.id, obstacle.reason, static_cast<float>(obstacle.observed),
                        static_cast<float>(obstacle.threshold), choice});
  }
  shard_request.pending = obstacle.reason;
}

// ---- Outcomes ----

void Router::State::RecordEndpointOutcome(EndpointState& endpoint, const AttemptFinished& finished,
                                          const Attempt& attempt) {
  if (finished.code == AttemptOutcome::kNotSent || finished.code == AttemptOutcome::kCancelled) return;
  bool ok = finished.code == AttemptOutcome::kOk;
  bool was_ejected = endpoint.outlier.ejected;
  bool warm = slow_start.IsWarm(endpoint.endpoint, now);
  auto latency_us = static_cast<double>(finished.spent_us);
  connections.RecordOutcome(endpoint.connection, finished.code, attempt.sent_us, now);
  load.RecordOutcome(finished.code, was_ejected);
  zones.RecordOutcome(endpoint.zone, ok && latency_us <= kSlowLatencyRatio * latency.MedianUs());
  outliers.RecordOutcome(endpoint.outlier, {finished.code, finished.spent_us, warm}, latency.MedianUs(),
                         Clock());
  if (!ok) return;
  double per_request_us = latency_us / attempt.in_flight_at_endpoint;
  if (!was_ejected) latency.Record(latency_us);
  if (!was_ejected && warm) latency.RecordPerRequest(per_request_us);
  // Of an ejected one too: it may be the last replica of a shard.
  endpoint.latency_per_request_us =
      latency.UpdatedEndpointEstimateUs(endpoint.latency_per_request_us, per_request_us);
}

void Router::State::RecordAnswer(Query& query, ShardRequest& shard_request, int attempt) {
  shard_request.answered = true;
  if (attempt > 0 && shard_request.InFlight() > 0) hedging.RecordWin();
  query.cleared = true;
  ++query.answered;
  if (query.mostly_answered_us == 0 && CompletionPolicy::MostlyAnswered(query))
    query.mostly_answered_us = now;
  query.coverage += shard_request.weight;
  CancelInFlight(shard_request, CancelReason::kAnswered);
}

void Router::State::CancelInFlight(const ShardRequest& shard_request, CancelReason reason) {
  if (!settings.cancellation_allowed) return;
  for (std::size_t index = 0; index < shard_request.attempts.size(); ++index) {
    if (shard_request.attempts[index].in_flight)
      actions->push_back(Cancel{shard_request.id, static_cast<int>(index), reason});
  }
}

// ---- Review: retries, hedged requests, completion ----

void Router::State::ReviewQuery(Query& query) {
  CompletionInputs inputs;
  inputs.reachable_coverage = query.coverage;
  inputs.all_answered = !query.shard_requests.empty();
  for (Id id : query.shard_requests) {
    ShardRequest& shard_request = queries.ShardRequestAt(id);
    if (shard_request.answered) continue;
    inputs.all_answered = false;
    if (!shard_request.selected) continue;
    ReviewShardRequest(query, shard_request);
    if (CanStillBeAnswered(query, shard_request)) inputs.reachable_coverage += shard_request.weight;
  }
  inputs.losses_elevated = endpoints.LossesElevated();
  inputs.p90_latency_us = latency.P90Us();
  inputs.now = now;
  std::optional<Completion> decision = completion.Decide(query, inputs);
  if (!decision) return;
  if (decision->kind == CompletionKind::kAnswer) {
    AnswerQuery(query, *decision);
  } else {
    AbandonQuery(query, decision->reason);
  }
}

void Router::State::ReviewShardRequest(Query& query, ShardRequest& shard_request) {
  auto attempt = std::ranges::find_if(shard_request.attempts, &Attempt::in_flight);
  if (attempt == shard_request.attempts.end()) {
    SendShardRequest(query, shard_request);
  } else if (shard_request.InFlight() == 1 && hedging.IsDue(query, *attempt, load.Load(), now)) {
    HedgeOrCancel(query, shard_request, *attempt);
  }
}

void Router::State::HedgeOrCancel(Query& query, ShardRequest& shard_request, Attempt& attempt) {
  bool suspect = hedging.EndpointSuspect(attempt);
  if (settings.hedging_allowed) {
    SendShardRequest(query, shard_request, suspect ? HedgeCause::kEndpointSuspect : HedgeCause::kStraggler);
    return;
  }
  // Never two attempts at once: cancelled, and sent again when that is confirmed. Not for its age alone,
  // which would throw away work.
  if (!suspect || attempt.cancellation_requested || !RetryWithinBudget(false)) return;
  if (selector.Select(shard_request, true, now).endpoint == nullptr) return;
  attempt.cancellation_requested = true;
  auto attempt_number = static_cast<int>(&attempt - shard_request.attempts.data());
  actions->push_back(Cancel{shard_request.id, attempt_number, CancelReason::kEndpointOutlier});
}

bool Router::State::CanStillBeAnswered(const Query& query, const ShardRequest& shard_request) const {
  if (shard_request.InFlight() > 0) return true;
  const QueryClassSettings& cls = settings.classes[query.class_index];
  return retries.Forbids(cls, shard_request, query.cleared, now) == PendingReason::kNone;
}

void Router::State::AnswerQuery(Query& query, const Completion& decision) {
  actions->push_back(Answer{query.id, decision.complete, decision.reason});
  ReleaseShardRequests(query);
  bool fetch_follows = query.phase == 1 && settings.classes[query.class_index].fetch_phase_requests > 0;
  if (!fetch_follows) {
    queries.MarkEnded(query);
    return;
  }
  query.phase = 2;
  query.first_phase_complete = decision.complete;
  query.sent = 0;
  query.answered = 0;
  query.coverage = 0;
  query.mostly_answered_us = 0;
}

void Router::State::AbandonQuery(Query& query, const CompletionReason& reason) {
  if (completion.MayReject(query, queries, now)) {
    actions->push_back(Reject{query.id, completion.RetryAfterUs(load.SheddingProbability()), reason});
  } else {
    actions->push_back(Fail{query.id, reason});
  }
  ReleaseShardRequests(query);
  queries.MarkEnded(query);
}

void Router::State::ReleaseShardRequests(Query& query) {
  for (Id id : query.shard_requests) {
    ShardRequest& shard_request = queries.ShardRequestAt(id);
    shard_request.query = 0;
    CancelInFlight(shard_request, CancelReason::kQueryOver);
    if (shard_request.InFlight() == 0) queries.EraseShardRequest(id);
  }
  query.shard_requests.clear();
}

// ---- Interface ----

Router::Router(const Settings& settings, std::uint64_t seed)
    : state_(CheckSettings(settings) ? nullptr : std::make_unique<State>(settings, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

int Router::Avoided() const { return state_ == nullptr ? 0 : state_->avoided_endpoints; }

void Router::Handle(Micros now, std::span<const Event> events, std::vector<Action>& actions,
                    std::vector<PendingShardRequest>* pending) {
  if (state_ != nullptr) return state_->Handle(now, events, actions, pending);
  for (const Event& event : events) {
    if (const auto* query = std::get_if<QueryReceived>(&event))
      actions.push_back(Fail{query->id, MakeReason(CompletionCause::kInvalidSettings, 0, 0)});
  }
}

}  // namespace liftrudder::routing
