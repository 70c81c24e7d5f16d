#include "limits/tenant_quotas.h"

#include <algorithm>
#include <cmath>

namespace liftrudder::limits {
namespace {

constexpr double kBurstS = 1;    // an account holds so much of its income
constexpr double kPoolS = 0.25;  // and the pool so much of all
constexpr double kOpenLent =
    0.7;  // beyond its share a tenant opens a query only below this share of all: whoever
          // comes back to its own finds room at once, whatever others have open
constexpr double kSpread = 0.25;  // a promised time is drawn from this share after it

std::string Key(std::string_view tenant, std::string_view caller) {
  std::string out(tenant);
  out += '\0';  // no tenant's name has one: the operator's file is checked for it
  return out.append(caller);
}

}  // namespace

TenantQuotas::TenantQuotas(ShareSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), spread_(1, 1, seed) {
  Take(settings_.weights);
}

void TenantQuotas::Take(std::map<std::string, double, std::less<>> weights) {
  double sum = 0;
  for (const auto& [name, weight] : weights) sum += weight;
  // A tenant that is gone keeps its account as long as something of it is open, without an income.
  for (auto& [name, tenant] : tenants_) tenant.share = 0;
  std::erase_if(tenants_, [&](const auto& one) {
    return one.second.account.open == 0 && !weights.contains(one.first);
  });
  for (const auto& [name, weight] : weights) {
    bool fresh = !tenants_.contains(name);
    Tenant& tenant = tenants_[name];
    tenant.share = sum > 0 ? weight / sum : 0;
    if (fresh) tenant.account.has = tenant.share * settings_.work_per_s * kBurstS;
  }
}

double TenantQuotas::Fill(Account& account, double rate, Micros now_us) {
  double since_s =
      account.filled_us == 0 ? 0 : static_cast<double>(std::max<Micros>(now_us - account.filled_us, 0)) / 1e6;
  account.filled_us = std::max(account.filled_us, now_us);
  double sum = account.has + rate * since_s;
  account.has = std::min(sum, rate * kBurstS);
  return sum - account.has;
}

void TenantQuotas::FillAll(Micros now_us) {
  for (auto& [name, tenant] : tenants_)
    pool_ += Fill(tenant.account, tenant.share * settings_.work_per_s, now_us);
  pool_ = std::min(pool_, settings_.work_per_s * kPoolS);
}

TenantQuotas::Caller& TenantQuotas::Known(const std::string& key, double rate, Micros now_us) {
  auto found = authenticator_.find(key);
  if (found == authenticator_.end()) {
    // The one longest unused makes room; one with a query open keeps its account, and those are bounded.
    if (authenticator_.size() >= kMostCallers) {
      auto idle = [&](const std::string& one) { return authenticator_.find(one)->second.account.open == 0; };
      auto oldest = std::ranges::find_if(by_age_, idle);
      if (oldest != by_age_.end()) {
        authenticator_.erase(*oldest);
        by_age_.erase(oldest);
      }
    }
    by_age_.push_back(key);
    found = authenticator_.emplace(key, Caller{{rate * kBurstS, now_us, 0}, std::prev(by_age_.end())}).first;
  }
  by_age_.splice(by_age_.end(), by_age_, found->second.age);
  return found->second;
}

// Those refused come back one after the other, as the account can take them, and a little apart.
TenantQuotas::Micros TenantQuotas::Promise(Tenant& tenant, double missing, double rate, Micros now_us) {
  if (rate <= 0) return settings_.most_retry_us;
  Micros from = std::max(tenant.promised_us, now_us);
  Micros until = from + static_cast<Micros>(std::ceil(missing / rate * 1e6));
  tenant.promised_us = std::min(until, now_us + settings_.most_retry_us);
  Micros wait = until - now_us;
  wait += spread_.Within(static_cast<Micros>(kSpread * static_cast<double>(wait)));
  return std::clamp<Micros>(wait, 1, settings_.most_retry_us);
}

TenantQuotas::Verdict TenantQuotas::Ask(std::string_view tenant_name, std::string_view caller_name,
                                        double cost, Micros now_us) {
  auto found = tenants_.find(tenant_name);
  if (found == tenants_.end() || found->second.share <= 0) return {false, settings_.most_retry_us};
  Tenant& tenant = found->second;
  FillAll(now_us);
  double rate = tenant.share * settings_.work_per_s;
  // More than an account can ever hold is granted to a full one, which then owes the rest.
  double needed = std::min(cost, rate * kBurstS);
  double caller_rate = rate * settings_.caller_share;
  Caller& caller = Known(Key(tenant_name, caller_name), caller_rate, now_us);
  Fill(caller.account, caller_rate, now_us);
  double open_share = tenant.share * settings_.most_open;
  bool lent = tenant.account.has < needed;
  // A caller is held to its part of its tenant's share, and not of what is lent to it: nobody waits for that.
  double caller_missing = std::min(cost, caller_rate * kBurstS) - caller.account.has;
  if (!lent && caller_missing > 0 && pool_ < cost)
    return {false, Promise(tenant, caller_missing, caller_rate, now_us)};
  if (lent && pool_ < cost) return {false, Promise(tenant, needed - tenant.account.has, rate, now_us)};
  bool own_open = tenant.account.open < std::floor(open_share);
  bool room = own_open ? open_ < settings_.most_open : open_ < kOpenLent * settings_.most_open;
  // One query's worth of a place: when it is free nobody can tell, so the account's own pace is taken.
  if (!room) return {false, Promise(tenant, std::max(cost, 1.0), rate, now_us)};
  bool from_pool = lent || caller_missing > 0;
  (from_pool ? pool_ : tenant.account.has) -= cost;
  if (!from_pool) caller.account.has -= cost;
  ++tenant.account.open;
  ++caller.account.open;
  ++open_;
  return {true, 0};
}

void TenantQuotas::End(std::string_view tenant_name, std::string_view caller_name) {
  auto tenant = tenants_.find(tenant_name);
  if (tenant != tenants_.end()) --tenant->second.account.open;
  auto caller = authenticator_.find(Key(tenant_name, caller_name));
  if (caller != authenticator_.end()) --caller->second.account.open;
  --open_;
  if (tenant != tenants_.end() && tenant->second.share <= 0 && tenant->second.account.open == 0)
    tenants_.erase(tenant);
}

}  // namespace liftrudder::limits
