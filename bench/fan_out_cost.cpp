// Measures the CPU time that the whole program spends on a query for every shard. Queries run one at a time;
// each cell has one endpoint (a shard may use three), and endpoints answer after 10 to 109 ms. The first
// queries open the connections and are counted separately. On a platform that grants a fifth of a core, the
// wall time is five times the CPU time.
//
//   fan_out_cost [QUERIES] [ENDPOINTS ...]      prints a table row for each number of endpoints
#include <fmt/format.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include "test_support/coordinator_process.h"
#include "test_support/fake_discovery.h"
#include "test_support/fake_endpoint.h"
#include "test_support/temporary_directory.h"

namespace {

using namespace liftrudder;

std::string Config(const test_support::FakeDiscovery& discovery, int endpoints) {
  return fmt::format(
      R"({{"name":"n1","seed":"8c1f30d27a5be964","listen":"127.0.0.1:0","discovery":"{}","limits":{{"cores":0.2,"sockets":640,"memory_mb":64}},
"known":{},"settings":{{"az":0,"groupSize":300,"ordinal":0,"resolutionUs":1000,"dcs":["dc1"],"kinds":["k"],
"registryMode":"automatic","loadInfo":{{"how":"inline","names":["queue","inflight"]}},
"grades":[{{"name":"search","aimUs":500000,"giveUpUs":1340000,"lateShare":0.3,"value":5.0,"effect":"idempotent","repeatWindowUs":5000000,"dedupScope":"all"}}],
"familyInfo":{{"cells":{},"reach":3,"slices":{},"perCall":1,"classFetch":[0],"classFloor":[0.4],"wholeAt":[1.0],"incompleteWorth":[0.95]}},
"bounds":{{"attemptsCap":3,"cancelling":true,"connectTimeoutUs":250000,"idleCloseUs":30000000,"maxOpen":800,"maxRetryAfterUs":500000,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":100}},
"rules":{{"graceToAnswerUs":5000,"stopSendingWithinUs":1000000}}}}}})",
      discovery.addr(), discovery.List(), endpoints, endpoints);
}

struct Cost {
  double first_ms = 0, later_ms = 0, idle_ms_per_s = 0;
  int complete = 0;
};

// Sends a query for all shards. Returns whether the answer has status 200 and is marked complete.
bool QueryAllShards(const net::Fd& fd, int number, int shards) {
  std::string tablets;
  for (int shard = 0; shard < shards; ++shard)
    tablets +=
        fmt::format("{}{{\"tablet\":{},\"fraction\":{:.9f}}}", shard > 0 ? "," : "", shard, 1.0 / shards);
  std::string body = fmt::format("{{\"tablets\":[{}],\"statement\":\"s\"}}", tablets), in;
  net::WriteAll(fd,
                fmt::format("POST /api HTTP/1.1\r\nHost: g\r\nX-Call-Id: b-{}\r\nX-Call-Class: search\r\n"
                            "X-Budget: 1.3\r\nContent-Length: {}\r\n\r\n{}",
                            number, body.size(), body),
                test_support::kTestTimeoutUs);
  net::HttpParser parser(net::HttpParser::Kind::kResponse);
  auto state = net::HttpParser::State::kHead;
  while (state != net::HttpParser::State::kDone &&
         net::ReadSome(fd, in, test_support::kTestTimeoutUs) == net::IoStatus::kOk)
    state = parser.Feed(in);
  return parser.message().status == 200 && parser.message().body.starts_with("{\"full\":true");
}

Cost Measure(int endpoints, int queries, const std::string& directory) {
  test_support::FakeDiscovery discovery;
  std::vector<std::unique_ptr<test_support::FakeEndpoint>> fake_endpoints;
  for (int cell = 0; cell < endpoints; ++cell) {
    fake_endpoints.push_back(
        std::make_unique<test_support::FakeEndpoint>([cell](const std::string&, std::size_t nth) {
          auto extra_delay_ms = (static_cast<std::size_t>(cell) * 7919 + nth * 104729) % 100;
          return test_support::PlannedResponse{test_support::ResponseKind::kServe,
                                               10'000 + static_cast<net::Micros>(extra_delay_ms) * 1'000};
        }));
    discovery.UpdateEndpoint(fmt::format("s-{}", cell), fake_endpoints.back()->addr(), cell, "ready");
  }
  test_support::CoordinatorProcess coordinator_process(LIFTRUDDER_PROGRAM, directory,
                                                       Config(discovery, endpoints));
  if (coordinator_process.addr().empty()) {
    std::fprintf(stderr, "%s\n", coordinator_process.Log().c_str());
    std::exit(1);
  }
  Cost cost;
  net::SteadyClock clock;
  net::Micros started_us = clock.Now();
  double cpu_ms_before = coordinator_process.CpuMs();
  while (clock.Now() - started_us < 2'000'000) ::usleep(100'000);
  cost.idle_ms_per_s = (coordinator_process.CpuMs() - cpu_ms_before) / 2;
  net::Fd fd = net::Connect(coordinator_process.addr(), test_support::kTestTimeoutUs);
  constexpr int kFirstQueries = 3;  // after these nearly all connections are open
  for (int i = 0; i < kFirstQueries + queries; ++i) {
    if (i == 0 || i == kFirstQueries) cpu_ms_before = coordinator_process.CpuMs();
    cost.complete += QueryAllShards(fd, i, endpoints);
    double cpu_ms = coordinator_process.CpuMs() - cpu_ms_before;
    (i < kFirstQueries ? cost.first_ms : cost.later_ms) =
        cpu_ms / (i < kFirstQueries ? i + 1 : i + 1 - kFirstQueries);
  }
  return cost;
}

}  // namespace

int main(int argc, char** argv) {
  int queries = argc > 1 ? std::atoi(argv[1]) : 100;
  std::vector<int> sizes;
  for (int i = 2; i < argc; ++i) sizes.push_back(std::atoi(argv[i]));
  if (sizes.empty()) sizes = {12, 60, 172};
  test_support::TemporaryDirectory run_directory;
  std::printf(
      "| endpoints | CPU ms per query, first three | later | us per shard request | idle, ms per s | "
      "complete |\n"
      "|---|---|---|---|---|---|\n");
  for (int endpoints : sizes) {
    Cost cost = Measure(endpoints, queries, run_directory.path());
    std::printf("| %d | %.2f | %.2f | %.1f | %.2f | %d of %d |\n", endpoints, cost.first_ms, cost.later_ms,
                cost.later_ms * 1e3 / endpoints, cost.idle_ms_per_s, cost.complete, queries + 3);
    std::fflush(stdout);
  }
}
