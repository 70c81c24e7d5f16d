// Drives the decision module with a random but repeatable world and prints a digest of all its actions, so
// that two versions of the decision module can be compared: same seeds, same digests, or the decisions
// differ. The world reacts to the actions (holders queue, fail, fall silent, drain, restart, are replaced),
// so a single different action shows in all that follows. Only fields that every version has are looked at.
//
//   replay_digest SEEDS [SECONDS]      one line a seed: seed, events, actions, digest
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <queue>
#include <random>
#include <set>

#include "routing/router.h"

namespace {

using namespace liftrudder::routing;

struct World {
  World(std::uint64_t seed, Micros length)
      : random(seed), length_us(length), module(Make(seed), seed * 31 + 7) {}

  static Settings Make(std::uint64_t seed) {
    Settings s;
    QueryClassSettings search{2'000'000, 4'000'000, 0.3, 5,   Effect::kIdempotent, 5'000'000, 0,
                              0,         0.4,       1,   0.95};
    QueryClassSettings report{3'000'000, 10'000'000, 0.1, 3, Effect::kIdempotent, 5'000'000, 0, 0, 1, 1, 0.9};
    QueryClassSettings permission_table{2'000'000, 5'000'000, 0, 1,  Effect::kIdempotencyKey, 5'000'000, 0,
                                        0,         1,         1, 0.9};
    if (seed % 4 == 1) permission_table.effect = Effect::kNonIdempotent;
    s.classes = {search, report, permission_table};
    s.fleet_size = 2;
    s.cells = s.shards = 12;
    s.reach = 3;
    s.max_attempts = 3;
    s.cancellation_allowed = seed % 5 != 4;
    s.hedging_allowed = seed % 3 != 2;
    s.retry_after_allowed = s.health_checks_allowed = true;
    s.max_retry_after_us = 500'000;
    s.decision_interval_us = 5'000;
    s.grace_to_answer_us = 20'000;
    s.drain_grace_us = 1'000'000;
    s.slow_start_capacity = 0.19;
    s.slow_start_us = 18'000'000;
    s.collapse_load_multiple = 4;
    s.collapse_window_us = 2'000'000;
    s.has_retry_budget = seed % 7 == 6;
    s.retry_budget_floor = 5;
    s.retry_budget_ratio = 0.2;
    s.retry_budget_window_us = 10'000'000;
    return s;
  }

  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random); }
  void Mix(std::uint64_t value) {
    digest ^= value + 0x9e3779b97f4a7c15ULL + (digest << 6) + (digest >> 2);
    digest *= 0xff51afd7ed558ccdULL;
  }

  void Tell(EndpointListKind kind) {
    EndpointListUpdate update{kind, ++version, {}};
    for (auto& [id, endpoint] : endpoints) update.endpoints.push_back(endpoint.told);
    events.push_back(update);
  }

  void Arrive() {
    QueryReceived query;
    query.id = next_id++;
    query.number = ++number;
    query.class_index = static_cast<int>(random() % 3);
    query.shard_requests = query.class_index == 0   ? 12
                  : query.class_index == 1 ? 6
                                           : 1 + static_cast<int>(random() % 2);
    query.timeout_remaining_us = static_cast<Micros>((0.6 + 0.4 * Unit()) * 4e6);
    events.push_back(query);
    auto first = static_cast<int>(random() % 12);
    double sum = 0;
    for (int i = 0; i < query.shard_requests; ++i) sum += 1.0 / (i + 1);
    for (int i = 0; i < query.shard_requests; ++i) {
      events.push_back(ShardRequestReceived{next_id++, number, (first + i) % 12, 1.0 / (i + 1) / sum, 0, 0});
    }
    if (Unit() < 0.01) gone.insert({now + 300'000, query.id});
  }

  struct Holder {
    Endpoint told;
    Micros free_us = 0;
    bool silent = false;
    double errors = 0;
  };
  struct Due {
    Micros at;
    AttemptFinished ended;
    bool operator<(const Due& other) const { return at > other.at; }
  };

  void Do(const Send& send) {
    int attempt = attempts[send.shard_request]++;
    Holder& endpoint = endpoints[send.endpoint];
    AttemptFinished ended{send.shard_request, attempt, send.endpoint, AttemptOutcome::kOk, 0, true, {}};
    Micros at = now + send.timeout_us;
    double dice = Unit();
    if (endpoint.silent) {
      ended.code = AttemptOutcome::kTimeout;
    } else if (dice < endpoint.errors) {
      ended.code = static_cast<AttemptOutcome>(1 + random() % 5);
      at = std::min(at, now + 2'000);
    } else {
      endpoint.free_us = std::max(endpoint.free_us, now) + static_cast<Micros>(40'000 + 80'000 * Unit());
      if (endpoint.free_us > at) {
        ended.code = AttemptOutcome::kTimeout;
      } else {
        at = endpoint.free_us;
      }
    }
    ended.spent_us = at - now;
    due.push({at, ended});
  }
  void Do(const Cancel& cancel) {
    if (Unit() < 0.7)
      due.push({now + 5'000, {cancel.shard_request, cancel.attempt, {}, AttemptOutcome::kCancelled, 5'000, true, {}}});
  }
  void Do(const SetTimer& timer) { timers.insert({now + timer.span_us, timer.label}); }
  void Do(const auto&) {}

  void Note(const Action& action) {
    Mix(action.index());
    if (const auto* a = std::get_if<Send>(&action))
      Mix(a->shard_request), Mix(a->endpoint.address), Mix(static_cast<std::uint64_t>(a->timeout_us));
    if (const auto* a = std::get_if<Answer>(&action)) Mix(a->query), Mix(a->complete);
    if (const auto* a = std::get_if<Reject>(&action))
      Mix(a->query), Mix(static_cast<std::uint64_t>(a->retry_after_us));
    if (const auto* a = std::get_if<Fail>(&action)) Mix(a->query);
    if (const auto* a = std::get_if<Cancel>(&action))
      Mix(a->shard_request), Mix(static_cast<std::uint64_t>(a->attempt));
    if (const auto* a = std::get_if<Close>(&action)) Mix(a->endpoint.address);
    if (const auto* a = std::get_if<SetTimer>(&action))
      Mix(static_cast<std::uint64_t>(a->span_us)), Mix(a->label);
  }

  void Trouble() {
    for (auto& [id, endpoint] : endpoints) {
      if (Unit() < 0.01) endpoint.silent = !endpoint.silent;
      if (Unit() < 0.01) endpoint.errors = endpoint.errors > 0 ? 0 : 0.6;
      if (Unit() < 0.02)
        endpoint.told.availability = Availability::kDraining;
      else if (endpoint.told.availability == Availability::kDraining && Unit() < 0.3) {
        endpoint.told.availability = Availability::kReady;
        endpoint.told.started_us = now;
        endpoint.silent = false;
      }
    }
    Tell(EndpointListKind::kFull);
  }

  void Run() {
    for (int cell = 0; cell < 12; ++cell) {
      EndpointId id{static_cast<std::uint32_t>(cell + 1), 1};
      endpoints[id].told = {id, 0, 0, cell, Availability::kReady, 1, 0};
    }
    Tell(EndpointListKind::kCached);
    std::vector<Action> actions;
    Micros next_trouble = 3'000'000, end = now + length_us, start = now;
    while (now < end) {
      now += 5'000;
      double rate = 20 + 30 * Unit() * static_cast<double>((now - start) / 5'000'000 % 3);
      if (Unit() < rate * 0.005) Arrive();
      if (now - start > next_trouble) Trouble(), next_trouble += 1'500'000;
      while (!due.empty() && due.top().at <= now) events.push_back(due.top().ended), due.pop();
      while (!timers.empty() && timers.begin()->first <= now) {
        events.push_back(TimerFired{timers.begin()->second});
        timers.erase(timers.begin());
      }
      while (!gone.empty() && gone.begin()->first <= now) {
        events.push_back(ClientDisconnected{gone.begin()->second});
        gone.erase(gone.begin());
      }
      if (events.empty()) continue;
      event_count += events.size();
      std::vector<Event> round;
      round.swap(events);
      actions.clear();
      module.Handle(now, round, actions);
      action_count += actions.size();
      for (const Action& action : actions) {
        Note(action);
        std::visit([this](const auto& what) { Do(what); }, action);
      }
    }
  }

  std::mt19937_64 random;
  Micros length_us, now = 1'000'000'000;
  Router module;
  std::uint64_t digest = 0;
  std::size_t event_count = 0, action_count = 0;
  std::uint64_t version = 0;
  Id next_id = 1;
  std::int64_t number = 0;
  std::vector<Event> events;
  std::map<EndpointId, Holder> endpoints;
  std::map<Id, int> attempts;
  std::priority_queue<Due> due;
  std::multimap<Micros, std::uint64_t> timers;
  std::multimap<Micros, Id> gone;
};

}  // namespace

int main(int argc, char** argv) {
  int seeds = argc > 1 ? std::atoi(argv[1]) : 10;
  int seconds = argc > 2 ? std::atoi(argv[2]) : 60;
  for (int seed = 1; seed <= seeds; ++seed) {
    World world(static_cast<std::uint64_t>(seed), Micros{1'000'000} * seconds);
    world.Run();
    std::printf("%d %zu %zu %016llx\n", seed, world.event_count, world.action_count,
                static_cast<unsigned long long>(world.digest));
  }
}
