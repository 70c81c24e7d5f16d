#include "routing/admission.h"

#include <algorithm>

#include "routing/coverage_cutoff.h"

namespace liftrudder::routing {
namespace {

constexpr double kQuotaBurstSeconds = 2;   // seconds of its quota that a tenant may use at once
constexpr double kRequestCountGain = 0.3;  // weight of the latest query in the average number of requests
constexpr double kUsPerSecond = 1e6;
// Expected latency of the slowest shard request, divided by the time to the objective, from which queries
// that need it are shed. From kMaxLatencyRatio on, all such queries of the class with the least value
// density are shed.
constexpr double kSheddingStartLatencyRatio = 0.6;

}  // namespace

Admission::Admission(const Settings& settings)
    : settings_(settings),
      answer_margin_us_(AnswerMarginUs(settings)),
      latest_non_retry_timeout_us_(settings.classes.size(), 0),
      requests_per_query_(settings.classes.size(), 0) {
  for (std::size_t tenant = 0; tenant < settings.tenants.size(); ++tenant) {
    quota_tokens_.push_back(QuotaPerSecond(tenant) * kQuotaBurstSeconds);
  }
}

Query Admission::MakeQuery(const QueryReceived& event, Micros now) {
  Query query;
  query.id = event.id;
  query.number = event.query_number;
  query.class_index = static_cast<std::size_t>(event.class_index);
  query.received_us = now;
  query.client_deadline_us = now + event.timeout_remaining_us;
  query.deadline_us = query.client_deadline_us;
  const QueryClassSettings& cls = settings_.classes[query.class_index];
  Micros elapsed_before_us = ElapsedBeforeArrivalUs(event, cls);
  auto work_us = static_cast<Micros>(cls.objective_per_work * static_cast<double>(event.work_us));
  query.objective_at_us =
      std::min(now + cls.latency_objective_us + work_us - elapsed_before_us, query.deadline_us);
  if (query.objective_at_us <= now) query.value_factor *= cls.late_value_fraction;
  if (!ConsumeQuota(event.tenant)) query.value_factor *= settings_.over_quota_value_factor;
  return query;
}

// How long the client has already waited. If a retry has less time left than the latest query of its class
// that was not a retry, the client is assumed to have spent the rest of the class's client timeout on earlier
// tries. Any other short timeout was chosen by the client and says nothing about earlier waiting.
Micros Admission::ElapsedBeforeArrivalUs(const QueryReceived& event, const QueryClassSettings& cls) {
  Micros& non_retry_us = latest_non_retry_timeout_us_[static_cast<std::size_t>(event.class_index)];
  if (!event.is_retry) non_retry_us = event.timeout_remaining_us;
  bool shortened = event.is_retry && event.timeout_remaining_us + answer_margin_us_ < non_retry_us;
  return shortened ? cls.client_timeout_us - event.timeout_remaining_us : 0;
}

// Charges a query to the tenant. False if the tenant is over its quota; an unlisted tenant has no quota.
bool Admission::ConsumeQuota(int tenant) {
  auto index = static_cast<std::size_t>(tenant);
  if (index >= quota_tokens_.size()) return true;
  bool within = quota_tokens_[index] >= 1;
  quota_tokens_[index] = std::max(quota_tokens_[index] - 1, 0.0);
  return within;
}

void Admission::RefillQuotas(double elapsed_us) {
  for (std::size_t tenant = 0; tenant < quota_tokens_.size(); ++tenant) {
    double rate = QuotaPerSecond(tenant);
    double tokens = quota_tokens_[tenant] + rate * elapsed_us / kUsPerSecond;
    quota_tokens_[tenant] = std::min(tokens, rate * kQuotaBurstSeconds);
  }
}

void Admission::RecordRequestCount(std::size_t class_index, std::size_t count) {
  double& average = requests_per_query_[class_index];
  auto newest = static_cast<double>(count);
  average = average == 0 ? newest : average + kRequestCountGain * (newest - average);
}

std::optional<CompletionReason> Admission::Shed(const Query& query, double slowest_latency_ratio,
                                                const LoadEstimator& load, Random& random) const {
  if (query.value_factor <= 0) return MakeReason(CompletionCause::kNoRemainingValue, query.value_factor, 0);
  double range = kMaxLatencyRatio - kSheddingStartLatencyRatio;
  double endpoint_probability =
      std::clamp((slowest_latency_ratio - kSheddingStartLatencyRatio) / range, 0.0, 1.0);
  double load_probability = load.SheddingProbability();
  // The class with the least value for its work is shed first.
  double density = ValueDensity(query.class_index) * query.value_factor;
  double probability = std::max(load_probability, endpoint_probability) * MinValueDensity() / density;
  if (random.NextUnit() >= probability) return std::nullopt;
  if (endpoint_probability > load_probability) {
    return MakeReason(CompletionCause::kEndpointLoad, slowest_latency_ratio, kSheddingStartLatencyRatio);
  }
  return MakeReason(CompletionCause::kLoad, load.Load(), kSheddingStartLoad);
}

// This coordinator's share of the tenant's quota, which is set for the whole fleet.
double Admission::QuotaPerSecond(std::size_t tenant) const {
  return settings_.tenants[tenant].quota_per_s / settings_.fleet_size;
}

// Priority weight per shard request of a query of the class.
double Admission::ValueDensity(std::size_t class_index) const {
  return settings_.classes[class_index].priority_weight / std::max(requests_per_query_[class_index], 1.0);
}

double Admission::MinValueDensity() const {
  double least = 1e300;
  for (std::size_t index = 0; index < settings_.classes.size(); ++index) {
    if (requests_per_query_[index] > 0) least = std::min(least, ValueDensity(index));
  }
  return least;
}

}  // namespace liftrudder::routing
