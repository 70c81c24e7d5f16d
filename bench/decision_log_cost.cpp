// Measures the cost of the decision record per query, with the record off, on, and on with a concurrent
// reader, interleaved over several rounds: CPU time of the whole program, and CPU time and allocations of the
// coordinator alone, without sockets.
//
//   decision_log_cost [ROUNDS] [QUERIES PER ROUND]      prints a table; quote the medians and the machine
#include <fmt/format.h>
#include <time.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <thread>

#include "coordinator/coordinator.h"
#include "coordinator/endpoint_registry.h"
#include "decision_log/explain_service.h"
#include "test_support/allocation_counter.h"
#include "test_support/coordinator_process.h"
#include "test_support/fake_discovery.h"
#include "test_support/fake_endpoint.h"
#include "test_support/temporary_directory.h"

namespace {

using namespace liftrudder;

constexpr int kEndpoints = 6;
constexpr int kShardRequests = 6;
constexpr int kClients = 8;
constexpr std::size_t kRecordBytes = 4 * 1024 * 1024;

double Median(std::vector<double> values) {
  std::ranges::sort(values);
  return values[values.size() / 2];
}

// ---- The coordinator alone ----

liftrudder::routing::Settings RoutingSettings() {
  liftrudder::routing::Settings s;
  liftrudder::routing::QueryClassSettings search{
      2'000'000, 4'000'000, 0.3, 5, liftrudder::routing::Effect::kIdempotent, 0, 0, 0, 0.4, 1, 0.95};
  s.classes = {search};
  s.cells = s.shards = kEndpoints;
  s.reach = 3;
  s.max_attempts = 3;
  s.cancellation_allowed = s.hedging_allowed = true;
  s.decision_interval_us = 1;
  return s;
}

// Completes every attempt immediately.
class ImmediateTransport : public coordinator::EndpointTransport {
 public:
  explicit ImmediateTransport(coordinator::Coordinator& coordinator) : coordinator_(coordinator) {}
  void Start(coordinator::AttemptRequest attempt) override {
    coordinator_.Post(coordinator::AttemptResult{
        attempt.key, coordinator::Progress::kAnswering, coordinator::Cause::kServed, {}, "v"});
  }
  void EndRound() override {}
  void CancelAttempt(const coordinator::AttemptKey&, const coordinator::EndpointId&,
                     coordinator::Cause) override {}
  void RequestCancellation(const coordinator::AttemptKey&) override {}
  void CloseIdle(const coordinator::EndpointId&) override {}
  void ReleaseRemovedEndpoints() override {}

 private:
  coordinator::Coordinator& coordinator_;
};

class CountingReply : public coordinator::ClientReply {
 public:
  explicit CountingReply(std::atomic<int>& unanswered) : unanswered_(unanswered) {}
  void Deliver(coordinator::FinalAnswer) override { unanswered_.fetch_sub(1); }

 private:
  std::atomic<int>& unanswered_;
};

struct Cost {
  double cpu_us = 0, allocations = 0;
};

Cost MeasureCoordinator(bool record, bool readers, int queries) {
  liftrudder::routing::Settings settings = RoutingSettings();
  net::SteadyClock clock;
  coordinator::EndpointRegistry endpoint_registry;
  metrics::Counters counters;
  coordinator::Coordinator coordinator(settings, 7, clock, endpoint_registry, counters);
  ImmediateTransport transport(coordinator);
  coordinator.Attach(transport);
  std::optional<decision_log::Recorder> recorder;
  if (record) {
    recorder.emplace(kRecordBytes, "", decision_log::RecordOrigin{"bench", clock.Now(), {"search"}}, 7);
    coordinator.Attach(*recorder);
  }
  coordinator::EndpointList list;
  for (int cell = 0; cell < kEndpoints; ++cell) {
    list.entries.push_back({fmt::format("s-{}", cell), "127.0.0.1:1", {{}, 0, 0, cell}});
  }
  coordinator.Post(*endpoint_registry.Apply(list, clock.Now()));
  std::atomic<std::int64_t> coordinator_ns{0};
  std::thread loop([&] {
    coordinator.Run();
    timespec used{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    coordinator_ns = used.tv_sec * 1'000'000'000 + used.tv_nsec;
  });
  std::atomic<bool> done{false};
  std::thread reader([&] {
    if (!readers || !record) return;
    decision_log::ExplainService explain_service(
        recorder->record_file(), [&] { coordinator.RefreshDecisionLog(); }, [&] { return clock.Now(); });
    while (!done) {
      explain_service.Ask({{"limit", "50"}, {"format", "json"}});
      std::this_thread::sleep_for(std::chrono::milliseconds(200));
    }
  });
  std::atomic<int> unanswered{0};
  std::size_t start = 0;
  int warm_up = queries / 4;
  for (int i = 0; i < queries + warm_up; ++i) {
    if (i == warm_up) start = test_support::AllocationCount();
    coordinator::QueryRequest request;
    request.received_us = clock.Now();
    request.deadline_us = request.received_us + 4'000'000;
    coordinator::Payload payload;
    payload.call_id = fmt::format("bench-{:08}", i);
    request.payload = std::make_shared<const coordinator::Payload>(std::move(payload));
    for (int shard_request = 0; shard_request < kShardRequests; ++shard_request) {
      request.shard_requests.push_back({shard_request, 1.0 / kShardRequests, 0, 0});
    }
    unanswered.fetch_add(1);
    coordinator.Admit(std::move(request), std::make_shared<CountingReply>(unanswered));
    while (unanswered.load() > 4) std::this_thread::yield();
  }
  while (unanswered.load() > 0) std::this_thread::yield();
  std::size_t used = test_support::AllocationCount() - start;
  done = true;
  coordinator.Stop();
  loop.join();
  reader.join();
  return {static_cast<double>(coordinator_ns.load()) / 1e3 / (queries + warm_up),
          static_cast<double>(used) / queries};
}

double ThreadCpuMs() {
  timespec used{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

// The CPU time in milliseconds of answering one question from a full record of 4 MiB (median).
double MeasureReadMs(const decision_log::Question& question) {
  decision_log::Recorder recorder(kRecordBytes, "", decision_log::RecordOrigin{"bench", 0, {"search"}}, 7);
  std::vector<decision_log::RecordedShardRequest> shard_requests(kShardRequests, {1, 0.16, 0});
  for (std::uint32_t i = 0; i < 20'000; ++i) {
    std::uint32_t query = 1 + i * 10;
    std::int64_t now_us = 1'000'000'000 + std::int64_t{i} * 5'000;
    recorder.SetTime(now_us);
    std::string id = fmt::format("bench-{:08}", i);
    recorder.RecordArrival(
        {query, now_us, now_us + 4'000'000, 0, decision_log::FrontKind::kPlatform, false, id, ""},
        shard_requests);
    for (int shard_request = 0; shard_request < kShardRequests; ++shard_request) {
      liftrudder::routing::Send send{0, {1, 1}, 1'000'000, {}};
      send.reason.choice.count = 3;
      for (std::uint32_t j = 0; j < 3; ++j) {
        send.reason.choice.endpoints[j] = {{j + 1, 1}, 0, liftrudder::routing::Eligibility::kEligible, true};
      }
      recorder.RecordSend(query, shard_request, 0, send);
      recorder.RecordAttemptEnd(query, shard_request, 0, 1, liftrudder::routing::AttemptOutcome::kOk,
                                decision_log::Progress::kAnswering, decision_log::Cause::kServed);
    }
    recorder.RecordCompletion(
        query, {decision_log::Verdict::kComplete, {}, decision_log::IntakeResult::kNone, 0, kShardRequests});
    recorder.Flush();
  }
  std::vector<double> times_ms;
  for (int i = 0; i < 15; ++i) {
    double start = ThreadCpuMs();
    decision_log::AnswerFrom(recorder.record_file(), question);
    times_ms.push_back(ThreadCpuMs() - start);
  }
  return Median(times_ms);
}

// ---- The whole program ----

std::string Config(const test_support::FakeDiscovery& discovery, std::size_t bytes) {
  return fmt::format(
      R"({{"name":"n1","seed":"8c1f30d27a5be964","listen":"127.0.0.1:0","discovery":"{}","limits":{{"sockets":1024,"memory_mb":192}},
"why":{{"bytes":{}}},"known":{},"settings":{{"az":0,"groupSize":1,"ordinal":0,"resolutionUs":5000,"dcs":["dc1"],"kinds":["k"],
"registryMode":"automatic","loadInfo":{{"how":"inline","names":["queue","inflight"]}},
"grades":[{{"name":"search","aimUs":2000000,"giveUpUs":4000000,"lateShare":0.3,"value":5.0,"effect":"idempotent","repeatWindowUs":5000000,"dedupScope":"all"}}],
"familyInfo":{{"cells":6,"reach":3,"slices":6,"perCall":1,"classFetch":[0],"classFloor":[0.4],"wholeAt":[1.0],"incompleteWorth":[0.95]}},
"bounds":{{"attemptsCap":3,"cancelling":true,"connectTimeoutUs":250000,"idleCloseUs":30000000,"maxOpen":800,"maxRetryAfterUs":500000,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":100}},
"rules":{{"graceToAnswerUs":20000,"stopSendingWithinUs":1000000}}}}}})",
      discovery.addr(), bytes, discovery.List());
}

double MeasureProgramCpuUs(std::size_t bytes, bool readers, int queries, const std::string& directory) {
  test_support::FakeDiscovery discovery;
  std::vector<std::unique_ptr<test_support::FakeEndpoint>> endpoints;
  for (int cell = 0; cell < kEndpoints; ++cell) {
    endpoints.push_back(std::make_unique<test_support::FakeEndpoint>([](const std::string&, std::size_t) {
      return test_support::PlannedResponse{test_support::ResponseKind::kServe, 3'000};
    }));
    discovery.UpdateEndpoint(fmt::format("s-{}", cell), endpoints.back()->addr(), cell, "ready");
  }
  test_support::CoordinatorProcess coordinator_process(LIFTRUDDER_PROGRAM, directory,
                                                       Config(discovery, bytes));
  if (coordinator_process.addr().empty()) {
    std::fprintf(stderr, "%s\n", coordinator_process.Log().c_str());
    std::exit(1);
  }
  std::atomic<int> next{0}, answered{0};
  std::vector<std::thread> clients;
  for (int client_index = 0; client_index < kClients; ++client_index) {
    clients.emplace_back([&] {
      net::Fd fd = net::Connect(coordinator_process.addr(), test_support::kTestTimeoutUs);
      for (int i = next.fetch_add(1); i < queries; i = next.fetch_add(1)) {
        std::string tablets, in;
        for (int shard_request = 0; shard_request < kShardRequests; ++shard_request) {
          tablets += fmt::format("{}{{\"tablet\":{},\"fraction\":0.166667}}", shard_request > 0 ? "," : "",
                                 shard_request);
        }
        std::string body = fmt::format("{{\"tablets\":[{}],\"statement\":\"s\"}}", tablets);
        net::WriteAll(
            fd,
            fmt::format("POST /api HTTP/1.1\r\nHost: g\r\nX-Call-Id: b-{}\r\nX-Call-Class: search\r\n"
                        "X-Budget: 3.5\r\nContent-Length: {}\r\n\r\n{}",
                        i, body.size(), body),
            test_support::kTestTimeoutUs);
        net::HttpParser parser(net::HttpParser::Kind::kResponse);
        auto state = net::HttpParser::State::kHead;
        while (state != net::HttpParser::State::kDone &&
               net::ReadSome(fd, in, test_support::kTestTimeoutUs) == net::IoStatus::kOk) {
          state = parser.Feed(in);
        }
        answered += parser.message().status == 200 ? 1 : 0;
      }
    });
  }
  std::atomic<bool> done{false};
  std::thread reader([&] {
    while (readers && !done) {
      test_support::Get(coordinator_process.addr(), "/-/why?limit=50&format=json");
      std::this_thread::sleep_for(std::chrono::milliseconds(250));
    }
  });
  for (std::thread& client : clients) client.join();
  done = true;
  reader.join();
  if (answered != queries) std::fprintf(stderr, "%d of %d queries were answered\n", answered.load(), queries);
  return coordinator_process.Stop() * 1e6 / queries;
}

// ---- The table ----

struct Mode {
  const char* name;
  bool record;
  bool reader;
};
constexpr std::array<Mode, 3> kModes = {
    {{"off", false, false}, {"on", true, false}, {"on, with a reader", true, true}}};

// The figures of one mode, with one element per round.
struct Figures {
  std::vector<double> coordinator_cpu_us, allocations, program_cpu_us;
};

std::array<Figures, kModes.size()> Measure(int rounds, int queries) {
  std::array<Figures, kModes.size()> out;
  test_support::TemporaryDirectory directory;
  // The order rotates each round, so that a machine that slows down or speeds up favours no mode.
  for (std::size_t round = 0; round < static_cast<std::size_t>(rounds); ++round) {
    for (std::size_t turn = 0; turn < kModes.size(); ++turn) {
      std::size_t index = (round + turn) % kModes.size();
      const Mode& mode = kModes[index];
      Cost cost = MeasureCoordinator(mode.record, mode.reader, queries * 4);
      out[index].coordinator_cpu_us.push_back(cost.cpu_us);
      out[index].allocations.push_back(cost.allocations);
      out[index].program_cpu_us.push_back(
          MeasureProgramCpuUs(mode.record ? kRecordBytes : 0, mode.reader, queries, directory.path()));
    }
  }
  return out;
}

// The median over the rounds of the ratio of each value to its base.
double PairedRatio(const std::vector<double>& values, const std::vector<double>& base) {
  std::vector<double> ratios;
  for (std::size_t i = 0; i < values.size(); ++i) ratios.push_back(values[i] / base[i]);
  return Median(ratios);
}

void PrintTable(const std::array<Figures, kModes.size()>& figures) {
  fmt::print(
      "| record | coordinator alone, CPU us per query | allocations per query | "
      "whole program, CPU us per query | ratio to off, paired by round |\n|---|---|---|---|---|\n");
  for (std::size_t i = 0; i < kModes.size(); ++i) {
    const Figures& mode = figures[i];
    auto [coordinator_min, coordinator_max] = std::ranges::minmax(mode.coordinator_cpu_us);
    auto [program_min, program_max] = std::ranges::minmax(mode.program_cpu_us);
    fmt::print("| {} | {:.2f} ({:.2f} to {:.2f}) | {:.2f} | {:.1f} ({:.1f} to {:.1f}) | {:.3f} |\n",
               kModes[i].name, Median(mode.coordinator_cpu_us), coordinator_min, coordinator_max,
               Median(mode.allocations), Median(mode.program_cpu_us), program_min, program_max,
               PairedRatio(mode.program_cpu_us, figures[0].program_cpu_us));
  }
}

void PrintReadCosts() {
  decision_log::Question question;
  question.filter.limit = 50;
  fmt::print("\nReading a full record of 4 MiB, CPU ms: 50 queries as text {:.2f}", MeasureReadMs(question));
  question.json = true;
  fmt::print(", as JSON {:.2f}", MeasureReadMs(question));
  question.filter.id = "bench-00019990";
  fmt::print(", one query by id {:.2f}\n", MeasureReadMs(question));
}

}  // namespace

int main(int argc, char** argv) {
  int rounds = argc > 1 ? std::atoi(argv[1]) : 7;
  int queries = argc > 2 ? std::atoi(argv[2]) : 4000;
  auto figures = Measure(rounds, queries);
  fmt::print("{} cores; {} interleaved rounds; {} shard requests per query; median (min to max)\n\n",
             std::thread::hardware_concurrency(), rounds, kShardRequests);
  PrintTable(figures);
  PrintReadCosts();
}
