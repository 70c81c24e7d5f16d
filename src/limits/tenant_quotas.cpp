#include "limits/tenant_quotas.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace liftrudder::limits {
namespace {

constexpr double kBucketSeconds = 1;   // capacity of a bucket, in seconds of its rate
constexpr double kPoolSeconds = 0.25;  // capacity of the lending pool, in seconds of the total rate
constexpr double kMicrosPerSecond = 1e6;
// A tenant that has used up its share of max_in_flight is admitted only while the queries in flight are below
// this fraction of it. The rest of the capacity is kept for tenants below their share.
constexpr double kLendableInFlightFraction = 0.7;
// Retry-After is lengthened at random by up to this fraction.
constexpr double kRetryJitterFraction = 0.25;

// The NUL separates the names unambiguously: the permission table rejects tenants' names that contain one.
std::string CallerKey(std::string_view tenant, std::string_view caller) {
  std::string key(tenant);
  key += '\0';
  return key.append(caller);
}

}  // namespace

TenantQuotas::TenantQuotas(TenantQuotaSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), jitter_(seed) {
  SetWeights(settings_.weights);
}

void TenantQuotas::SetWeights(const TenantWeights& weights) {
  double sum = 0;
  for (const auto& [name, weight] : weights) sum += weight;
  // A removed tenant stays, with a rate of 0, as long as it has queries in flight.
  for (auto& [name, tenant] : tenants_) tenant.share = 0;
  std::erase_if(tenants_, [&](const auto& entry) {
    return entry.second.bucket.in_flight == 0 && !weights.contains(entry.first);
  });
  for (const auto& [name, weight] : weights) {
    auto [entry, inserted] = tenants_.try_emplace(name);
    Tenant& tenant = entry->second;
    tenant.share = sum > 0 ? weight / sum : 0;
    if (inserted) tenant.bucket.tokens = RateOf(tenant) * kBucketSeconds;
  }
}

double TenantQuotas::Refill(Bucket& bucket, double rate, Micros now_us) {
  double elapsed_s = 0;
  if (bucket.refilled_us != 0) {
    elapsed_s = static_cast<double>(std::max<Micros>(now_us - bucket.refilled_us, 0)) / kMicrosPerSecond;
  }
  bucket.refilled_us = std::max(bucket.refilled_us, now_us);
  double tokens = bucket.tokens + rate * elapsed_s;
  bucket.tokens = std::min(tokens, rate * kBucketSeconds);
  return tokens - bucket.tokens;
}

void TenantQuotas::RefillTenants(Micros now_us) {
  for (auto& [name, tenant] : tenants_) lending_pool_ += Refill(tenant.bucket, RateOf(tenant), now_us);
  lending_pool_ = std::min(lending_pool_, settings_.work_per_s * kPoolSeconds);
}

// Callers with queries in flight keep their buckets; max_in_flight bounds their number.
void TenantQuotas::EvictIdleCaller() {
  auto oldest_idle = std::ranges::find_if(least_recently_used_, [this](const std::string& key) {
    return callers_.find(key)->second.bucket.in_flight == 0;
  });
  if (oldest_idle == least_recently_used_.end()) return;
  callers_.erase(*oldest_idle);
  least_recently_used_.erase(oldest_idle);
}

TenantQuotas::Caller& TenantQuotas::FindOrAddCaller(const std::string& key, double rate, Micros now_us) {
  auto found = callers_.find(key);
  if (found == callers_.end()) {
    if (callers_.size() >= kMaxTrackedCallers) EvictIdleCaller();
    least_recently_used_.push_back(key);
    Caller caller{{rate * kBucketSeconds, now_us, 0}, std::prev(least_recently_used_.end())};
    found = callers_.emplace(key, caller).first;
  }
  least_recently_used_.splice(least_recently_used_.end(), least_recently_used_, found->second.position);
  return found->second;
}

// Staggers the retries of rejected queries: each is to come when the bucket has refilled enough for it and
// for those rejected before, plus jitter.
TenantQuotas::Decision TenantQuotas::Reject(Tenant& tenant, double shortfall, double rate, Micros now_us) {
  if (rate <= 0) return {false, settings_.max_retry_after_us};
  Micros from_us = std::max(tenant.latest_granted_retry_us, now_us);
  Micros until_us = from_us + static_cast<Micros>(std::ceil(shortfall / rate * kMicrosPerSecond));
  tenant.latest_granted_retry_us = std::min(until_us, now_us + settings_.max_retry_after_us);
  Micros wait_us = until_us - now_us;
  wait_us += jitter_.RandomBelow(static_cast<Micros>(kRetryJitterFraction * static_cast<double>(wait_us)));
  return {false, std::clamp<Micros>(wait_us, 1, settings_.max_retry_after_us)};
}

bool TenantQuotas::HasCapacityFor(const Tenant& tenant) const {
  bool below_share = tenant.bucket.in_flight < std::floor(tenant.share * settings_.max_in_flight);
  if (below_share) return in_flight_ < settings_.max_in_flight;
  return in_flight_ < kLendableInFlightFraction * settings_.max_in_flight;
}

TenantQuotas::Decision TenantQuotas::Admit(std::string_view tenant_name, std::string_view caller_name,
                                           double cost, Micros now_us) {
  auto found = tenants_.find(tenant_name);
  if (found == tenants_.end() || found->second.share <= 0) return {false, settings_.max_retry_after_us};
  Tenant& tenant = found->second;
  RefillTenants(now_us);
  double rate = RateOf(tenant);
  double caller_rate = rate * settings_.caller_fraction;
  Caller& caller = FindOrAddCaller(CallerKey(tenant_name, caller_name), caller_rate, now_us);
  Refill(caller.bucket, caller_rate, now_us);

  // A query larger than a bucket is admitted when the bucket is full, and leaves its tokens below 0.
  double tenant_shortfall = std::min(cost, rate * kBucketSeconds) - tenant.bucket.tokens;
  double caller_shortfall = std::min(cost, caller_rate * kBucketSeconds) - caller.bucket.tokens;
  bool tenant_exhausted = tenant_shortfall > 0;
  bool from_pool = tenant_exhausted || caller_shortfall > 0;
  if (from_pool && lending_pool_ < cost) {
    return tenant_exhausted ? Reject(tenant, tenant_shortfall, rate, now_us)
                            : Reject(tenant, caller_shortfall, caller_rate, now_us);
  }
  // When a query in flight will end is unknown, so the wait is estimated from the tenant's own rate.
  if (!HasCapacityFor(tenant)) return Reject(tenant, std::max(cost, 1.0), rate, now_us);

  // Work from the pool is charged to neither the tenant nor the caller, as no one else waits for it.
  if (from_pool) {
    lending_pool_ -= cost;
  } else {
    tenant.bucket.tokens -= cost;
    caller.bucket.tokens -= cost;
  }
  ++tenant.bucket.in_flight;
  ++caller.bucket.in_flight;
  ++in_flight_;
  return {true, 0};
}

void TenantQuotas::Release(std::string_view tenant_name, std::string_view caller_name) {
  auto tenant = tenants_.find(tenant_name);
  if (tenant != tenants_.end()) --tenant->second.bucket.in_flight;
  auto caller = callers_.find(CallerKey(tenant_name, caller_name));
  if (caller != callers_.end()) --caller->second.bucket.in_flight;
  --in_flight_;
  if (tenant == tenants_.end()) return;
  bool removed = tenant->second.share <= 0;
  if (removed && tenant->second.bucket.in_flight == 0) tenants_.erase(tenant);
}

}  // namespace liftrudder::limits
