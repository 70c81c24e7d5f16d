// What is harmless from one gatherer and hurts from a hundred: groups of the deciding parts in virtual time.
#define CATCH_CONFIG_MAIN
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <functional>
#include <queue>
#include <vector>

#include "coordinator/round_pacer.h"
#include "limits/backoff.h"
#include "limits/watch_timeouts.h"

using liftrudder::limits::Backoff;
using liftrudder::limits::WatchTimeoutsOf;
using Micros = Backoff::Micros;

TEST_CASE("a wait stays under a bound that doubles up to the cap, and a success resets it") {
  rc::check([] {
    Micros first = *rc::gen::inRange<Micros>(1, 1'000'000);
    Micros most = first * *rc::gen::inRange<Micros>(1, 100);
    Backoff backoff(first, most, *rc::gen::arbitrary<std::uint64_t>());
    Micros threshold = first;
    for (int i = 0; i < 20; ++i) {
      Micros wait = backoff.Next();
      RC_ASSERT(wait >= 0 && wait < std::min(threshold, most));
      threshold = std::min(threshold * 2, most);
    }
    RC_ASSERT(backoff.failures() == 20);
    backoff.Reset();
    RC_ASSERT(backoff.Next() < first);
    RC_ASSERT(backoff.Within(0) == 0);
  });
}

namespace {

// A list service of fixed capacity: calls wait in turn and fail when they have waited too long; turning one
// away takes a share of what answering takes.
struct Group {
  static constexpr int kSize = 100;
  static constexpr Micros kAnswer = 25'000, kTurnAway = 10'000, kPatience = 2'000'000;

  // When the last of the group was answered, all killed at 0; -1: not within a minute. `first` and `again`
  // say how long gatherer i waits before its first call and after a failure.
  static Micros AllTold(const std::function<Micros(int)>& first, const std::function<Micros(int)>& again) {
    using Call = std::pair<Micros, int>;  // when, whose
    std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
    for (int i = 0; i < kSize; ++i) calls.push({first(i), i});
    Micros free = 0;
    int told = 0;
    while (!calls.empty() && calls.top().first < 60'000'000) {
      auto [came, who] = calls.top();
      calls.pop();
      Micros turn = std::max(free, came);
      bool late = turn - came > kPatience;
      // A full room is seen at once; what that costs comes off the time of the others.
      free = late ? free + kTurnAway : turn + kAnswer;
      if (late) calls.push({came + again(who), who});
      if (!late && ++told == kSize) return turn + kAnswer;
    }
    return -1;
  }
};

}  // namespace

TEST_CASE("a group killed at once is told by a list service that drowns in calls a tenth of a second apart") {
  auto fixed = [](int) -> Micros { return 100'000; };
  CHECK(Group::AllTold([](int) -> Micros { return 0; }, fixed) == -1);
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::vector<Backoff> each;
    for (int i = 0; i < Group::kSize; ++i) each.emplace_back(1'250'000, 5'000'000, seed * 1000 + i);
    Micros at = Group::AllTold([&](int i) { return each[i].Within(3'000'000); },
                               [&](int i) { return each[i].Next(); });
    INFO("seed " << seed);
    CHECK(at > 0);
    CHECK(at < 10'000'000);
  }
}

namespace {

liftrudder::routing::Settings GroupOf(int size, bool subscription_required) {
  liftrudder::routing::Settings settings;
  settings.fleet_size = size;
  settings.subscription_required = subscription_required;
  settings.poll_deadline_us = 10'000'000;
  settings.drain_grace_us = 1'000'000;
  return settings;
}

}  // namespace

// Restarted amid a release: what its agent has counts as told from the start on, and what comes while the
// agent is not asked from when it comes. A send is void 1 s after that.
TEST_CASE("an agent of one's own is asked before anything it tells has run out, whatever the group's size") {
  for (int size : {1, 100, 300, 3000}) {
    liftrudder::routing::Settings settings = GroupOf(size, false);
    auto waits = WatchTimeoutsOf(settings);
    Micros longest = 0;
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      Backoff backoff(waits.first_us, waits.most_us, seed);
      longest = std::max(longest, backoff.Within(waits.start_us));
      for (int failures = 0; failures < 12; ++failures) longest = std::max(longest, backoff.Next());
    }
    INFO("group of " << size << ", longest wait " << longest << " us");
    CHECK(longest > 0);
    CHECK(longest <= settings.drain_grace_us / 4);
  }
}

TEST_CASE(
    "a list service that all of a group call is asked by a group of 300 as by one of 100, spread wider") {
  auto hundred = WatchTimeoutsOf(GroupOf(100, true)), all = WatchTimeoutsOf(GroupOf(300, true));
  CHECK(hundred.start_us == 3'000'000);
  CHECK(hundred.first_us == 1'250'000);
  CHECK(hundred.most_us == 5'000'000);
  CHECK(all.start_us >= hundred.start_us);
  CHECK(WatchTimeoutsOf(GroupOf(1, true)).start_us == 30'000);
}

// A fifth of a core: a round of 50 us takes 250. Answers come twice a millisecond, now and then a query.
TEST_CASE("rounds for answers take a tenth of the time, and a query waits for a resolution at most") {
  liftrudder::routing::Settings settings = GroupOf(300, false);
  liftrudder::routing::QueryClassSettings search;
  search.latency_objective_us = 500'000;
  settings.classes = {search};
  settings.decision_interval_us = 1'000;
  liftrudder::coordinator::RoundPacer pace(settings);
  constexpr Micros kRound = 250, kEnd = 1'000'000;
  Micros now = 0, in_rounds = 0, longest = 0;
  while (now < kEnd) {
    now = pace.Later();
    longest = std::max(longest, now - pace.Last());
    CHECK(pace.Soon() - pace.Last() == settings.decision_interval_us);
    pace.Began(now);
    pace.Ended(now += kRound);
    in_rounds += kRound;
  }
  CHECK(in_rounds <= kEnd / 9);
  CHECK(longest == 2'500);
  pace.Began(now);
  pace.Ended(now + 20'000);  // many sends: answers wait for the aim's share, not for ten times as long
  CHECK(pace.Later() - pace.Last() == 5'000);
}
