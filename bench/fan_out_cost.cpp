// What a query for every shard costs the gatherer: processor time of the whole program, one query at a time,
// as the holders (one a shard, three to a shard) answer spread over a tenth of a second. First queries open
// the connections and are counted apart. On a platform that grants a fifth of a core, five times this is
// waited.
//
//   fan_cost [QUERIES] [HOLDERS ...]      a table row for each number of holders
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
  double first_ms = 0, later_ms = 0, idle_ms_a_second = 0;
  int whole = 0;
};

// A status of 200 and marked whole.
bool AskAll(const net::Fd& fd, int number, int shards) {
  std::string tablets;
  for (int shard = 0; shard < shards; ++shard)
    tablets +=
        fmt::format("{}{{\"tablet\":{},\"fraction\":{:.9f}}}", shard > 0 ? "," : "", shard, 1.0 / shards);
  std::string body = fmt::format("{{\"tablets\":[{}],\"statement\":\"s\"}}", tablets), in;
  net::WriteAll(fd,
                fmt::format("POST /api HTTP/1.1\r\nHost: g\r\nX-Call-Id: b-{}\r\nX-Call-Class: search\r\n"
                            "X-Budget: 1.3\r\nContent-Length: {}\r\n\r\n{}",
                            number, body.size(), body),
                test_support::kPatience);
  net::HttpParser parser(net::HttpParser::Kind::kResponse);
  auto state = net::HttpParser::State::kHead;
  while (state != net::HttpParser::State::kDone &&
         net::ReadSome(fd, in, test_support::kPatience) == net::Io::kOk)
    state = parser.Feed(in);
  return parser.message().status == 200 && parser.message().body.starts_with("{\"full\":true");
}

Cost Measure(int endpoints, int queries, const std::string& directory) {
  test_support::FakeDiscovery discovery;
  std::vector<std::unique_ptr<test_support::FakeEndpoint>> all;
  for (int cell = 0; cell < endpoints; ++cell) {
    all.push_back(std::make_unique<test_support::FakeEndpoint>([cell](const std::string&, std::size_t nth) {
      auto spread = (static_cast<std::size_t>(cell) * 7919 + nth * 104729) % 100;
      return test_support::Behaviour{test_support::Act::kServe,
                                     10'000 + static_cast<net::Micros>(spread) * 1'000};
    }));
    discovery.Tell(fmt::format("s-{}", cell), all.back()->addr(), cell, "ready");
  }
  test_support::CoordinatorProcess coordinator_process(LIFTRUDDER_PROGRAM, directory,
                                                       Config(discovery, endpoints));
  if (coordinator_process.addr().empty()) {
    std::fprintf(stderr, "%s\n", coordinator_process.Log().c_str());
    std::exit(1);
  }
  Cost cost;
  net::SteadyClock clock;
  net::Micros began = clock.Now();
  double before = coordinator_process.CpuMs();
  while (clock.Now() - began < 2'000'000) ::usleep(100'000);
  cost.idle_ms_a_second = (coordinator_process.CpuMs() - before) / 2;
  net::Fd fd = net::Connect(coordinator_process.addr(), test_support::kPatience);
  constexpr int kFirst = 3;  // until nearly all connections are there
  for (int i = 0; i < kFirst + queries; ++i) {
    if (i == 0 || i == kFirst) before = coordinator_process.CpuMs();
    cost.whole += AskAll(fd, i, endpoints);
    double used = coordinator_process.CpuMs() - before;
    (i < kFirst ? cost.first_ms : cost.later_ms) = used / (i < kFirst ? i + 1 : i + 1 - kFirst);
  }
  return cost;
}

}  // namespace

int main(int argc, char** argv) {
  int queries = argc > 1 ? std::atoi(argv[1]) : 100;
  std::vector<int> sizes;
  for (int i = 2; i < argc; ++i) sizes.push_back(std::atoi(argv[i]));
  if (sizes.empty()) sizes = {12, 60, 172};
  test_support::TemporaryDirectory own;
  std::printf(
      "| holders | CPU ms a query, the first three | later | to a part, us | idle, ms a second | whole |\n"
      "|---|---|---|---|---|---|\n");
  for (int endpoints : sizes) {
    Cost cost = Measure(endpoints, queries, own.path());
    std::printf("| %d | %.2f | %.2f | %.1f | %.2f | %d of %d |\n", endpoints, cost.first_ms, cost.later_ms,
                cost.later_ms * 1e3 / endpoints, cost.idle_ms_a_second, cost.whole, queries + 3);
    std::fflush(stdout);
  }
}
