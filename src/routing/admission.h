// Admission control: sets the objective and deadline of an arriving query, applies tenant quotas and decides
// which queries are shed. Owned by one router; not thread-safe.
#ifndef LIFTRUDDER_ROUTING_ADMISSION_H_
#define LIFTRUDDER_ROUTING_ADMISSION_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "routing/events.h"
#include "routing/load_estimator.h"
#include "routing/query_table.h"
#include "routing/random.h"
#include "routing/reasons.h"
#include "routing/settings.h"
#include "routing/types.h"

namespace liftrudder::routing {

class Admission {
 public:
  // `settings` must outlive it.
  explicit Admission(const Settings& settings);

  // Creates the query of `event`, whose class must exist, and charges it to its tenant's quota.
  Query MakeQuery(const QueryReceived& event, Micros now);

  // Called once a round.
  void RefillQuotas(double elapsed_us);

  // Records how many shard requests a query of the class has.
  void RecordRequestCount(std::size_t class_index, std::size_t count);

  // Why the query is shed; none if it is admitted. `slowest_latency_ratio`: the expected latency of its
  // slowest shard request divided by the time to its objective; 0 if the query does not need all of its shard
  // requests to be answered.
  std::optional<CompletionReason> Shed(const Query& query, double slowest_latency_ratio,
                                       const LoadEstimator& load, Random& random) const;

 private:
  double QuotaPerSecond(std::size_t tenant) const;
  double ValueDensity(std::size_t class_index) const;
  double MinValueDensity() const;
  Micros ElapsedBeforeArrivalUs(const QueryReceived& event, const QueryClassSettings& cls);
  bool ConsumeQuota(int tenant);

  const Settings& settings_;
  Micros answer_margin_us_;
  // By class: timeout of the latest query that was not a retry.
  std::vector<Micros> latest_non_retry_timeout_us_;
  std::vector<double> requests_per_query_;  // by class: moving average; 0: no query yet
  std::vector<double> quota_tokens_;        // by tenant: queries that it may send now
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ADMISSION_H_
