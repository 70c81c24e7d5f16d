#include "routing/hedging_policy.h"

#include <algorithm>

namespace liftrudder::routing {
namespace {

// Median latencies after which a request at a suspect endpoint is hedged.
constexpr double kSuspectMedians = 1.5;
constexpr double kMaxHedgingLoad = 0.6;  // from this load on, the hedge delay alone causes no hedge
// Hedges allowed for each query or shard request received, while at least kWinShareForFullBudget of the
// hedges are answered before the first attempt. At or below kWinShareForNoBudget the ratio is 0: slow
// requests are then waiting in queues, and hedges only lengthen the queues.
constexpr double kFullBudgetRatio = 0.10;
constexpr double kWinShareForFullBudget = 0.9;
constexpr double kWinShareForNoBudget = 0.5;
// Factor by which each newer hedge reduces the weight of the older ones.
constexpr double kHedgeRetention = 0.9;
// Added to the counts of sent and of won hedges, so that the budget starts full.
constexpr double kAssumedWins = 2;
constexpr double kWindowObjectives = 2;  // length of the budget's window, in shortest latency objectives
// Age of a straggler divided by the time that most requests of its query took.
constexpr double kStragglerRatio = 1.4;
// A straggler is hedged only when the time left to the objective is less than this many times the 0.9
// quantile of the latency.
constexpr double kStragglerP90sToObjective = 2;
// Stragglers are hedged only below this load: above it all requests of a query are slow, because the whole
// fleet is.
constexpr double kMaxStragglerLoad = 1.0;

}  // namespace

HedgingPolicy::HedgingPolicy(const Settings& settings, const EndpointTable& endpoints,
                             const ZoneHealth& zones, const LatencyTracker& latency)
    : settings_(settings),
      endpoints_(endpoints),
      zones_(zones),
      latency_(latency),
      window_us_(static_cast<Micros>(kWindowObjectives * MinLatencyObjectiveUs(settings))) {}

bool HedgingPolicy::IsDue(const Query& query, const Attempt& attempt, double load, Micros now) const {
  if (!settings_.hedging_allowed && !settings_.cancellation_allowed) return false;
  if (static_cast<double>(query.deadline_us - now) < latency_.MedianUs()) return false;
  auto age_us = static_cast<double>(now - attempt.sent_us);
  if (EndpointSuspect(attempt)) return age_us > kSuspectMedians * latency_.MedianUs();
  if (load < kMaxHedgingLoad && age_us > latency_.HedgeDelayUs()) return true;
  return load < kMaxStragglerLoad && IsStraggler(query, attempt, now);
}

// Only a query that needs all of its shard requests has stragglers: it cannot be answered before the last of
// them is.
bool HedgingPolicy::IsStraggler(const Query& query, const Attempt& attempt, Micros now) const {
  const QueryClassSettings& cls = settings_.classes[query.class_index];
  if (query.mostly_answered_us <= 0 || cls.min_coverage < cls.complete_coverage) return false;
  auto age_us = static_cast<double>(now - attempt.sent_us);
  auto majority_latency_us = static_cast<double>(query.mostly_answered_us - attempt.sent_us);
  auto left_us = static_cast<double>(query.objective_at_us - now);
  return age_us > kStragglerRatio * majority_latency_us && age_us > latency_.MedianUs() &&
         left_us < kStragglerP90sToObjective * latency_.P90Us();
}

bool HedgingPolicy::EndpointSuspect(const Attempt& attempt) const {
  const EndpointState* endpoint = endpoints_.Find(attempt.endpoint);
  if (endpoint == nullptr || !endpoint->usable || zones_.IsAvoided(*endpoint)) return true;
  auto overtaken_by_us = static_cast<double>(endpoint->outlier.answered_us - attempt.sent_us);
  return overtaken_by_us > latency_.HedgeDelayUs();
}

bool HedgingPolicy::WithinBudget(const SlidingWindow& arrivals, Micros now) {
  straggler_hedges_.DropBefore(now - window_us_);
  double won_share = (won_ + kAssumedWins) / (sent_ + kAssumedWins);
  double ratio = kFullBudgetRatio * std::clamp((won_share - kWinShareForNoBudget) /
                                                   (kWinShareForFullBudget - kWinShareForNoBudget),
                                               0.0, 1.0);
  auto received = static_cast<double>(arrivals.CountFrom(now - window_us_));
  return static_cast<double>(straggler_hedges_.Size()) < 1 + ratio * received;
}

void HedgingPolicy::RecordHedge(bool endpoint_suspect, Micros now) {
  sent_ = kHedgeRetention * sent_ + 1;
  won_ *= kHedgeRetention;
  if (!endpoint_suspect) straggler_hedges_.Add(now);
}

}  // namespace liftrudder::routing
