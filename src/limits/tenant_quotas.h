// Quotas of tenants, and of the callers within a tenant: expected work per second, and queries in flight.
// Decides without blocking or I/O; time and seed are arguments. Not thread-safe: needs an external lock.
//
// Each tenant has a token bucket that refills at the tenant's share of the total rate. Tokens that overflow a
// full bucket go to one lending pool of bounded size, which admits queries whose tenant or caller has used up
// its own bucket. Lending therefore takes no tokens out of any tenant's bucket, and no tokens have to be
// reclaimed from borrowers.
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

// Weights by tenant, each above 0. A tenant's share is its weight divided by the sum of all weights.
using TenantWeights = std::map<std::string, double, std::less<>>;

struct TenantQuotaSettings {
  double work_per_s = 0;         // of all tenants together
  int max_in_flight = 0;         // queries of all tenants together
  double caller_fraction = 0.5;  // the fraction of its tenant's rate that one caller may use
  std::int64_t max_retry_after_us = 30'000'000;
  TenantWeights weights;
};

class TenantQuotas {
 public:
  using Micros = Jitter::Micros;

  // From this number of tracked callers on, an idle one is evicted when another is added.
  static constexpr std::size_t kMaxTrackedCallers = 4096;

  struct Decision {
    bool admitted = false;
    // For a rejected query: the time until its quota allows it, after the queries rejected before it.
    Micros retry_after_us = 0;
  };

  TenantQuotas(TenantQuotaSettings settings, std::uint64_t seed);

  // Decides on a query of `cost` expected work. Release must be called once for each admitted query. Queries
  // of a tenant without a weight are rejected.
  Decision Admit(std::string_view tenant, std::string_view caller, double cost, Micros now_us);
  void Release(std::string_view tenant, std::string_view caller);

  // Replaces the tenants and their weights. Tenants that remain keep their tokens.
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
    // When the most recently rejected query may retry; the next rejected one gets a later time.
    Micros latest_granted_retry_us = 0;
  };
  struct Caller {
    Bucket bucket;
    std::list<std::string>::iterator position;  // in least_recently_used_
  };

  // Adds the tokens that `rate` has yielded since the last refill; returns those that did not fit.
  static double Refill(Bucket& bucket, double rate, Micros now_us);
  void RefillTenants(Micros now_us);
  double RateOf(const Tenant& tenant) const { return tenant.share * settings_.work_per_s; }
  Caller& FindOrAddCaller(const std::string& key, double rate, Micros now_us);
  void EvictIdleCaller();
  bool HasCapacityFor(const Tenant& tenant) const;
  // Rejects a query for which a bucket that refills at `rate` lacks `shortfall` tokens.
  Decision Reject(Tenant& tenant, double shortfall, double rate, Micros now_us);

  const TenantQuotaSettings settings_;
  Jitter jitter_;  // spreads the retries of rejected queries
  std::map<std::string, Tenant, std::less<>> tenants_;
  std::map<std::string, Caller, std::less<>> callers_;  // by CallerKey
  std::list<std::string> least_recently_used_;          // keys of callers_, least recently used first
  double lending_pool_ = 0;                             // tokens
  int in_flight_ = 0;
};

}  // namespace liftrudder::limits

#endif  // LIFTRUDDER_LIMITS_TENANT_QUOTAS_H_
