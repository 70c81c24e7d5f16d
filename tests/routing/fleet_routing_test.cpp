// Runs the routers of a hundred coordinators in front of the same endpoints, in virtual time. Each router
// decides alone, but their requests add up at an endpoint, so they are counted there.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "routing/router.h"

using namespace liftrudder::routing;

namespace {

constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;
constexpr Micros kRoundUs = 10 * kMs;
constexpr int kCoordinators = 100;
constexpr int kSlots = 4;             // shard requests that an endpoint works on at once
constexpr Micros kWorkUs = 40 * kMs;  // of one shard request at a warm endpoint

Settings FleetSettings(int endpoints) {
  Settings settings;
  QueryClassSettings complete;
  complete.latency_objective_us = 500 * kMs;
  complete.client_timeout_us = 1500 * kMs;
  settings.classes = {complete};
  settings.fleet_size = kCoordinators;
  settings.cells = settings.shards = endpoints;
  settings.reach = 3;
  settings.max_attempts = 3;
  settings.cancellation_allowed = settings.hedging_allowed = true;
  settings.decision_interval_us = kRoundUs;
  settings.slow_start_capacity = 0.05;
  settings.slow_start_us = 12 * kSecond;
  settings.collapse_load_multiple = 4;
  settings.collapse_window_us = kSecond;
  return settings;
}

struct FakeEndpoint {
  Endpoint listed;
  bool running = true;
  double failure_rate = 0;  // of shard requests
  std::vector<Micros> slot_free_us = std::vector<Micros>(kSlots, 0);
  std::vector<Micros> arrivals_us;  // of every shard request, cancelled ones too
  Micros stopped_at_us = 0;
};

// Coordinators and endpoints; each coordinator is notified of a change up to half a second after it.
class Fleet {
 public:
  Fleet(int endpoints, double load, std::uint64_t seed)
      : settings(FleetSettings(endpoints)), random(seed), load_(load) {
    EndpointListUpdate all{EndpointListKind::kFull, 1, {}};
    // Endpoints with consecutive ids are in distant cells, so that the first few share no shard.
    for (int i = 0; i < endpoints; ++i) all.endpoints.push_back(Add(i * 7 % endpoints).listed);
    for (int coordinator = 0; coordinator < kCoordinators; ++coordinator) {
      routers_.emplace_back(settings, seed * 1000 + coordinator);
      Schedule(coordinator, 0, all);
    }
  }

  FakeEndpoint& Add(int cell, Micros started_us = 0) {
    EndpointId id{static_cast<std::uint32_t>(endpoints.size() + 1), 1};
    FakeEndpoint& endpoint = endpoints[id];
    endpoint.listed = {id, 0, 0, cell, Availability::kReady, 1, started_us};
    return endpoint;
  }
  // Stops the endpoint, so that attempts to connect to it fail. Restart() starts a new process.
  void Stop(FakeEndpoint& endpoint) {
    endpoint.running = false;
    endpoint.stopped_at_us = now;
    endpoint.listed.availability = Availability::kRemoved;
    AnnounceToAll(endpoint);
  }
  void Restart(FakeEndpoint& endpoint) {
    endpoint.running = true;
    endpoint.listed.availability = Availability::kReady;
    endpoint.listed.started_us = now;
    endpoint.slot_free_us.assign(kSlots, now);
    AnnounceToAll(endpoint);
  }
  void AnnounceToAll(const FakeEndpoint& endpoint) {
    for (int coordinator = 0; coordinator < kCoordinators; ++coordinator) {
      Schedule(coordinator, now + static_cast<Micros>(Unit() * 0.5 * kSecond),
               EndpointListUpdate{EndpointListKind::kDelta, ++version_, {endpoint.listed}});
    }
  }

  double SlowStartFraction(const FakeEndpoint& endpoint) const {
    if (endpoint.listed.started_us == 0) return 1;
    double age =
        static_cast<double>(now - endpoint.listed.started_us) / static_cast<double>(settings.slow_start_us);
    return std::min(1.0, settings.slow_start_capacity + (1 - settings.slow_start_capacity) * age);
  }

  void RunUntil(Micros end) {
    std::exponential_distribution<double> arrival_gap(load_ * settings.cells * kSlots /
                                                      static_cast<double>(kWorkUs));
    for (; now < end; now += kRoundUs) {
      for (; next_query_ < now; next_query_ += static_cast<Micros>(arrival_gap(random)) + 1) ReceiveQuery();
      std::map<int, std::vector<Event>> round;
      for (; !scheduled_.empty() && scheduled_.top().at <= now; scheduled_.pop()) {
        round[scheduled_.top().coordinator].push_back(scheduled_.top().event);
      }
      for (auto& [coordinator, events] : round) {
        std::vector<Action> actions;
        routers_[coordinator].Handle(now, events, actions);
        for (const Action& action : actions) Perform(coordinator, action);
      }
    }
  }

  Settings settings;
  std::mt19937_64 random;
  std::map<EndpointId, FakeEndpoint> endpoints;
  Micros now = kSecond;
  int queries = 0, complete = 0;
  std::function<void(const FakeEndpoint&)> on_send = [](const FakeEndpoint&) {};

 private:
  struct ScheduledEvent {
    Micros at;
    std::uint64_t order;
    int coordinator;
    Event event;
    bool operator<(const ScheduledEvent& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  double Unit() { return std::uniform_real_distribution<double>(0, 1)(random); }
  void Schedule(int coordinator, Micros at, Event event) {
    scheduled_.push({at, ++schedule_order_, coordinator, std::move(event)});
  }

  void ReceiveQuery() {
    int coordinator = static_cast<int>(Unit() * kCoordinators);
    auto shard = static_cast<int>(Unit() * settings.shards);
    Id id = ++last_id_;
    Schedule(coordinator, now,
             QueryReceived{id, id, 1, 0, 0, false, 0, settings.classes[0].client_timeout_us, 0});
    Schedule(coordinator, now, ShardRequestReceived{id, id, shard, 1, 0, 0});
    ++queries;
  }

  void Perform(int coordinator, const Action& action) {
    if (const auto* timer = std::get_if<SetTimer>(&action)) {
      Schedule(coordinator, now + timer->span_us, TimerFired{timer->label});
    }
    if (const auto* answer = std::get_if<Answer>(&action)) complete += answer->complete;
    if (const auto* send = std::get_if<Send>(&action)) {
      FakeEndpoint& endpoint = endpoints.at(send->endpoint);
      on_send(endpoint);
      int attempt = attempts_[send->shard_request]++;
      Micros spent = kRoundUs;
      AttemptOutcome code = AttemptOutcome::kConnectFailed;
      if (endpoint.running) {
        endpoint.arrivals_us.push_back(now);
        auto slot = std::ranges::min_element(endpoint.slot_free_us);
        bool failed = Unit() < endpoint.failure_rate;
        if (!failed) {
          *slot = std::max(*slot, now) + static_cast<Micros>(kWorkUs / SlowStartFraction(endpoint));
        }
        if (!failed) spent = *slot - now;
        code = failed ? AttemptOutcome::kError : AttemptOutcome::kOk;
        if (spent > send->timeout_us) {
          spent = send->timeout_us;
          code = AttemptOutcome::kTimeout;
        }
      }
      Schedule(
          coordinator, now + spent,
          AttemptFinished{
              send->shard_request, attempt, send->endpoint, code, spent, code == AttemptOutcome::kOk, {}});
    }
  }

  double load_;
  std::vector<Router> routers_;
  std::priority_queue<ScheduledEvent> scheduled_;
  std::map<Id, int> attempts_;
  std::uint64_t schedule_order_ = 0, version_ = 1;
  Id last_id_ = 0;
  Micros next_query_ = kSecond;
};

// The highest number of requests that an endpoint in slow start got within a collapse window, as a multiple
// of its capacity at the end of the window.
double WorstOverload(const Fleet& fleet, const FakeEndpoint& endpoint) {
  double worst = 0;
  for (std::size_t last = 0, first = 0; last < endpoint.arrivals_us.size(); ++last) {
    Micros at = endpoint.arrivals_us[last];
    if (at < endpoint.listed.started_us || at > endpoint.listed.started_us + fleet.settings.slow_start_us) {
      continue;
    }
    while (endpoint.arrivals_us[first] <
           std::max(at - fleet.settings.collapse_window_us, endpoint.listed.started_us)) {
      ++first;
    }
    double age = static_cast<double>(at - endpoint.listed.started_us) /
                 static_cast<double>(fleet.settings.slow_start_us);
    double capacity = (fleet.settings.slow_start_capacity + (1 - fleet.settings.slow_start_capacity) * age) *
                      kSlots * fleet.settings.collapse_window_us / kWorkUs;
    worst = std::max(worst, static_cast<double>(last - first + 1) / capacity);
  }
  return worst;
}

int ArrivalsSince(const FakeEndpoint& endpoint, Micros since) {
  return static_cast<int>(
      std::ranges::count_if(endpoint.arrivals_us, [&](Micros at) { return at >= since; }));
}

}  // namespace

TEST_CASE(
    "a third of the endpoints, lost and restarted together, do not collapse and get their share once warm") {
  Fleet fleet(30, 0.6, GENERATE(1, 2));
  fleet.RunUntil(4 * kSecond);
  std::vector<FakeEndpoint*> zone;
  for (auto& [id, endpoint] : fleet.endpoints) {
    if (endpoint.listed.cell % 3 == 0) zone.push_back(&endpoint);
  }
  for (FakeEndpoint* endpoint : zone) fleet.Stop(*endpoint);
  fleet.RunUntil(7 * kSecond);
  for (FakeEndpoint* endpoint : zone) fleet.Restart(*endpoint);
  fleet.RunUntil(20 * kSecond);
  double all = 0, to_restarted = 0;
  for (auto& [id, endpoint] : fleet.endpoints) all += ArrivalsSince(endpoint, 18 * kSecond);
  for (FakeEndpoint* endpoint : zone) {
    to_restarted += ArrivalsSince(*endpoint, 18 * kSecond);
    INFO("cell " << endpoint->listed.cell);
    CHECK(WorstOverload(fleet, *endpoint) < fleet.settings.collapse_load_multiple);
    CHECK(ArrivalsSince(*endpoint, 7 * kSecond) > 0);
  }
  CHECK(to_restarted > 0.8 * all / 3);
  CHECK(fleet.complete > 0.98 * fleet.queries);
}

TEST_CASE(
    "with six in ten endpoints replaced in seven seconds, removed ones get nothing and none collapses") {
  // The least over 36 endpoints varies by chance, so it is summed over four seeds.
  double least_sum = 0, mean_sum = 0;
  for (std::uint64_t seed : {1, 2, 3, 4}) {
    Fleet fleet(60, 0.5, seed);
    fleet.RunUntil(4 * kSecond);
    std::vector<EndpointId> replaced;
    for (auto& [id, endpoint] : fleet.endpoints) {
      if (endpoint.listed.cell % 5 < 3) replaced.push_back(id);
    }
    std::ranges::shuffle(replaced, fleet.random);
    int sent_to_removed = 0;
    fleet.on_send = [&](const FakeEndpoint& endpoint) {
      sent_to_removed += !endpoint.running && fleet.now > endpoint.stopped_at_us + kSecond;
    };
    std::vector<FakeEndpoint*> replacements;
    for (std::size_t i = 0; i < replaced.size(); ++i) {
      fleet.RunUntil(4 * kSecond +
                     static_cast<Micros>(i) * 7 * kSecond / static_cast<Micros>(replaced.size()));
      replacements.push_back(&fleet.Add(fleet.endpoints.at(replaced[i]).listed.cell));
      fleet.Restart(*replacements.back());
      fleet.Stop(fleet.endpoints.at(replaced[i]));
    }
    fleet.RunUntil(22 * kSecond);
    CHECK(sent_to_removed == 0);
    double all = 0, least = 1e9;
    for (auto& [id, endpoint] : fleet.endpoints) all += ArrivalsSince(endpoint, 20 * kSecond);
    for (FakeEndpoint* endpoint : replacements) {
      INFO("cell " << endpoint->listed.cell);
      CHECK(WorstOverload(fleet, *endpoint) < fleet.settings.collapse_load_multiple);
      least = std::min<double>(least, ArrivalsSince(*endpoint, 20 * kSecond));
    }
    least_sum += least;
    mean_sum += all / fleet.settings.cells;
    CHECK(fleet.complete > 0.97 * fleet.queries);
  }
  CHECK(least_sum > 0.5 * mean_sum);
}

namespace {

// The endpoints with the lowest ids, up to this number, fail; the others are healthy.
constexpr std::uint32_t kFaultyEndpoints = 3;

// Shard requests that each endpoint got in the last ten seconds, relative to the mean of the healthy ones.
struct ArrivalShares {
  explicit ArrivalShares(const Fleet& fleet) {
    double healthy = 0, fewest = 1e9;
    for (const auto& [id, endpoint] : fleet.endpoints) {
      relative_arrivals[id.address] = ArrivalsSince(endpoint, fleet.now - 10 * kSecond);
      if (id.address <= kFaultyEndpoints) continue;
      healthy += relative_arrivals[id.address] / (fleet.settings.cells - kFaultyEndpoints);
      fewest = std::min(fewest, relative_arrivals[id.address]);
    }
    for (auto& [address, shard_requests] : relative_arrivals) shard_requests /= healthy;
    least_healthy = fewest / healthy;
  }
  std::map<std::uint32_t, double> relative_arrivals;
  double least_healthy;
};

}  // namespace

// A coordinator sends about two requests to each endpoint in five seconds.
TEST_CASE("coordinators with few requests per endpoint eject failing endpoints and no healthy ones") {
  double baseline_rate = GENERATE(0.02, 0.12);
  const double faulty_rates[kFaultyEndpoints] = {0.5, 0.9, 1.0};
  Fleet fleet(30, 0.4, 1);
  for (auto& [id, endpoint] : fleet.endpoints) {
    endpoint.failure_rate = id.address <= kFaultyEndpoints ? faulty_rates[id.address - 1] : baseline_rate;
  }
  fleet.RunUntil(31 * kSecond);
  ArrivalShares during(fleet);
  INFO("baseline_rate " << baseline_rate << ": " << during.relative_arrivals[1] << " "
                        << during.relative_arrivals[2] << " " << during.relative_arrivals[3]);
  CHECK(during.relative_arrivals[1] < 0.5);
  CHECK(during.relative_arrivals[2] < 0.3);
  CHECK(during.relative_arrivals[3] < 0.25);
  CHECK(during.least_healthy > 0.6);
  for (auto& [id, endpoint] : fleet.endpoints) endpoint.failure_rate = baseline_rate;
  fleet.RunUntil(76 * kSecond);
  ArrivalShares after(fleet);
  INFO("after: " << after.relative_arrivals[1] << " " << after.relative_arrivals[2] << " "
                 << after.relative_arrivals[3]);
  for (std::uint32_t i = 1; i <= kFaultyEndpoints; ++i) CHECK(after.relative_arrivals[i] > 0.75);
}
