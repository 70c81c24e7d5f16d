// Drives one router through its interface, in virtual time, and records what it sends. Shared by the tests of
// the decision modules. Single-threaded.
#ifndef LIFTRUDDER_TESTS_ROUTING_ROUTER_HARNESS_H_
#define LIFTRUDDER_TESTS_ROUTING_ROUTER_HARNESS_H_

#include <gtest/gtest.h>

#include <map>
#include <variant>
#include <vector>

#include "routing/endpoint_table.h"
#include "routing/router.h"

namespace liftrudder::routing {

constexpr Micros kMs = 1000;
constexpr Micros kLatencyObjective = 1000 * kMs;

// The classes of BaseSettings, by index.
enum QueryClass { kCompleteOnly = 0, kPartialAllowed = 1, kTwoPhases = 2 };

inline Settings BaseSettings() {
  Settings settings;
  QueryClassSettings complete_only;
  complete_only.latency_objective_us = kLatencyObjective;
  complete_only.client_timeout_us = 3 * kLatencyObjective;
  complete_only.late_value_fraction = 0.2;
  QueryClassSettings partial_allowed = complete_only;
  partial_allowed.min_coverage = 0.4;
  partial_allowed.partial_value_factor = 0.9;
  partial_allowed.priority_weight = 3;
  QueryClassSettings two_phases = partial_allowed;
  two_phases.latency_objective_us = 2 * kLatencyObjective;
  two_phases.fetch_phase_requests = 2;
  settings.classes = {complete_only, partial_allowed, two_phases};
  settings.fleet_size = 2;
  settings.cells = 4;
  settings.reach = 4;
  settings.shards = 4;
  settings.max_attempts = 4;
  settings.cancellation_allowed = settings.hedging_allowed = settings.retry_after_allowed = true;
  settings.max_retry_after_us = 1000 * kMs;
  settings.decision_interval_us = 5 * kMs;
  settings.slow_start_capacity = 0.2;
  settings.slow_start_us = 10000 * kMs;
  settings.collapse_load_multiple = 4;
  settings.collapse_window_us = 2000 * kMs;
  return settings;
}

class RouterHarness {
 public:
  struct SentAttempt {
    Send send;
    int attempt = 0;
  };
  struct InFlight {
    EndpointId endpoint;
    Micros sent_us = 0;
  };

  // Starts with one endpoint in each cell, whose address is the cell.
  explicit RouterHarness(const Settings& settings = BaseSettings(), std::uint64_t seed = 7)
      : router(settings, seed) {
    EndpointListUpdate update{EndpointListKind::kCached, 1, {}};
    for (int cell = 0; cell < settings.cells; ++cell) update.endpoints.push_back(EndpointInCell(cell));
    Handle(update);
  }

  static Endpoint EndpointInCell(int cell, Availability availability = Availability::kReady,
                                 Micros started_us = 0) {
    return {{static_cast<std::uint32_t>(cell), 1}, 0, 0, cell, availability, 1, started_us};
  }

  std::vector<Action> Handle(const std::vector<Event>& events) {
    round_actions.clear();
    router.Handle(now, events, round_actions);
    for (const Action& action : round_actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        int attempt = attempts[send->shard_request]++;
        sent.push_back({*send, attempt});
        in_flight[{send->shard_request, attempt}] = {send->endpoint, now};
      }
    }
    return round_actions;
  }
  std::vector<Action> Handle(const Event& event) { return Handle(std::vector<Event>{event}); }

  // Lets time pass, then runs a round.
  std::vector<Action> Advance(Micros span_us) {
    now += span_us;
    return Handle(TimerFired{0});
  }

  // A query with shard requests of these weights: their ids are id * 100 + index, their shards the index.
  std::vector<Action> ReceiveQuery(Id id, int class_index, const std::vector<double>& weights,
                                   Micros timeout_us = 2 * kLatencyObjective, int tenant = 0,
                                   bool is_retry = false) {
    auto number = static_cast<std::int64_t>(id);
    std::vector<Event> events{QueryReceived{id, number, static_cast<int>(weights.size()), class_index, tenant,
                                            is_retry, 0, timeout_us, 0}};
    for (std::size_t i = 0; i < weights.size(); ++i) {
      events.emplace_back(
          ShardRequestReceived{static_cast<Id>(id * 100 + i), number, static_cast<int>(i), weights[i], 0, 0});
    }
    return Handle(events);
  }

  // Ends one attempt that is in flight.
  std::vector<Action> Finish(Id shard_request, int attempt, AttemptOutcome code = AttemptOutcome::kOk) {
    InFlight ended = in_flight.at({shard_request, attempt});
    in_flight.erase({shard_request, attempt});
    return Handle(AttemptFinished{
        shard_request, attempt, ended.endpoint, code, now - ended.sent_us, code == AttemptOutcome::kOk, {}});
  }

  // Ends all attempts that are in flight now.
  void FinishAll(AttemptOutcome code = AttemptOutcome::kOk) {
    auto attempts_now = in_flight;
    for (const auto& [key, value] : attempts_now) Finish(key.shard_request, key.attempt, code);
  }

  // Builds a history at low load: queries with one shard request, in sequence, each taking `latency_us`.
  void RunSequentialQueries(int queries, Micros latency_us = 100 * kMs) {
    for (int i = 0; i < queries; ++i) {
      ReceiveQuery(next_id, kCompleteOnly, {1});
      ++next_id;
      now += latency_us;
      FinishAll();
    }
    sent.clear();
  }

  // Receives queries whose shard requests stay in flight.
  void ReceiveUnansweredQueries(int queries) {
    for (int i = 0; i < queries; ++i) {
      ReceiveQuery(next_id++, kCompleteOnly, {0.25, 0.25, 0.25, 0.25}, 3 * kLatencyObjective);
    }
  }

  // Returns the actions of this type in the last round.
  template <typename T>
  std::vector<T> LastActions() const {
    std::vector<T> found;
    for (const Action& action : round_actions) {
      if (const auto* match = std::get_if<T>(&action)) found.push_back(*match);
    }
    return found;
  }

  EndpointId EndpointOf(Id shard_request, int attempt = 0) const {
    for (const SentAttempt& entry : sent) {
      if (entry.send.shard_request == shard_request && entry.attempt == attempt) return entry.send.endpoint;
    }
    ADD_FAILURE() << "attempt " << attempt << " of shard request " << shard_request << " was not sent";
    return {};
  }

  int AttemptCount(Id shard_request) const {
    auto found = attempts.find(shard_request);
    return found == attempts.end() ? 0 : found->second;
  }

  Router router;
  Micros now = 100000 * kMs;
  std::vector<Action> round_actions;  // of the last round
  std::vector<SentAttempt> sent;      // since the last RunSequentialQueries
  std::map<AttemptKey, InFlight> in_flight;
  std::map<Id, int> attempts;  // sent, by shard request
  Id next_id = 1000;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_TESTS_ROUTING_ROUTER_HARNESS_H_
