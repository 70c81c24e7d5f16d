// A small test for each rule and each failure found, driven through the interface alone.
#include "routing/router.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <map>
#include <set>

#include "routing/settings_validation.h"

namespace liftrudder::routing {
namespace {

constexpr Micros kMs = 1000;
constexpr Micros kLatencyObjective = 1000 * kMs;

Settings BaseSettings() {
  Settings s;
  QueryClassSettings whole;
  whole.latency_objective_us = kLatencyObjective;
  whole.client_timeout_us = 3 * kLatencyObjective;
  whole.late_value_fraction = 0.2;
  QueryClassSettings partial = whole;
  partial.min_coverage = 0.4;
  partial.partial_value_factor = 0.9;
  partial.priority_weight = 3;
  QueryClassSettings fetching = partial;
  fetching.latency_objective_us = 2 * kLatencyObjective;
  fetching.fetch_phase_requests = 2;
  s.classes = {whole, partial, fetching};
  s.fleet_size = 2;
  s.cells = 4;
  s.reach = 4;
  s.shards = 4;
  s.max_attempts = 4;
  s.cancellation_allowed = s.hedging_allowed = s.retry_after_allowed = true;
  s.max_retry_after_us = 1000 * kMs;
  s.decision_interval_us = 5 * kMs;
  s.slow_start_capacity = 0.2;
  s.slow_start_us = 10000 * kMs;
  s.collapse_load_multiple = 4;
  s.collapse_window_us = 2000 * kMs;
  return s;
}

enum Class { kComplete = 0, kPartial = 1, kFetching = 2 };

class Bench {
 public:
  explicit Bench(Settings s = BaseSettings(), std::uint64_t seed = 7) : module(s, seed) {
    EndpointListUpdate update{EndpointListKind::kCached, 1, {}};
    for (int cell = 0; cell < s.cells; ++cell) update.endpoints.push_back(Member(cell));
    Do(update);
  }

  static Endpoint Member(int cell, Availability how = Availability::kReady, Micros launched = 0) {
    return {{static_cast<std::uint32_t>(cell), 1}, 0, 0, cell, how, 1, launched};
  }

  std::vector<Action> Do(const std::vector<Event>& events) {
    last.clear();
    module.Handle(now, events, last);
    for (const Action& action : last) {
      if (const auto* send = std::get_if<Send>(&action)) {
        int attempt = attempts[send->shard_request]++;
        sent.push_back({*send, attempt});
        out[{send->shard_request, attempt}] = {send->endpoint, now};
      }
    }
    return last;
  }
  std::vector<Action> Do(const Event& event) { return Do(std::vector<Event>{event}); }
  std::vector<Action> Tick(Micros span) {
    now += span;
    return Do(TimerFired{0});
  }

  // A query with parts of these weights; part ids are id * 100 + index, shards their index.
  std::vector<Action> Ask(Id id, int cls, std::vector<double> weights,
                          Micros patience = 2 * kLatencyObjective, int tenant = 0, bool is_retry = false) {
    std::vector<Event> events{QueryReceived{id, static_cast<std::int64_t>(id),
                                            static_cast<int>(weights.size()), cls, tenant, is_retry, 0,
                                            patience, 0}};
    for (std::size_t i = 0; i < weights.size(); ++i) {
      events.push_back(ShardRequestReceived{static_cast<Id>(id * 100 + i), static_cast<std::int64_t>(id),
                                            static_cast<int>(i), weights[i], 0, 0});
    }
    return Do(events);
  }

  std::vector<Action> End(Id shard_request, int attempt, AttemptOutcome code = AttemptOutcome::kOk) {
    auto [endpoint, since] = out.at({shard_request, attempt});
    out.erase({shard_request, attempt});
    return Do(AttemptFinished{
        shard_request, attempt, endpoint, code, now - since, code == AttemptOutcome::kOk, {}});
  }

  // Brings in everything that is out.
  void EndAll(AttemptOutcome code = AttemptOutcome::kOk) {
    auto keys = out;
    for (const auto& [key, value] : keys) End(key.first, key.second, code);
  }

  // A calm history: one-part queries, each taking `latency`.
  void Calm(int queries, Micros latency = 100 * kMs) {
    for (int i = 0; i < queries; ++i) {
      Ask(next_id, kComplete, {1});
      ++next_id;
      now += latency;
      EndAll();
    }
    sent.clear();
  }

  template <typename T>
  std::vector<T> Last() const {
    std::vector<T> found;
    for (const Action& action : last) {
      if (const auto* match = std::get_if<T>(&action)) found.push_back(*match);
    }
    return found;
  }
  EndpointId Where(Id shard_request, int attempt = 0) const {
    for (const auto& [send, number] : sent) {
      if (send.shard_request == shard_request && number == attempt) return send.endpoint;
    }
    ADD_FAILURE() << "part " << shard_request << " attempt " << attempt << " was not sent";
    return {};
  }
  int Sends(Id shard_request) const {
    return attempts.contains(shard_request) ? attempts.at(shard_request) : 0;
  }
  // Fills the fleet: queries whose parts stay out.
  void Load(int queries) {
    for (int i = 0; i < queries; ++i)
      Ask(next_id++, kComplete, {0.25, 0.25, 0.25, 0.25}, 3 * kLatencyObjective);
  }

  Router module;
  Micros now = 100000 * kMs;
  std::vector<Action> last;
  std::vector<std::pair<Send, int>> sent;
  std::map<std::pair<Id, int>, std::pair<EndpointId, Micros>> out;
  std::map<Id, int> attempts;
  Id next_id = 1000;
};

// ---- The mechanism ----

TEST(Cut, RestsAtZeroSoOnlyWeightlessPartsStayUnsent) {
  Bench bench;
  bench.Ask(1, kPartial, {0.7, 0.25, 0.05, 0.0});
  EXPECT_EQ(bench.sent.size(), 3u);
  EXPECT_EQ(bench.Sends(103), 0);
}

TEST(Cut, DropsTheLightestUnderLatenessAndNeverMoreThanTheFloorLeaves) {
  Bench bench;
  bench.Calm(30);
  bench.Load(15);
  std::size_t before = bench.sent.size();
  bench.Ask(1, kPartial, {0.1, 0.5, 0.15, 0.25});
  ASSERT_GT(bench.sent.size(), before);
  EXPECT_EQ(bench.Sends(100), 0);
  EXPECT_EQ(bench.Sends(101), 1);
  double unsent = (bench.Sends(102) ? 0 : 0.15) + (bench.Sends(103) ? 0 : 0.25) + 0.1;
  EXPECT_LE(unsent, 0.6);
}

TEST(Cut, AClassThatNeedsEveryPartSendsAll) {
  Bench bench;
  bench.Ask(1, kComplete, {0.9, 0.1, 0.0});
  EXPECT_EQ(bench.sent.size(), 3u);
}

TEST(Endpoint, FewestOwnPartsOut) {
  Bench bench;
  for (Id id = 1; id <= 4; ++id) bench.Ask(id, kComplete, {1});
  std::set<EndpointId> used;
  for (const auto& [send, attempt] : bench.sent) used.insert(send.endpoint);
  EXPECT_EQ(used.size(), 4u);
}

TEST(Endpoint, OnlyReplicasOfTheShard) {
  Settings s = BaseSettings();
  s.reach = 1;
  Bench bench(s);
  bench.Ask(1, kComplete, {0.25, 0.25, 0.25, 0.25});
  for (Id shard_request = 100; shard_request < 104; ++shard_request)
    EXPECT_EQ(bench.Where(shard_request).address, shard_request - 100);
}

TEST(Module, SameEventsSameActions) {
  Bench a, b;
  for (Bench* bench : {&a, &b}) {
    bench->Calm(20);
    bench->Load(5);
  }
  ASSERT_EQ(a.sent.size(), b.sent.size());
  for (std::size_t i = 0; i < a.sent.size(); ++i)
    EXPECT_EQ(a.sent[i].first.endpoint, b.sent[i].first.endpoint);
}

// ---- Rule 1: no query is lost ----

TEST(NoQueryLost, EndsBeforeTheClientsTimeAndSendsNothingAfter) {
  Bench bench;
  bench.Ask(1, kComplete, {1}, kLatencyObjective);
  int ends = 0;
  for (Micros t = 0; t < 2 * kLatencyObjective; t += 5 * kMs) {
    std::size_t sends = bench.sent.size();
    bench.Tick(5 * kMs);
    auto count = bench.Last<Reject>().size() + bench.Last<Fail>().size() + bench.Last<Answer>().size();
    if (ends > 0) {
      EXPECT_EQ(bench.sent.size(), sends);
    }
    if (count > 0) {
      EXPECT_LT(bench.now, 100000 * kMs + kLatencyObjective);
    }
    ends += static_cast<int>(count);
  }
  EXPECT_EQ(ends, 1);
}

TEST(NoQueryLost, NoReplicaAtAllIsEndedAtOnce) {
  Bench bench;
  bench.Do(EndpointListUpdate{EndpointListKind::kFull, 2, {}});
  bench.Ask(1, kComplete, {1});
  bench.Tick(2 * kLatencyObjective);
  EXPECT_TRUE(bench.sent.empty());
}

TEST(NoQueryLost, EventsForUnknownOrEndedIdsAreIgnored) {
  Bench bench;
  bench.Do({ClientDisconnected{77}, AttemptFinished{9, 0, {1, 1}, AttemptOutcome::kOk, 5, true, {}},
            ShardRequestReceived{5, 99, 0, 1, 0, 0}});
  bench.Ask(1, kComplete, {1});
  bench.Do(ClientDisconnected{1});
  bench.EndAll();
  EXPECT_TRUE(bench.Last<Answer>().empty());
}

// ---- Rule 2: no effect happens twice ----

TEST(Effect, UnsafePartsAreResentOnlyWhenProvedNotRun) {
  Settings s = BaseSettings();
  s.classes[0].effect = Effect::kNonIdempotent;
  Bench bench(s);
  bench.Ask(1, kComplete, {1});
  bench.End(100, 0, AttemptOutcome::kOverloaded);
  EXPECT_EQ(bench.Sends(100), 2);
  bench.now += 20 * kMs;
  bench.End(100, 1, AttemptOutcome::kError);
  EXPECT_EQ(bench.Sends(100), 2);
  EXPECT_EQ(bench.Last<Fail>().size(), 1u);
  EXPECT_TRUE(bench.Last<Reject>().empty());
}

TEST(Effect, KeyedPartsAreResentOnlyInsideTheWindow) {
  Settings s = BaseSettings();
  s.classes[0].effect = Effect::kIdempotencyKey;
  s.classes[0].deduplication_window_us = 300 * kMs;
  Bench inside(s), outside(s);
  inside.Ask(1, kComplete, {1});
  inside.now += 100 * kMs;
  inside.End(100, 0, AttemptOutcome::kError);
  EXPECT_EQ(inside.Sends(100), 2);
  s.hedging_allowed = false;
  outside.Ask(1, kComplete, {1});
  outside.now += 290 * kMs;
  outside.End(100, 0, AttemptOutcome::kError);
  EXPECT_EQ(outside.Sends(100), 1);
}

// ---- Rule 3: drains ----

TEST(Drain, NothingNewToADrainingOrGoneReplica) {
  Bench bench;
  bench.Do(
      EndpointListUpdate{EndpointListKind::kDelta,
                         2,
                         {Bench::Member(0, Availability::kDraining), Bench::Member(1, Availability::kRemoved)}});
  for (Id id = 1; id <= 20; ++id) bench.Ask(id, kComplete, {1});
  for (const auto& [send, attempt] : bench.sent) EXPECT_GE(send.endpoint.address, 2u);
}

// ---- Rule 4: cold replicas ----

TEST(Cold, AStartedReplicaGetsNoMoreThanItsWarmthsShare) {
  Bench bench;
  bench.Calm(40, 20 * kMs);
  bench.Do(
      EndpointListUpdate{EndpointListKind::kDelta, 2, {Bench::Member(0, Availability::kReady, bench.now)}});
  int to_cold = 0, to_others = 0;
  for (int i = 0; i < 60; ++i) {
    bench.Ask(bench.next_id++, kComplete, {1});
    (bench.sent.back().first.endpoint.address == 0 ? to_cold : to_others)++;
    bench.now += 20 * kMs;
    bench.EndAll();
  }
  EXPECT_GE(to_cold, 1);
  EXPECT_LE(to_cold, 0.5 * to_others / 3);
}

TEST(Cold, AllStartedTogetherStillHoldTheBudget) {
  Bench bench;
  EndpointListUpdate update{EndpointListKind::kDelta, 2, {}};
  for (int cell = 0; cell < 4; ++cell)
    update.endpoints.push_back(Bench::Member(cell, Availability::kReady, bench.now));
  bench.Do(update);
  for (int i = 0; i < 50; ++i) bench.Ask(bench.next_id++, kComplete, {1});
  EXPECT_LE(bench.sent.size(), 4u);
}

// ---- Rule 5: honest answers ----

TEST(Honest, WholeOnlyWhenAllIsInAndPartialOnlyFromTheFloor) {
  Bench bench;
  bench.Ask(1, kPartial, {0.5, 0.3, 0.2});
  bench.now += 50 * kMs;
  bench.End(101, 0);
  bench.now = 100000 * kMs + kLatencyObjective;
  bench.Tick(0);
  EXPECT_TRUE(bench.Last<Answer>().empty());  // 0.3 is under the floor of 0.4
  bench.End(100, 0);
  ASSERT_EQ(bench.Last<Answer>().size(), 1u);
  EXPECT_FALSE(bench.Last<Answer>()[0].complete);
}

TEST(Honest, BothStepsMustBeWhole) {
  Bench bench;
  bench.Ask(1, kFetching, {0.6, 0.4}, 3 * kLatencyObjective);
  bench.now += 50 * kMs;
  bench.EndAll();
  ASSERT_EQ(bench.Last<Answer>().size(), 1u);
  EXPECT_TRUE(bench.Last<Answer>()[0].complete);
  bench.Do({ShardRequestReceived{201, 1, 0, 0.5, 0, 0}, ShardRequestReceived{202, 1, 1, 0.5, 0, 0}});
  bench.now += 50 * kMs;
  bench.End(201, 0);
  EXPECT_TRUE(bench.Last<Answer>().empty());
  bench.End(202, 0);
  ASSERT_EQ(bench.Last<Answer>().size(), 1u);
  EXPECT_TRUE(bench.Last<Answer>()[0].complete);
}

// ---- Rule 6: the retry budget ----

TEST(Budget, FurtherAttemptsStayWithinIt) {
  Settings s = BaseSettings();
  s.has_retry_budget = true;
  s.retry_budget_floor = 2;
  s.retry_budget_ratio = 0;
  s.retry_budget_window_us = 1000 * kMs;
  Bench bench(s);
  for (Id id = 1; id <= 6; ++id) bench.Ask(id, kComplete, {1});
  auto keys = bench.out;
  for (const auto& [key, value] : keys) bench.End(key.first, key.second, AttemptOutcome::kOverloaded);
  EXPECT_EQ(bench.sent.size(), 8u);
}

// ---- Failures found ----

// A query in hand is not held up by one replica that answers nothing: the part is copied elsewhere.
TEST(Hang, APartOutFarLongerThanItsFellowsIsCopied) {
  Bench bench;
  bench.Calm(60);
  bench.Ask(1, kComplete, {1});
  for (int i = 0; i < 150 && bench.Sends(100) < 2; ++i) bench.Tick(5 * kMs);
  ASSERT_EQ(bench.Sends(100), 2);
  EXPECT_NE(bench.Where(100, 0), bench.Where(100, 1));
}

TEST(Hang, ASilentReplicaIsKeptOutAndLetBackByATrial) {
  Bench bench;
  bench.Calm(60);
  bench.Ask(1, kComplete, {1});
  EndpointId hung = bench.Where(100);
  auto stuck = bench.out;
  for (int i = 0; i < 120; ++i) bench.Tick(5 * kMs);
  int to_hung = 0;
  for (int i = 0; i < 200; ++i) {
    bench.Ask(bench.next_id++, kComplete, {1});
    to_hung += bench.sent.back().first.endpoint == hung;
    bench.now += 10 * kMs;
    auto keys = bench.out;
    for (const auto& [key, value] : keys) {
      if (value.first != hung) bench.End(key.first, key.second);
    }
  }
  EXPECT_GE(to_hung, 1);
  EXPECT_LE(to_hung, 10);  // a fair share is 50
}

TEST(FastErrors, AReplicaThatFailsFastIsKeptOut) {
  Bench bench;
  bench.Calm(40);
  int to_bad = 0;
  for (int i = 0; i < 60; ++i) {
    bench.Ask(bench.next_id++, kComplete, {1});
    bench.now += kMs;
    auto keys = bench.out;
    for (const auto& [key, value] : keys) {
      bool bad = value.first.address == 2;
      to_bad += bad;
      bench.End(key.first, key.second, bad ? AttemptOutcome::kError : AttemptOutcome::kOk);
    }
  }
  EXPECT_LE(to_bad, 6);
}

// Incident i6a266a: an answer now and then among errors is no recovery.
TEST(Forgotten, AReplicaThatIsGoneAndComesBackIsAnother) {
  Bench bench;
  bench.Calm(40);
  for (int errors = 0; errors < 2;) {
    Id id = bench.next_id++;
    bench.Ask(id, kComplete, {1});
    bool bad = bench.Where(id * 100).address == 2;
    bench.End(id * 100, 0, bad ? AttemptOutcome::kError : AttemptOutcome::kOk);
    errors += bad;
    bench.EndAll();
  }
  for (Availability how : {Availability::kRemoved, Availability::kReady})
    bench.Do(EndpointListUpdate{EndpointListKind::kDelta, 2, {Bench::Member(2, how)}});
  std::set<EndpointId> used;
  for (int i = 0; i < 4; ++i) {
    bench.Ask(bench.next_id++, kComplete, {1});
    used.insert(bench.Where((bench.next_id - 1) * 100));
  }
  EXPECT_TRUE(used.contains(Bench::Member(2).id));
}

TEST(FastErrors, OneAnswerAmongErrorsIsNoRecovery) {
  Bench bench;
  bench.Calm(40);
  int to_bad = 0;
  for (int i = 0; i < 200; ++i) {
    bench.Ask(bench.next_id++, kComplete, {1});
    bench.now += 50 * kMs;
    auto keys = bench.out;
    for (const auto& [key, value] : keys) {
      bool bad = value.first.address == 2;
      to_bad += bad;
      bench.End(key.first, key.second, bad && to_bad % 4 != 0 ? AttemptOutcome::kError : AttemptOutcome::kOk);
    }
  }
  EXPECT_LE(to_bad, 14);
}

// Incident i42fb10: a part that kills the replica that takes it was resent to every holder in turn.
TEST(QueryOfDeath, APartThatWasOutAtALostReplicaIsNotResent) {
  Bench bench;
  bench.Ask(1, kComplete, {1});
  bench.now += 20 * kMs;
  bench.End(100, 0, AttemptOutcome::kReset);
  for (int i = 0; i < 100; ++i) bench.Tick(5 * kMs);
  EXPECT_EQ(bench.Sends(100), 1);
}

// Incident ic23f93: hurried clients were taken for late repeats and refused.
TEST(Hurry, AShortPatienceIsServed) {
  Settings s = BaseSettings();
  s.classes[0].late_value_fraction = 0;
  Bench bench(s);
  bench.Ask(1, kComplete, {1}, 2 * kLatencyObjective);
  bench.Ask(2, kComplete, {1}, 300 * kMs);
  EXPECT_EQ(bench.Sends(200), 1);
  EXPECT_TRUE(bench.Last<Reject>().empty());
}

TEST(Hurry, AMarkedRepeatPastItsAimIsRefusedWhereLateIsWorthNothing) {
  Settings s = BaseSettings();
  s.classes[0].late_value_fraction = 0;
  Bench bench(s);
  bench.Ask(1, kComplete, {1}, 2 * kLatencyObjective);
  bench.Ask(2, kComplete, {1}, 500 * kMs, 0, true);
  EXPECT_EQ(bench.Sends(200), 0);
  EXPECT_EQ(bench.Last<Reject>().size(), 1u);
}

// Incident ia37c4d: refusals swung between all and nothing. They begin with the parts out and end with them.
TEST(Overload, RefusalsBeginWithTheBacklogAndEndWithIt) {
  Bench bench;
  bench.Calm(40);
  bench.Load(60);
  bench.Ask(1, kComplete, {0.5, 0.5});
  ASSERT_EQ(bench.Last<Reject>().size(), 1u);
  EXPECT_GT(bench.Last<Reject>()[0].retry_after_us, 0);
  bench.now += 50 * kMs;
  bench.EndAll();
  bench.Ask(2, kComplete, {0.5, 0.5});
  EXPECT_EQ(bench.Sends(200), 1);
}

// Incident ic8e7f2: the fleet is well, but the last holder of a shard drowns under the queries that need it.
TEST(HotShard, QueriesThatNeedItAreRefusedAndOthersServed) {
  Settings s = BaseSettings();
  s.reach = 1;
  Bench bench(s);
  bench.Calm(40);
  for (int i = 0; i < 30; ++i)
    bench.Ask(bench.next_id++, kComplete, {1}, 3 * kLatencyObjective);  // shard 0 only
  std::size_t sent = bench.sent.size();
  EXPECT_LT(sent, 30u);
  bench.Ask(1, kPartial, {0.1, 0.5, 0.4});
  EXPECT_EQ(bench.Sends(100), 0);  // cannot come in time
  EXPECT_EQ(bench.Sends(101), 1);
  EXPECT_EQ(bench.Sends(102), 1);
}

// Incident i24ee0f: replicas that take parts and never answer them, not even once they answer others.
TEST(LostParts, AnOvertakenPartIsCopied) {
  Bench bench;
  bench.Calm(60, 250 * kMs);  // busy enough that only parts on suspect replicas are copied
  bench.Ask(1, kComplete, {1}, 3 * kLatencyObjective);
  EndpointId lossy = bench.Where(100);
  // Later parts on the same replica are answered; the first is not.
  for (int i = 0; i < 9 && bench.Sends(100) < 2; ++i) {
    for (int k = 0; k < 2; ++k) bench.Ask(bench.next_id++, kComplete, {0.25, 0.25, 0.25, 0.25});
    bench.now += 250 * kMs;
    auto keys = bench.out;
    for (const auto& [key, value] : keys) {
      if (key.first != 100) bench.End(key.first, key.second);
    }
    bench.Tick(5 * kMs);
  }
  ASSERT_EQ(bench.Sends(100), 2);
  EXPECT_NE(bench.Where(100, 1), lossy);
}

// ---- Failures found at full size ----

// estrie-later rules-3: one part from each of a large group in a window pushed a cold replica over.
TEST(Cold, ALargeGroupTogetherHoldsTheBudget) {
  Settings s = BaseSettings();
  s.fleet_size = 30;
  int to_cold = 0;
  for (int instance = 0; instance < s.fleet_size; ++instance) {
    Bench bench(s, static_cast<std::uint64_t>(instance + 1));
    bench.Calm(20);
    bench.Do(
        EndpointListUpdate{EndpointListKind::kDelta, 2, {Bench::Member(0, Availability::kReady, bench.now)}});
    for (int i = 0; i < 4; ++i) bench.Ask(bench.next_id++, kComplete, {1});
    for (const auto& [send, attempt] : bench.sent) to_cold += send.endpoint.address == 0;
  }
  EXPECT_GE(to_cold, 1);
  EXPECT_LE(to_cold, 18);  // each at least one would be 30
}

// quebec-later big-1: a long query of one among many was taken for overload.
TEST(Pressure, AFewPartsOutForEachReplicaAreNoOverload) {
  Bench bench;
  bench.Calm(60);
  bench.Load(3);
  bench.Ask(1, kPartial, {0.1, 0.4, 0.25, 0.25});
  EXPECT_EQ(bench.Sends(100), 1);
}

TEST(Trial, IsSpacedByWhatOthersGet) {
  Settings s = BaseSettings();
  s.cancellation_allowed = false;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    Bench bench(s, seed);
    bench.Calm(60);
    bench.Ask(1, kComplete, {1}, 3 * kLatencyObjective);
    EndpointId hung = bench.Where(100);
    for (int i = 0; i < 150; ++i) bench.Tick(5 * kMs);
    for (Id id = 2; id <= 3; ++id) {
      bench.now += 600 * kMs;  // long enough by the clock
      bench.Ask(id, kComplete, {1});
      EXPECT_NE(bench.Where(id * 100), hung);
    }
  }
}

// Replicas restart unannounced: a query that kills what begins it may be about.
TEST(QueryOfDeath, AfterLossesAQueryGoesByOnePartFirst) {
  Bench bench;
  bench.Calm(40);
  bench.Do(EndpointListUpdate{EndpointListKind::kDelta,
                              2,
                              {Bench::Member(0, Availability::kReady, bench.now - 9000 * kMs),
                               Bench::Member(1, Availability::kReady, bench.now - 9000 * kMs)}});
  bench.Ask(1, kComplete, {0.2, 0.3, 0.5});
  ASSERT_EQ(bench.sent.size(), 1u);
  EXPECT_EQ(bench.Sends(102), 1);  // the heaviest
  bench.now += 50 * kMs;
  bench.End(102, 0);
  EXPECT_EQ(bench.sent.size(), 3u);
  bench.Ask(2, kPartial, {0.4, 0.3, 0.3});
  bench.now += 50 * kMs;
  bench.End(200, 0, AttemptOutcome::kReset);
  EXPECT_EQ(bench.Last<Reject>().size(), 1u);
  EXPECT_EQ(bench.Sends(201) + bench.Sends(202), 0);
}

TEST(QueryOfDeath, AnnouncedRestartsAreNoLosses) {
  Bench bench;
  bench.Calm(40);
  for (int cell : {0, 1})
    bench.Do(EndpointListUpdate{EndpointListKind::kDelta, 2, {Bench::Member(cell, Availability::kDraining)}});
  for (int cell : {0, 1}) {
    bench.Do(EndpointListUpdate{
        EndpointListKind::kDelta, 3, {Bench::Member(cell, Availability::kReady, bench.now)}});
  }
  bench.Ask(1, kComplete, {0.2, 0.3, 0.5});
  EXPECT_EQ(bench.sent.size(), 3u);
}

TEST(QueryOfDeath, ALostPartIsResentOnceItsQueryIsVouchedFor) {
  Bench bench;
  bench.Ask(1, kComplete, {0.5, 0.5});
  bench.now += 20 * kMs;
  bench.End(101, 0);
  bench.End(100, 0, AttemptOutcome::kReset);
  bench.Tick(5 * kMs);
  EXPECT_EQ(bench.Sends(100), 2);
}

// estrie-later fresh-big: the first such query had a part for most replicas.
TEST(QueryOfDeath, AWideQueryGoesPartByPartUntilOneIsAnswered) {
  Settings s = BaseSettings();
  s.cells = s.shards = 10;
  Bench bench(s);
  bench.Calm(60);
  bench.Ask(1, kPartial, std::vector<double>(10, 0.1));
  EXPECT_EQ(bench.sent.size(), 1u);
  for (int i = 0; i < 12; ++i) bench.Tick(5 * kMs);
  EXPECT_GE(bench.sent.size(), 2u);
  EXPECT_LE(bench.sent.size(), 4u);
  bench.End(bench.sent[0].first.shard_request, 0);
  EXPECT_EQ(bench.sent.size(), 10u);
}

// ic23f93 again: clients with little patience cannot wait for one part first.
TEST(Hurry, AWideQueryWithLittlePatienceGoesAtOnce) {
  Settings s = BaseSettings();
  s.cells = s.shards = 10;
  Bench bench(s);
  bench.Calm(60);
  bench.Ask(1, kPartial, std::vector<double>(10, 0.1), 250 * kMs);
  EXPECT_EQ(bench.sent.size(), 10u);
}

// saguenay-later rough-1: idle connections dropped unseen; what is sent on one is never answered.
TEST(IdleConnection, ASilentPartOnOneIsMovedAndIdleOnesAreClosedFromThenOn) {
  Bench bench;
  bench.Calm(60);
  bench.now += 2000 * kMs;
  bench.Ask(1, kComplete, {1}, 3 * kLatencyObjective);
  EXPECT_TRUE(bench.Last<Close>().empty());
  bool cancelled = false;
  for (int i = 0; i < 300 && !cancelled; ++i) {
    bench.Tick(5 * kMs);
    for (const Cancel& cancel : bench.Last<Cancel>()) cancelled = cancelled || cancel.attempt == 0;
  }
  EXPECT_TRUE(cancelled);
  bench.End(100, 0, AttemptOutcome::kCancelled);
  bench.EndAll();
  bench.now += 1500 * kMs;
  bench.Ask(2, kComplete, {1});
  EXPECT_EQ(bench.Last<Close>().size(), 1u);
}

// Fleet: a holder that paused now and then had all connections unused for as long closed, 20,000 a day. One
// that was unused for longer and answered proves that no such thing drops them.
TEST(IdleConnection, OnesThatLivedUnusedForLongerAreNotClosedForOneSilentReplica) {
  Bench bench;
  bench.Calm(60);
  bench.now += 2000 * kMs;
  bench.Ask(1, kComplete, {0.25, 0.25, 0.25, 0.25}, 3 * kLatencyObjective);
  bench.now += 100 * kMs;
  for (Id shard_request : {100, 102, 103})
    bench.End(shard_request, 0);  // unused for 2 s and well; the fourth replica pauses
  for (int i = 0; i < 300; ++i) {
    bench.Tick(5 * kMs);
    for (const Cancel& cancel : bench.Last<Cancel>()) EXPECT_NE(cancel.reason, CancelReason::kDeadConnection);
  }
  EXPECT_GT(bench.Sends(101), 1);  // copied, as any part that is late
  bench.EndAll();
  bench.now += 1500 * kMs;
  bench.Ask(2, kComplete, {0.25, 0.25, 0.25, 0.25});
  EXPECT_TRUE(bench.Last<Close>().empty());
}

// Fleet: partial answers meant for the aim were decided 3 ms before it and reached their clients after it.
TEST(Answer, InPartIsGivenWithTimeLeftForItsWayToTheClient) {
  Settings s = BaseSettings();
  s.decision_interval_us = 1 * kMs;  // a margin of a few rounds alone would be 3 ms
  Bench bench(s);
  bench.Calm(60);
  Micros asked = bench.now;
  bench.Ask(1, kPartial, {0.5, 0.5}, 2 * kLatencyObjective);
  bench.now += 100 * kMs;
  bench.End(100, 0);
  while (bench.Last<Answer>().empty() && bench.now < asked + kLatencyObjective) bench.Tick(1 * kMs);
  ASSERT_EQ(bench.Last<Answer>().size(), 1u);
  EXPECT_LE(bench.now, asked + kLatencyObjective * 98 / 100);
  EXPECT_GE(bench.now,
            asked + kLatencyObjective * 95 / 100);  // and a part that comes before that still counts
}

// quebec-later big-2: whole-only queries waited for one part of 28.
TEST(Straggler, OfAWholeOnlyQueryIsCopiedLongBeforeTheCopyQuantile) {
  for (int cls : {kComplete, kPartial}) {
    Bench bench;
    for (int i = 0; i < 12; ++i) {
      bench.Calm(4);
      bench.Calm(1, 900 * kMs);
    }
    bench.Ask(1, cls, {0.2, 0.2, 0.2, 0.2, 0.2});
    bench.now += 100 * kMs;
    for (Id shard_request = 101; shard_request <= 104; ++shard_request) bench.End(shard_request, 0);
    for (int i = 0; i < 50; ++i) bench.Tick(5 * kMs);
    EXPECT_EQ(bench.Sends(100), cls == kComplete ? 2 : 1);
  }
}

// Our own clock says nothing of a replica: one that times parts out is as silent as before.
TEST(Hang, ATimeOutIsNoSignOfLife) {
  Settings s = BaseSettings();
  s.cells = s.reach = s.shards = 2;
  s.hedging_allowed = s.cancellation_allowed = false;
  Bench bench(s);
  bench.Calm(60);
  for (Id id = 1; id <= 6; ++id) bench.Ask(id, kComplete, {1}, 3 * kLatencyObjective);
  bench.now += 100 * kMs;
  auto keys = bench.out;
  bool timed_out = false;
  for (const auto& [key, value] : keys) {
    bool hung = value.first.address == 0;
    if (hung && timed_out) continue;
    bench.End(key.first, key.second, hung ? AttemptOutcome::kTimeout : AttemptOutcome::kOk);
    timed_out = timed_out || hung;
  }
  for (int i = 0; i < 140; ++i) bench.Tick(5 * kMs);
  bench.sent.clear();
  for (Id id = 10; id <= 12; ++id) bench.Ask(id, kComplete, {1}, 3 * kLatencyObjective);
  int to_hung = 0;
  for (const auto& [send, attempt] : bench.sent) to_hung += send.endpoint.address == 0;
  EXPECT_LE(to_hung, 1);
}

TEST(Restart, AFreshInstanceDoesNotCopyOrCondemnAtOnce) {
  Bench bench;
  bench.Ask(1, kComplete, {0.25, 0.25, 0.25, 0.25});
  for (int i = 0; i < 50; ++i) bench.Tick(5 * kMs);
  EXPECT_EQ(bench.sent.size(), 4u);
}

// hanoi and catania: each instance called a full list service again in the same round, 100 times a second.
TEST(ListService, AFailedCallIsRepeatedLaterEachTimeLaterAndNeverTooLate) {
  Settings s = BaseSettings();
  s.subscription_required = true;
  s.poll_deadline_us = 10 * kLatencyObjective;
  Bench bench(s);
  EXPECT_EQ(bench.Last<Subscribe>().size(), 1u);
  Micros last_span = 0;
  for (int failure = 0; failure < 6; ++failure) {
    bench.Do(EndpointListUpdate{EndpointListKind::kFailed, 0, {}});
    EXPECT_TRUE(bench.Last<Subscribe>().empty());
    auto timers = bench.Last<SetTimer>();
    ASSERT_EQ(timers.size(), 1u);
    EXPECT_GT(timers[0].span_us, failure == 2 ? last_span : 0);
    EXPECT_LT(timers[0].span_us, s.poll_deadline_us);
    if (failure == 0) last_span = timers[0].span_us;
    bench.now += timers[0].span_us;
    bench.Do(TimerFired{timers[0].label});
    EXPECT_EQ(bench.Last<Subscribe>().size(), 1u);
  }
}

// catania: an instance that sees a query every ten seconds forgot the jam between two of them.
TEST(Pressure, IsRememberedUntilThisInstancesNextQuery) {
  Bench bench;
  for (Id id = 1; id <= 8; ++id) {
    bench.Ask(id, kPartial, std::vector<double>(8, 0.125), 3 * kLatencyObjective);
    for (int i = 0; i < 280; ++i) bench.Tick(5 * kMs);
    bench.EndAll();
    bench.now += 2 * kLatencyObjective;
    bench.Tick(5 * kMs);
  }
  int unsent = 0;
  for (Id id = 1; id <= 8; ++id) {
    for (Id shard_request = 0; shard_request < 8; ++shard_request)
      unsent += bench.Sends(id * 100 + shard_request) == 0;
  }
  EXPECT_GT(unsent, 0);
}

// catania iaf07db: full replicas turn parts away in a millisecond, so the fleet looked quick while it
// drowned.
TEST(Pressure, PartsTurnedAwayByFullReplicasRaiseIt) {
  for (AttemptOutcome code : {AttemptOutcome::kOverloaded, AttemptOutcome::kOk}) {
    Bench bench;
    bench.Calm(10);
    for (Id id = 1; id <= 8; ++id) {
      bench.Ask(id, kComplete, {1});
      for (int attempt = 0; attempt < bench.Sends(id * 100); ++attempt) bench.End(id * 100, attempt, code);
    }
    bench.Ask(10, kPartial, {0.1, 0.5, 0.15, 0.25});
    EXPECT_EQ(bench.Sends(1000), code == AttemptOutcome::kOk ? 1 : 0);
  }
}

Settings TwoZones() {
  Settings s = BaseSettings();
  s.cells = s.reach = s.shards = 8;
  s.hedging_allowed = false;
  return s;
}

// Replicas of even cells are in zone 0, the others in zone 1.
void PutInTwoZones(Bench& bench) {
  EndpointListUpdate update{EndpointListKind::kFull, 2, {}};
  for (int cell = 0; cell < 8; ++cell) {
    update.endpoints.push_back(Bench::Member(cell));
    update.endpoints.back().zone = cell % 2;
  }
  bench.Do(update);
}

int SentToOdd(const Bench& bench) {
  int count = 0;
  for (const auto& [send, attempt] : bench.sent) count += send.endpoint.address % 2;
  return count;
}

// hanoi's slow link: each replica of the other hall was found out by itself, at a part or two each.
TEST(FarZone, IsLeftOutAsAWholeButForTrialParts) {
  Bench bench(TwoZones());
  PutInTwoZones(bench);
  bench.Calm(40);
  for (Id id = 1; id <= 40; ++id) bench.Ask(id, kComplete, {1}, 3 * kLatencyObjective);
  bench.now += 100 * kMs;
  auto keys = bench.out;
  for (const auto& [key, value] : keys) {
    if (value.first.address % 2 == 0) bench.End(key.first, key.second);
  }
  // Parts at each far replica are overdue; none has been silent long enough to be sick for itself.
  for (int i = 0; i < 40; ++i) bench.Tick(5 * kMs);
  bench.sent.clear();
  for (Id id = 120; id < 160; ++id) bench.Ask(id, kPartial, {1}, 3 * kLatencyObjective);
  EXPECT_GT(bench.sent.size(), 24u);
  EXPECT_EQ(SentToOdd(bench), 0);
  // It is tried again.
  bench.now += 100 * kMs;
  keys = bench.out;
  for (const auto& [key, value] : keys) {
    if (value.first.address % 2 == 0) bench.End(key.first, key.second);
  }
  bench.now += kLatencyObjective;
  bench.sent.clear();
  for (Id id = 240; id < 244; ++id) bench.Ask(id, kPartial, {1}, 3 * kLatencyObjective);
  int trials = 0;
  for (const auto& [send, attempt] : bench.sent) trials += attempt == 0 && send.endpoint.address % 2;
  EXPECT_GE(trials, 1);
}

TEST(FarZone, WhereAllZonesAreLateNoneIsFar) {
  Bench bench(TwoZones());
  PutInTwoZones(bench);
  bench.Calm(40);
  for (Id id = 1; id <= 12; ++id) bench.Ask(id, kPartial, {1}, 3 * kLatencyObjective);
  for (int i = 0; i < 60; ++i) bench.Tick(5 * kMs);
  bench.sent.clear();
  for (Id id = 20; id < 28; ++id) bench.Ask(id, kPartial, {1}, 3 * kLatencyObjective);
  EXPECT_GT(SentToOdd(bench), 0);
}

// hanoi allows no second copy: a part at a hung replica waited for the client's time.
TEST(NoSecondCopy, APartAtASuspectReplicaIsCalledOffFirstAndThenSentElsewhere) {
  Settings s = BaseSettings();
  s.hedging_allowed = false;
  Bench bench(s);
  bench.Calm(60);
  bench.Ask(1, kComplete, {1}, 3 * kLatencyObjective);
  EndpointId hung = bench.Where(100);
  std::vector<Cancel> cancels;
  for (int i = 0; i < 400 && cancels.empty(); ++i) {
    bench.Tick(5 * kMs);
    cancels = bench.Last<Cancel>();
  }
  ASSERT_FALSE(cancels.empty());
  EXPECT_EQ(cancels[0].shard_request, 100u);
  EXPECT_EQ(bench.Sends(100), 1);
  bench.Tick(5 * kMs);
  EXPECT_TRUE(bench.Last<Cancel>().empty());
  EXPECT_EQ(bench.Sends(100), 1);
  bench.End(100, 0, AttemptOutcome::kCancelled);
  ASSERT_EQ(bench.Sends(100), 2);
  EXPECT_NE(bench.Where(100, 1), hung);
}

// yogya-main's burst: replicas whose parts were slow since they had much to do got copies on top, were slow
// for the next ones too, and stayed so long after the burst.
TEST(Copies, GetFewWhereTheFirstAttemptsAnswerAllTheSame) {
  auto copied = [](bool wins) {
    Settings s = BaseSettings();
    s.cells = s.reach = s.shards = 20;
    Bench bench(s);
    bench.Calm(60);
    int copies = 0;
    for (int round = 0; round < 30; ++round) {
      Id slow = bench.next_id * 100;
      for (int i = 0; i < 10; ++i) bench.Ask(bench.next_id++, kComplete, {0.25, 0.25, 0.25, 0.25});
      bench.now += 100 * kMs;
      auto out = bench.out;
      for (const auto& [key, value] : out) {
        if (key.first != slow) bench.End(key.first, key.second);
      }
      for (int i = 0; i < 30 && bench.Sends(slow) < 2; ++i) bench.Tick(5 * kMs);
      bool copy = bench.Sends(slow) > 1;
      copies += copy ? 1 : 0;
      bench.End(slow, copy && wins ? 1 : 0);
      if (copy) bench.End(slow, wins ? 0 : 1, AttemptOutcome::kCancelled);
    }
    return copies;
  };
  EXPECT_GE(copied(true), 25);
  EXPECT_LE(copied(false), 10);
}

// catania, recife: what goes to one replica in one round is one call.
TEST(Endpoint, LoadIsCountedByCall) {
  Settings s = BaseSettings();
  s.max_requests_per_call = 4;
  s.cells = s.shards = s.reach = 1;
  int widest = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    Bench bench(s, seed);
    EndpointListUpdate update{EndpointListKind::kFull, 2, {Bench::Member(0), Bench::Member(0)}};
    update.endpoints[1].id.address = 9;
    bench.Do(update);
    // One goes to each holder, one call each; the others join these calls, either of the two.
    std::vector<Event> events{QueryReceived{1, 1, 5, kComplete, 0, false, 0, 3 * kLatencyObjective, 0}};
    for (Id shard_request = 100; shard_request < 105; ++shard_request)
      events.push_back(ShardRequestReceived{shard_request, 1, 0, 0.2, 0, 0});
    bench.Do(events);
    std::map<EndpointId, int> shard_requests;
    for (const auto& [send, attempt] : bench.sent) ++shard_requests[send.endpoint];
    ASSERT_EQ(shard_requests.size(), 2u);
    widest = std::max(widest, std::abs(shard_requests.begin()->second - shard_requests.rbegin()->second));
  }
  EXPECT_GT(widest, 1);
}

// recife: a replica that met a part's key of late does a third less work for it.
TEST(Endpoint, WarmKeysBreakTiesAlikeAtEveryInstance) {
  for (bool warm : {true, false}) {
    Settings s = BaseSettings();
    s.key_affinity = warm;
    std::set<EndpointId> by_key, of_one_key;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
      for (std::uint64_t key : {seed, std::uint64_t{77}}) {
        Bench bench(s, seed);
        bench.Do({QueryReceived{1, 1, 1, kComplete, 0, false, key, 3 * kLatencyObjective, 0},
                  ShardRequestReceived{100, 1, 0, 1, key, 0}});
        (key == 77 ? of_one_key : by_key).insert(bench.Where(100));
      }
    }
    EXPECT_GT(by_key.size(), 1u);
    EXPECT_EQ(of_one_key.size() == 1, warm);
  }
}

TEST(SettingsCheck, ImpossibleOnesAreReportedAndEveryQueryFails) {
  Settings s = BaseSettings();
  s.reach = 9;
  EXPECT_TRUE(CheckSettings(s).has_value());
  EXPECT_FALSE(CheckSettings(BaseSettings()).has_value());
  Bench bench(s);
  bench.Ask(1, kComplete, {1});
  EXPECT_EQ(bench.Last<Fail>().size(), 1u);
}

}  // namespace
}  // namespace liftrudder::routing
