// Drives the routing module with a reproducible random simulation and prints a digest of all its actions, to
// compare two versions of the module: if their decisions are the same, so are the digests for the same seeds.
// The simulation reacts to the actions (endpoints queue, fail, stop answering, drain and restart), so one
// different action changes everything after it. Reasons are not part of the digest.
//
//   replay_digest SEEDS [SECONDS]      prints a line per seed: seed, events, actions, digest
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <queue>
#include <random>
#include <variant>
#include <vector>

#include "routing/router.h"

namespace {

using namespace liftrudder::routing;

constexpr int kCells = 12;
constexpr Micros kRoundUs = 5'000;
constexpr Micros kSecondUs = 1'000'000;
constexpr Micros kStartUs = 1'000 * kSecondUs;
constexpr Micros kFirstFaultUs = 3 * kSecondUs;
constexpr Micros kFaultIntervalUs = 1'500'000;

QueryClassSettings SearchClass() {
  QueryClassSettings search;
  search.latency_objective_us = 2'000'000;
  search.client_timeout_us = 4'000'000;
  search.late_value_fraction = 0.3;
  search.priority_weight = 5;
  search.effect = Effect::kIdempotent;
  search.deduplication_window_us = 5'000'000;
  search.min_coverage = 0.4;
  search.complete_coverage = 1;
  search.partial_value_factor = 0.95;
  return search;
}

QueryClassSettings ReportClass() {
  QueryClassSettings report;
  report.latency_objective_us = 3'000'000;
  report.client_timeout_us = 10'000'000;
  report.late_value_fraction = 0.1;
  report.priority_weight = 3;
  report.effect = Effect::kIdempotent;
  report.deduplication_window_us = 5'000'000;
  report.partial_value_factor = 0.9;
  return report;
}

QueryClassSettings WriteClass(std::uint64_t seed) {
  QueryClassSettings write;
  write.latency_objective_us = 2'000'000;
  write.client_timeout_us = 5'000'000;
  write.late_value_fraction = 0;
  write.priority_weight = 1;
  write.effect = seed % 4 == 1 ? Effect::kNonIdempotent : Effect::kIdempotencyKey;
  write.deduplication_window_us = 5'000'000;
  write.partial_value_factor = 0.9;
  return write;
}

// The seed also selects which features are allowed, so that a few seeds cover most combinations.
Settings SettingsForSeed(std::uint64_t seed) {
  Settings settings;
  settings.classes = {SearchClass(), ReportClass(), WriteClass(seed)};
  settings.fleet_size = 2;
  settings.cells = settings.shards = kCells;
  settings.reach = 3;
  settings.max_attempts = 3;
  settings.cancellation_allowed = seed % 5 != 4;
  settings.hedging_allowed = seed % 3 != 2;
  settings.retry_after_allowed = settings.health_checks_allowed = true;
  settings.max_retry_after_us = 500'000;
  settings.decision_interval_us = kRoundUs;
  settings.grace_to_answer_us = 20'000;
  settings.drain_grace_us = 1'000'000;
  settings.slow_start_capacity = 0.19;
  settings.slow_start_us = 18'000'000;
  settings.collapse_load_multiple = 4;
  settings.collapse_window_us = 2'000'000;
  settings.has_retry_budget = seed % 7 == 6;
  settings.retry_budget_floor = 5;
  settings.retry_budget_ratio = 0.2;
  settings.retry_budget_window_us = 10'000'000;
  return settings;
}

// A hash of all actions in their order.
class ActionDigest {
 public:
  void Add(const Action& action) {
    MixIn(action.index());
    std::visit([this](const auto& concrete_action) { AddFields(concrete_action); }, action);
  }
  std::uint64_t Value() const { return value_; }

 private:
  void AddFields(const Send& send) {
    MixIn(send.shard_request);
    MixIn(send.endpoint.address);
    MixIn(static_cast<std::uint64_t>(send.timeout_us));
  }
  void AddFields(const Answer& answer) {
    MixIn(answer.query);
    MixIn(answer.complete ? 1 : 0);
  }
  void AddFields(const Reject& reject) {
    MixIn(reject.query);
    MixIn(static_cast<std::uint64_t>(reject.retry_after_us));
  }
  void AddFields(const Fail& fail) { MixIn(fail.query); }
  void AddFields(const Cancel& cancel) {
    MixIn(cancel.shard_request);
    MixIn(static_cast<std::uint64_t>(cancel.attempt));
  }
  void AddFields(const Close& close) { MixIn(close.endpoint.address); }
  void AddFields(const SetTimer& timer) {
    MixIn(static_cast<std::uint64_t>(timer.span_us));
    MixIn(timer.label);
  }
  void AddFields(const Subscribe&) {}

  void MixIn(std::uint64_t value) {
    value_ ^= value + 0x9e3779b97f4a7c15ULL + (value_ << 6) + (value_ >> 2);
    value_ *= 0xff51afd7ed558ccdULL;
  }

  std::uint64_t value_ = 0;
};

// Simulates one router, its clients and its endpoints in virtual time. The order in which random numbers are
// drawn affects the digest.
class Simulation {
 public:
  Simulation(std::uint64_t seed, Micros length_us)
      : random_(seed), length_us_(length_us), router_(SettingsForSeed(seed), seed * 31 + 7) {}

  void Run() {
    for (int cell = 0; cell < kCells; ++cell) {
      EndpointId id{static_cast<std::uint32_t>(cell + 1), 1};
      endpoints_[id].listed = {id, 0, 0, cell, Availability::kReady, 1, 0};
    }
    ListEndpoints(EndpointListKind::kCached);
    Micros next_fault_us = kFirstFaultUs;
    while (now_ < kStartUs + length_us_) {
      now_ += kRoundUs;
      MaybeReceiveQuery();
      if (now_ - kStartUs > next_fault_us) {
        ChangeFaults();
        next_fault_us += kFaultIntervalUs;
      }
      CollectDueEvents();
      if (!events_.empty()) RunRound();
    }
  }

  std::size_t EventCount() const { return event_count_; }
  std::size_t ActionCount() const { return action_count_; }
  std::uint64_t Digest() const { return digest_.Value(); }

 private:
  struct FakeEndpoint {
    Endpoint listed;
    Micros free_us = 0;  // when its queue is empty
    bool unresponsive = false;
    double error_rate = 0;
  };
  struct DueOutcome {
    Micros at_us = 0;
    AttemptFinished finished;
    bool operator<(const DueOutcome& other) const { return at_us > other.at_us; }
  };

  double UniformRandom() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  void ListEndpoints(EndpointListKind kind) {
    EndpointListUpdate update{kind, ++list_version_, {}};
    for (const auto& [id, endpoint] : endpoints_) update.endpoints.push_back(endpoint.listed);
    events_.emplace_back(update);
  }

  // The query rate rises in three steps of five seconds, repeatedly.
  void MaybeReceiveQuery() {
    constexpr Micros kStepUs = 5 * kSecondUs;
    constexpr double kRoundSeconds = 0.005;
    auto step = static_cast<double>((now_ - kStartUs) / kStepUs % 3);
    double queries_per_s = 20 + 30 * UniformRandom() * step;
    if (UniformRandom() < queries_per_s * kRoundSeconds) ReceiveQuery();
  }

  void ReceiveQuery() {
    QueryReceived query;
    query.id = next_id_++;
    query.query_number = ++query_number_;
    query.class_index = static_cast<int>(random_() % 3);
    query.shard_requests = RequestCount(query.class_index);
    query.timeout_remaining_us = static_cast<Micros>((0.6 + 0.4 * UniformRandom()) * 4e6);
    events_.emplace_back(query);
    auto first_shard = static_cast<int>(random_() % kCells);
    double weight_sum = 0;
    for (int i = 0; i < query.shard_requests; ++i) weight_sum += 1.0 / (i + 1);
    for (int i = 0; i < query.shard_requests; ++i) {
      double weight = 1.0 / (i + 1) / weight_sum;
      events_.emplace_back(
          ShardRequestReceived{next_id_++, query_number_, (first_shard + i) % kCells, weight, 0, 0});
    }
    if (UniformRandom() < 0.01) disconnects_.insert({now_ + 300'000, query.id});
  }

  int RequestCount(int class_index) {
    if (class_index == 0) return kCells;
    if (class_index == 1) return kCells / 2;
    return 1 + static_cast<int>(random_() % 2);
  }

  void ChangeFaults() {
    for (auto& [id, endpoint] : endpoints_) {
      if (UniformRandom() < 0.01) endpoint.unresponsive = !endpoint.unresponsive;
      if (UniformRandom() < 0.01) endpoint.error_rate = endpoint.error_rate > 0 ? 0 : 0.6;
      if (UniformRandom() < 0.02) {
        endpoint.listed.availability = Availability::kDraining;
      } else if (endpoint.listed.availability == Availability::kDraining && UniformRandom() < 0.3) {
        endpoint.listed.availability = Availability::kReady;
        endpoint.listed.started_us = now_;
        endpoint.unresponsive = false;
      }
    }
    ListEndpoints(EndpointListKind::kFull);
  }

  void CollectDueEvents() {
    for (; !outcomes_.empty() && outcomes_.top().at_us <= now_; outcomes_.pop()) {
      events_.emplace_back(outcomes_.top().finished);
    }
    for (; !timers_.empty() && timers_.begin()->first <= now_; timers_.erase(timers_.begin())) {
      events_.emplace_back(TimerFired{timers_.begin()->second});
    }
    for (; !disconnects_.empty() && disconnects_.begin()->first <= now_;
         disconnects_.erase(disconnects_.begin())) {
      events_.emplace_back(ClientDisconnected{disconnects_.begin()->second});
    }
  }

  void RunRound() {
    event_count_ += events_.size();
    std::vector<Event> round;
    round.swap(events_);
    std::vector<Action> actions;
    router_.Handle(now_, round, actions);
    action_count_ += actions.size();
    for (const Action& action : actions) {
      digest_.Add(action);
      std::visit([this](const auto& concrete_action) { Perform(concrete_action); }, action);
    }
  }

  void Perform(const Send& send) {
    int attempt = attempts_[send.shard_request]++;
    FakeEndpoint& endpoint = endpoints_[send.endpoint];
    AttemptFinished finished{send.shard_request, attempt, send.endpoint, AttemptOutcome::kOk, 0, true, {}};
    Micros at_us = now_ + send.timeout_us;
    double draw = UniformRandom();
    if (endpoint.unresponsive) {
      finished.outcome = AttemptOutcome::kTimeout;
    } else if (draw < endpoint.error_rate) {
      finished.outcome = static_cast<AttemptOutcome>(1 + random_() % 5);  // kError to kReset
      at_us = std::min(at_us, now_ + 2'000);
    } else {
      auto work_us = static_cast<Micros>(40'000 + 80'000 * UniformRandom());
      endpoint.free_us = std::max(endpoint.free_us, now_) + work_us;
      if (endpoint.free_us > at_us) {
        finished.outcome = AttemptOutcome::kTimeout;
      } else {
        at_us = endpoint.free_us;
      }
    }
    finished.spent_us = at_us - now_;
    outcomes_.push({at_us, finished});
  }

  void Perform(const Cancel& cancel) {
    if (UniformRandom() >= 0.7) return;  // the answer arrives before the cancellation
    AttemptFinished finished{
        cancel.shard_request, cancel.attempt, {}, AttemptOutcome::kCancelled, kRoundUs, true, {}};
    outcomes_.push({now_ + kRoundUs, finished});
  }

  void Perform(const SetTimer& timer) { timers_.insert({now_ + timer.span_us, timer.label}); }

  void Perform(const auto&) {}

  std::mt19937_64 random_;
  Micros length_us_;
  Micros now_ = kStartUs;
  Router router_;
  ActionDigest digest_;
  std::size_t event_count_ = 0;
  std::size_t action_count_ = 0;
  std::uint64_t list_version_ = 0;
  Id next_id_ = 1;
  std::int64_t query_number_ = 0;
  std::vector<Event> events_;  // of the next round
  std::map<EndpointId, FakeEndpoint> endpoints_;
  std::map<Id, int> attempts_;  // sent, by shard request
  std::priority_queue<DueOutcome> outcomes_;
  std::multimap<Micros, std::uint64_t> timers_;  // labels by due time
  std::multimap<Micros, Id> disconnects_;        // query ids by time
};

}  // namespace

int main(int argc, char** argv) {
  int seeds = argc > 1 ? std::atoi(argv[1]) : 10;
  int seconds = argc > 2 ? std::atoi(argv[2]) : 60;
  for (int seed = 1; seed <= seeds; ++seed) {
    Simulation simulation(static_cast<std::uint64_t>(seed), kSecondUs * seconds);
    simulation.Run();
    std::printf("%d %zu %zu %016llx\n", seed, simulation.EventCount(), simulation.ActionCount(),
                static_cast<unsigned long long>(simulation.Digest()));
  }
}
