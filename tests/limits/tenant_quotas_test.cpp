// Quotas of tenants and callers in virtual time: random loads, and one greedy tenant against three others.
#define CATCH_CONFIG_MAIN
#include "limits/tenant_quotas.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <compare>
#include <functional>
#include <map>
#include <queue>
#include <set>

using liftrudder::limits::TenantQuotas;
using liftrudder::limits::TenantQuotaSettings;
using Micros = TenantQuotas::Micros;

namespace {

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;

TenantQuotaSettings FourTenants() {
  TenantQuotaSettings settings;
  settings.work_per_s = 400;
  settings.max_in_flight = 100;
  settings.weights = {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}};
  return settings;
}

// Tenants that send queries, each at its own rate; an admitted query stays in flight for `duration_us`.
struct Load {
  struct InFlight {
    Micros ends_us = 0;
    std::string tenant;
    std::string caller;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the defaulted operator for a comparison with 0.
    auto operator<=>(const InFlight&) const = default;
  };

  explicit Load(const TenantQuotaSettings& settings) : quotas(settings, 1) {}

  // Sends queries of one unit of work at the rates in `per_s` until `end_us`. The queries of tenant "a" come
  // from `callers_of_a` callers in turn, those of any other tenant from four.
  void Run(const std::map<std::string, double>& per_s, Micros end_us, int callers_of_a = 4) {
    std::map<std::string, Micros> next_us;
    for (const auto& [tenant, rate] : per_s) next_us[tenant] = now_us;
    while (now_us < end_us) {
      auto next = std::ranges::min_element(next_us, {}, [](const auto& entry) { return entry.second; });
      const std::string& tenant = next->first;
      now_us = std::max(now_us, next->second);
      ReleaseEnded();
      std::string caller = "t" + std::to_string(sent[tenant]++ % (tenant == "a" ? callers_of_a : 4));
      bool is_admitted = quotas.Admit(tenant, caller, 1, now_us).admitted;
      if (is_admitted) in_flight.push({now_us + duration_us, tenant, caller});
      (is_admitted ? admitted : rejected)[tenant] += 1;
      next->second += static_cast<Micros>(1e6 / per_s.at(tenant));
    }
  }

  void ReleaseEnded() {
    while (!in_flight.empty() && in_flight.top().ends_us <= now_us) {
      quotas.Release(in_flight.top().tenant, in_flight.top().caller);
      in_flight.pop();
    }
  }

  TenantQuotas quotas;
  Micros now_us = kSecond;
  Micros duration_us = 50 * kMs;
  std::priority_queue<InFlight, std::vector<InFlight>, std::greater<>> in_flight;
  std::map<std::string, int> sent;
  std::map<std::string, int> admitted;
  std::map<std::string, int> rejected;
};

}  // namespace

TEST_CASE("a tenant at twenty times its quota takes nothing from tenants that stay within their quotas") {
  Load load(FourTenants());
  load.Run({{"a", 2000}, {"b", 95}, {"c", 95}, {"d", 95}}, 11 * kSecond);
  for (const char* other : {"b", "c", "d"}) CHECK(load.rejected[other] == 0);
  // It gets its own quota and what the others leave unused.
  CHECK(load.admitted["a"] > 0.95 * (400 - 3 * 95) * 10);
  CHECK(load.admitted["a"] < 1.15 * (400 - 3 * 95) * 10 + 200);
}

TEST_CASE("unused quota is lent, and its owner has it back within a second") {
  Load load(FourTenants());
  load.Run({{"a", 2000}}, 6 * kSecond);
  CHECK(load.admitted["a"] > 0.95 * 400 * 5);
  load.admitted.clear();
  load.rejected.clear();
  load.Run({{"a", 2000}, {"b", 99}, {"c", 99}, {"d", 99}}, 7 * kSecond);
  for (const char* other : {"b", "c", "d"}) CHECK(load.rejected[other] == 0);
  load.admitted.clear();
  load.Run({{"a", 2000}, {"b", 99}, {"c", 99}, {"d", 99}}, 17 * kSecond);
  CHECK(load.admitted["a"] < 1.1 * 103 * 10);
}

TEST_CASE(
    "no caller starves another caller of the same tenant, and a single caller may use the lending pool") {
  Load load(FourTenants());
  for (Micros end = 2 * kSecond; end <= 6 * kSecond; end += kSecond) {
    load.Run({{"a", 1000}, {"b", 100}, {"c", 100}, {"d", 100}}, end - 100 * kMs, 1);
    // The greedy caller may use all that its tenant's other callers leave; one of those is admitted now.
    for (int i = 0; i < 5; ++i) {
      CHECK(load.quotas.Admit("a", "quiet", 1, load.now_us).admitted);
      load.quotas.Release("a", "quiet");
    }
  }
  CHECK(load.admitted["a"] < 1.1 * 100 * 5 + 100 * 5 * 0.4);
}

TEST_CASE("queries in flight are bounded, and capacity is kept for tenants below their share") {
  TenantQuotas quotas(FourTenants(), 1);
  int greedy = 0;
  for (Micros now = kSecond; now < 3 * kSecond; now += kMs) {
    greedy += quotas.Admit("a", std::to_string(now), 1, now).admitted ? 1 : 0;
  }
  CHECK(greedy == 70);
  int others = 0;
  for (const char* other : {"b", "c", "d"}) {
    for (int i = 0; i < 10; ++i) others += quotas.Admit(other, "x", 1, 3 * kSecond).admitted ? 1 : 0;
  }
  CHECK(others == 30);
  CHECK_FALSE(quotas.Admit("b", "x", 1, 3 * kSecond).admitted);
  CHECK(quotas.InFlight() == 100);
}

TEST_CASE("the retries of rejected queries are staggered") {
  TenantQuotas quotas(FourTenants(), 7);
  std::multiset<Micros> retry_after_us;
  for (int i = 0; i < 1000; ++i) {
    auto decision = quotas.Admit("a", std::to_string(i), 1, kSecond);
    if (decision.admitted) quotas.Release("a", std::to_string(i));
    if (!decision.admitted) retry_after_us.insert(decision.retry_after_us);
  }
  REQUIRE(retry_after_us.size() > 700);
  // The bucket gains 100 tokens per second, so no 100 ms hold many more than ten retries.
  for (Micros from = 0; from < 5 * kSecond; from += 100 * kMs) {
    CHECK(std::distance(retry_after_us.lower_bound(from), retry_after_us.lower_bound(from + 100 * kMs)) < 25);
  }
  CHECK(*retry_after_us.rbegin() > 7 * kSecond);
}

TEST_CASE("no load is admitted beyond the limits, and the number of callers' buckets stays bounded") {
  rc::check([] {
    TenantQuotaSettings settings;
    settings.work_per_s = *rc::gen::inRange(1, 2000);
    settings.max_in_flight = *rc::gen::inRange(4, 200);
    int tenants = *rc::gen::inRange(1, 6);
    for (int t = 0; t < tenants; ++t) settings.weights["t" + std::to_string(t)] = *rc::gen::inRange(1, 10);
    TenantQuotas quotas(settings, *rc::gen::arbitrary<std::uint64_t>());
    struct Query {
      std::string tenant;
      std::string caller;
    };
    std::vector<Query> in_flight;
    Micros now = kSecond;
    double admitted_cost = 0;
    double max_cost = 0;
    for (int step = 0; step < 400; ++step) {
      now += *rc::gen::inRange<Micros>(0, 20 * kMs);
      if (!in_flight.empty() && *rc::gen::inRange(0, 3) == 0) {
        quotas.Release(in_flight.back().tenant, in_flight.back().caller);
        in_flight.pop_back();
      }
      std::string tenant =
          "t" + std::to_string(*rc::gen::inRange(0, tenants + 1));  // the last one is unknown
      std::string caller = std::to_string(*rc::gen::inRange(0, 50));
      double cost = *rc::gen::inRange(1, 60);
      auto decision = quotas.Admit(tenant, caller, cost, now);
      if (!decision.admitted) {
        RC_ASSERT(decision.retry_after_us > 0 && decision.retry_after_us <= settings.max_retry_after_us);
        continue;
      }
      RC_ASSERT(settings.weights.contains(tenant));
      admitted_cost += cost;
      max_cost = std::max(max_cost, cost);
      in_flight.push_back({tenant, caller});
      RC_ASSERT(static_cast<int>(in_flight.size()) <= settings.max_in_flight);
      // The full buckets and the pool at the start, the refill since, and one query of debt per tenant.
      double limit =
          settings.work_per_s * (1.25 + static_cast<double>(now - kSecond) / 1e6) + tenants * max_cost;
      RC_ASSERT(admitted_cost <= limit + 1e-6);
    }
    RC_ASSERT(quotas.InFlight() == static_cast<int>(in_flight.size()));
    RC_ASSERT(quotas.TrackedCallers() <= TenantQuotas::kMaxTrackedCallers);
  });
}

TEST_CASE("a removed tenant may finish its queries but gets no more, and idle callers' buckets are evicted") {
  TenantQuotas quotas(FourTenants(), 1);
  REQUIRE(quotas.Admit("a", "x", 1, kSecond).admitted);
  quotas.SetWeights({{"b", 1}});
  CHECK_FALSE(quotas.Admit("a", "x", 1, kSecond + kMs).admitted);
  quotas.Release("a", "x");
  CHECK(quotas.InFlight() == 0);
  for (int i = 0; i < 10'000; ++i) {
    auto decision = quotas.Admit("b", std::to_string(i), 1, 2 * kSecond + i * 10 * kMs);
    if (decision.admitted) quotas.Release("b", std::to_string(i));
  }
  CHECK(quotas.TrackedCallers() <= TenantQuotas::kMaxTrackedCallers);
  CHECK(quotas.Admit("b", "new", 1, 200 * kSecond).admitted);
}
