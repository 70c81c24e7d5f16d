// Shares of tenants and callers, in virtual time: random loads, and one greedy tenant against three.
#define CATCH_CONFIG_MAIN
#include "limits/tenant_quotas.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <queue>
#include <set>

using liftrudder::limits::ShareSettings;
using liftrudder::limits::TenantQuotas;
using Micros = TenantQuotas::Micros;

namespace {

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;

ShareSettings Four() {
  ShareSettings out;
  out.work_per_s = 400;
  out.most_open = 100;
  out.weights = {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}};
  return out;
}

// Tenants that ask at their own pace, each query open for `lasts`.
struct Load {
  explicit Load(const ShareSettings& settings) : accounts(settings, 1) {}

  // `per_s` queries of one work each, until `end`: a's from `callers` callers in turn, the others' from four.
  void Run(const std::map<std::string, double>& per_s, Micros end, int authenticator = 4) {
    std::map<std::string, Micros> next;
    for (const auto& [name, rate] : per_s) next[name] = now;
    while (now < end) {
      auto who = std::ranges::min_element(next, {}, [](const auto& one) { return one.second; });
      now = std::max(now, who->second);
      while (!open.empty() && open.top().first <= now) {
        accounts.End(open.top().second.first, open.top().second.second);
        open.pop();
      }
      std::string caller =
          "t" + std::to_string(asked[who->first]++ % (who->first == "a" ? authenticator : 4));
      auto verdict = accounts.Ask(who->first, caller, 1, now);
      if (verdict.granted) open.push({now + lasts, {who->first, caller}});
      (verdict.granted ? granted : refused)[who->first] += 1;
      who->second += static_cast<Micros>(1e6 / per_s.at(who->first));
    }
  }

  using Ending = std::pair<Micros, std::pair<std::string, std::string>>;
  TenantQuotas accounts;
  Micros now = kSecond, lasts = 50 * kMs;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> open;
  std::map<std::string, int> asked, granted, refused;
};

}  // namespace

TEST_CASE("one tenant at twenty times its share costs the others nothing within theirs") {
  Load load(Four());
  load.Run({{"a", 2000}, {"b", 95}, {"c", 95}, {"d", 95}}, 11 * kSecond);
  for (const char* other : {"b", "c", "d"}) CHECK(load.refused[other] == 0);
  // It gets its own, and what the others leave.
  CHECK(load.granted["a"] > 0.95 * (400 - 3 * 95) * 10);
  CHECK(load.granted["a"] < 1.15 * (400 - 3 * 95) * 10 + 200);
}

TEST_CASE("unused share is lent, and back within a second for whoever wants its own") {
  Load load(Four());
  load.Run({{"a", 2000}}, 6 * kSecond);
  CHECK(load.granted["a"] > 0.95 * 400 * 5);
  load.granted.clear();
  load.refused.clear();
  load.Run({{"a", 2000}, {"b", 99}, {"c", 99}, {"d", 99}}, 7 * kSecond);
  for (const char* other : {"b", "c", "d"}) CHECK(load.refused[other] == 0);
  load.granted.clear();
  load.Run({{"a", 2000}, {"b", 99}, {"c", 99}, {"d", 99}}, 17 * kSecond);
  CHECK(load.granted["a"] < 1.1 * 103 * 10);
}

TEST_CASE("no caller starves another of its tenant, a lone one may have what is lent") {
  Load load(Four());
  for (Micros end = 2 * kSecond; end <= 6 * kSecond; end += kSecond) {
    load.Run({{"a", 1000}, {"b", 100}, {"c", 100}, {"d", 100}}, end - 100 * kMs, 1);
    // The greedy caller may have all that its fellows leave; when one of them comes there is room at once.
    for (int i = 0; i < 5; ++i) {
      CHECK(load.accounts.Ask("a", "quiet", 1, load.now).granted);
      load.accounts.End("a", "quiet");
    }
  }
  CHECK(load.granted["a"] < 1.1 * 100 * 5 + 100 * 5 * 0.4);
}

TEST_CASE("queries open are bounded, and room is kept for those below their share") {
  TenantQuotas accounts(Four(), 1);
  int greedy = 0;
  for (Micros now = kSecond; now < 3 * kSecond; now += kMs)
    greedy += accounts.Ask("a", std::to_string(now), 1, now).granted;
  CHECK(greedy == 70);
  int others = 0;
  for (const char* other : {"b", "c", "d"})
    for (int i = 0; i < 10; ++i) others += accounts.Ask(other, "x", 1, 3 * kSecond).granted;
  CHECK(others == 30);
  CHECK_FALSE(accounts.Ask("b", "x", 1, 3 * kSecond).granted);
  CHECK(accounts.Open() == 100);
}

TEST_CASE("those refused are asked back one after the other, not together") {
  TenantQuotas accounts(Four(), 7);
  std::multiset<Micros> back;
  for (int i = 0; i < 1000; ++i) {
    auto verdict = accounts.Ask("a", std::to_string(i), 1, kSecond);
    if (verdict.granted) accounts.End("a", std::to_string(i));
    if (!verdict.granted) back.insert(verdict.retry_after_us);
  }
  REQUIRE(back.size() > 700);
  // The account earns 100 a second: no tenth of a second has many more than ten of them.
  for (Micros from = 0; from < 5 * kSecond; from += 100 * kMs)
    CHECK(std::distance(back.lower_bound(from), back.lower_bound(from + 100 * kMs)) < 25);
  CHECK(*back.rbegin() > 7 * kSecond);
}

TEST_CASE("grants never pass what there is, whatever the load, and the accounts stay bounded") {
  rc::check([] {
    ShareSettings settings;
    settings.work_per_s = *rc::gen::inRange(1, 2000);
    settings.most_open = *rc::gen::inRange(4, 200);
    int tenants = *rc::gen::inRange(1, 6);
    for (int t = 0; t < tenants; ++t) settings.weights["t" + std::to_string(t)] = *rc::gen::inRange(1, 10);
    TenantQuotas accounts(settings, *rc::gen::arbitrary<std::uint64_t>());
    std::vector<std::pair<std::string, std::string>> open;
    Micros now = kSecond;
    double granted = 0, most_cost = 0;
    for (int step = 0; step < 400; ++step) {
      now += *rc::gen::inRange<Micros>(0, 20 * kMs);
      if (!open.empty() && *rc::gen::inRange(0, 3) == 0) {
        accounts.End(open.back().first, open.back().second);
        open.pop_back();
      }
      std::string tenant = "t" + std::to_string(*rc::gen::inRange(0, tenants + 1));  // the last is not known
      std::string caller = std::to_string(*rc::gen::inRange(0, 50));
      double cost = *rc::gen::inRange(1, 60);
      auto verdict = accounts.Ask(tenant, caller, cost, now);
      if (!verdict.granted)
        RC_ASSERT(verdict.retry_after_us > 0 && verdict.retry_after_us <= settings.most_retry_us);
      if (!verdict.granted) continue;
      RC_ASSERT(settings.weights.contains(tenant));
      granted += cost;
      most_cost = std::max(most_cost, cost);
      open.emplace_back(tenant, caller);
      RC_ASSERT(static_cast<int>(open.size()) <= settings.most_open);
      // What it started with, what came in, the pool, and one debt of each tenant.
      double most =
          settings.work_per_s * (1.25 + static_cast<double>(now - kSecond) / 1e6) + tenants * most_cost;
      RC_ASSERT(granted <= most + 1e-6);
    }
    RC_ASSERT(accounts.Open() == static_cast<int>(open.size()));
    RC_ASSERT(accounts.Authenticator() <= TenantQuotas::kMostCallers);
  });
}

TEST_CASE("a tenant removed with queries out ends them and gets no more, and callers' accounts make room") {
  TenantQuotas accounts(Four(), 1);
  REQUIRE(accounts.Ask("a", "x", 1, kSecond).granted);
  accounts.Take({{"b", 1}});
  CHECK_FALSE(accounts.Ask("a", "x", 1, kSecond + kMs).granted);
  accounts.End("a", "x");
  CHECK(accounts.Open() == 0);
  for (int i = 0; i < 10'000; ++i) {
    auto verdict = accounts.Ask("b", std::to_string(i), 1, 2 * kSecond + i * 10 * kMs);
    if (verdict.granted) accounts.End("b", std::to_string(i));
  }
  CHECK(accounts.Authenticator() <= TenantQuotas::kMostCallers);
  CHECK(accounts.Ask("b", "new", 1, 200 * kSecond).granted);
}
