// Quotas of tenants, and of the callers within a tenant: expected work per second, and queries in flight.
// Decides at once, without I/O; time and seed are arguments. Not thread-safe: the caller holds a lock.
//
// Each tenant has a token bucket that fills at the tenant's share of the total rate. What a full bucket
// cannot take flows into one lending pool of bounded size, from which any tenant that has used up its own
// bucket may draw. Lending therefore never empties the bucket of the tenant that lends, and nothing has to be
// reclaimed.
#ifndef LIFTRUDDER_LIMITS_TENANT_QUOTAS_H_
#define LIFTRUDDER_LIMITS_TENANT_QUOTAS_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>

#include "limits/jitter.h"

namespace liftrudder::limits {

// By tenant, each above 0: a tenant's share is its weight over the sum of all.
using TenantWeights = std::map<std::string, double, std::less<>>;

struct TenantQuotaSettings {
  double work_per_s = 0;         // of all tenants together
  int max_in_flight = 0;         // queries of all tenants together
  double caller_fraction = 0.5;  // the most that one caller may use of its tenant's rate
  std::int64_t max_retry_after_us = 30'000'000;
  TenantWeights weights;
};

class TenantQuotas {
 public:
  using Micros = Jitter::Micros;

  // The most callers that have a bucket of their own at a time.
  static constexpr std::size_t kMaxTrackedCallers = 4096;

  struct Decision {
    bool admitted = false;
    // Of a rejected query: when its quota will allow it, after those that were rejected before it.
    Micros retry_after_us = 0;
  };

  TenantQuotas(TenantQuotaSettings settings, std::uint64_t seed);

  // Decides on a query of `cost` expected work. Release must be called once for each query admitted. A tenant
  // without a weight gets nothing.
  Decision Admit(std::string_view tenant, std::string_view caller, double cost, Micros now_us);
  void Release(std::string_view tenant, std::string_view caller);

  // Replaces the tenants and their weights. Tenants that stay keep what is in their buckets.
  void SetWeights(const TenantWeights& weights);

  int InFlight() const { return in_flight_; }
  std::size_t TrackedCallers() const { return callers_.size(); }

 private:
  struct Bucket {
    double tokens = 0;  // work that may be admitted now; below 0 after a query larger than the bucket
    Micros refilled_us = 0;
    int in_flight = 0;
  };
  struct Tenant {
    double share = 0;  // of the total rate; 0: removed, but with queries in flight
    Bucket bucket;
    Micros promised_us = 0;  // until then its tokens are promised to queries rejected before
  };
  struct Caller {
    Bucket bucket;
    std::list<std::string>::iterator position;  // in least_recently_used_
  };

  // Adds what `rate` yields since the last refill; returns what did not fit.
  static double Refill(Bucket& bucket, double rate, Micros now_us);
  void RefillTenants(Micros now_us);
  double RateOf(const Tenant& tenant) const { return tenant.share * settings_.work_per_s; }
  Caller& FindOrAddCaller(const std::string& key, double rate, Micros now_us);
  void EvictIdleCaller();
  bool HasCapacityFor(const Tenant& tenant) const;
  // Rejects a query that lacks `missing` tokens of a bucket filled at `rate`.
  Decision Reject(Tenant& tenant, double missing, double rate, Micros now_us);

  const TenantQuotaSettings settings_;
  Jitter jitter_;  // spreads the retries of rejected queries
  std::map<std::string, Tenant, std::less<>> tenants_;
  std::map<std::string, Caller, std::less<>> callers_;  // by CallerKey
  std::list<std::string> least_recently_used_;          // keys of callers_, the longest unused first
  double lending_pool_ = 0;                             // tokens
  int in_flight_ = 0;
};

}  // namespace liftrudder::limits

#endif  // LIFTRUDDER_LIMITS_TENANT_QUOTAS_H_
