// The program with an endpoint list that grows to 1,024, with fewer descriptors than endpoints and little
// memory: all shards are answered, draining endpoints are sent nothing more, and the limits are kept.
#define CATCH_CONFIG_MAIN
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "test_support/coordinator_process.h"
#include "test_support/fake_discovery.h"
#include "test_support/temporary_directory.h"
#include "test_support/test_fleet.h"

using namespace liftrudder;

namespace {

constexpr int kMaxEndpoints = 1024, kFirst = 4, kDescriptorLimit = 640, kMemoryMb = 64;
constexpr net::Micros kServeUs = 5'000;

std::string Config(const test_support::FakeDiscovery& discovery) {
  return fmt::format(
      R"({{"name":"n1","seed":"8c1f30d27a5be964","listen":"127.0.0.1:0","discovery":"{}","limits":{{"cores":1,"sockets":{},"memory_mb":{}}},
"known":{},"settings":{{"az":0,"groupSize":{},"ordinal":0,"resolutionUs":1000,"dcs":[],"kinds":["k"],
"registryMode":"automatic","loadInfo":{{"how":"inline","names":["queue","inflight"]}},
"grades":[{{"name":"report","aimUs":15000000,"giveUpUs":20000000,"lateShare":0.3,"value":5.0,"effect":"idempotent","repeatWindowUs":5000000,"dedupScope":"all"}}],
"familyInfo":{{"cells":{},"reach":3,"slices":{},"perCall":1,"classFetch":[0],"classFloor":[1.0],"wholeAt":[1.0],"incompleteWorth":[0.95]}},
"bounds":{{"attemptsCap":3,"cancelling":true,"connectTimeoutUs":250000,"idleCloseUs":30000000,"maxOpen":5000,"maxRetryAfterUs":500000,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":100}},
"rules":{{"graceToAnswerUs":5000,"stopSendingWithinUs":1000000}}}}}})",
      discovery.addr(), kDescriptorLimit, kMemoryMb, discovery.List(), kMaxEndpoints, kMaxEndpoints,
      kMaxEndpoints);
}

std::string Id(int endpoint) { return fmt::format("holder-{:0>64}", endpoint); }

net::HttpMessage QueryAllShards(const std::string& addr, const std::string& id) {
  std::string shard_requests;
  for (int shard = 0; shard < kMaxEndpoints; ++shard) {
    shard_requests += fmt::format("{}{{\"tablet\":{},\"fraction\":{:.9f}}}", shard > 0 ? "," : "", shard,
                                  1.0 / kMaxEndpoints);
  }
  std::string body = fmt::format("{{\"tablets\":[{}],\"statement\":\"s\"}}", shard_requests);
  return test_support::Fetch(
      addr, fmt::format("POST /api HTTP/1.1\r\nHost: g\r\nX-Call-Id: {}\r\nX-Call-Class: report\r\n"
                        "X-Budget: 19\r\nContent-Length: {}\r\n\r\n{}",
                        id, body.size(), body));
}

std::size_t Count(const std::string& text, std::string_view what) {
  std::size_t count = 0;
  for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++count;
  return count;
}

// The first number of a line of /proc/PID/status; -1 when there is no such line.
long ReadProcStatus(pid_t pid, const std::string& name) {
  std::ifstream in(fmt::format("/proc/{}/status", pid));
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with(name + ":")) return std::stol(line.substr(name.size() + 1));
  }
  return -1;
}

long CountDescriptors(pid_t pid) {
  return std::distance(std::filesystem::directory_iterator(fmt::format("/proc/{}/fd", pid)), {});
}

void WaitForLog(const test_support::CoordinatorProcess& coordinator, const std::string& text) {
  net::SteadyClock clock;
  for (net::Micros until = clock.Now() + test_support::kTestTimeoutUs; clock.Now() < until;) {
    if (coordinator.Log().find(text) != std::string::npos) return;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  FAIL("the log does not contain: " << text << "\n" << coordinator.Log());
}

}  // namespace

TEST_CASE(
    "a list that grows from 4 endpoints to 1,024 is served within the limits, also while half of it drains") {
  test_support::TestFleet fleet(kMaxEndpoints, kServeUs);
  test_support::FakeDiscovery discovery;
  discovery.EnableIndentation();
  std::vector<test_support::FakeDiscovery::Entry> few, rest;
  for (int i = 0; i < kMaxEndpoints; ++i) (i < kFirst ? few : rest).push_back({Id(i), fleet.addr(i), i});
  discovery.UpdateEndpoints(few);
  test_support::TemporaryDirectory directory;
  test_support::CoordinatorProcess coordinator(LIFTRUDDER_PROGRAM, directory.path(), Config(discovery));
  INFO(coordinator.Log());
  REQUIRE(!coordinator.addr().empty());
  // The program listens before its watch is open. If the rest were added now, both parts could arrive as one
  // list, which would not grow.
  WaitForLog(coordinator, fmt::format(", full: {} entries", few.size()));
  discovery.UpdateEndpoints(rest);
  WaitForLog(coordinator, fmt::format("{} entries", rest.size()));

  for (int round = 0; round < 3; ++round) {
    net::HttpMessage answer = QueryAllShards(coordinator.addr(), fmt::format("wide-{}", round));
    REQUIRE(answer.status == 200);
    CHECK(answer.body.starts_with("{\"full\":true"));
    CHECK(Count(answer.body, "\"tablet\":") == kMaxEndpoints);
  }
  // Half of the list drains in one update; once it is applied, those endpoints are sent no shard request.
  std::vector<test_support::FakeDiscovery::Entry> draining;
  std::vector<int> before;
  for (int i = 0; i < kMaxEndpoints; i += 2) draining.push_back({Id(i), fleet.addr(i), i, "draining"});
  discovery.UpdateEndpoints(draining);
  WaitForLog(coordinator, fmt::format("{} entries", draining.size()));
  for (int i = 0; i < kMaxEndpoints; i += 2) before.push_back(fleet.shard_requests(i));
  for (int round = 0; round < 3; ++round) {
    net::HttpMessage answer = QueryAllShards(coordinator.addr(), fmt::format("left-{}", round));
    REQUIRE(answer.status == 200);
    CHECK(answer.body.starts_with("{\"full\":true"));
    CHECK(CountDescriptors(coordinator.pid()) <= kDescriptorLimit);
  }
  int sent_after_drain = 0;
  for (int i = 0; i < kMaxEndpoints; i += 2) {
    sent_after_drain += fleet.shard_requests(i) - before[static_cast<std::size_t>(i / 2)];
  }
  CHECK(sent_after_drain == 0);

  // The decision log explains a query with 1,024 shard requests.
  net::HttpMessage explanation = test_support::Get(coordinator.addr(), "/-/why?id=left-0");
  CHECK(explanation.status == 200);
  long max_memory_kb = ReadProcStatus(coordinator.pid(), "VmHWM"),
       threads = ReadProcStatus(coordinator.pid(), "Threads");
  std::printf(
      "1,024 endpoints: %ld KB at most, %ld descriptors, %ld threads, %d connections accepted for 6 x 1,024 "
      "shard requests\n",
      max_memory_kb, CountDescriptors(coordinator.pid()), threads, fleet.accepted_connections());
  if (!LIFTRUDDER_SANITIZED) CHECK(max_memory_kb <= kMemoryMb * 1024);
  CHECK(threads <= 12);
  CHECK(CountDescriptors(coordinator.pid()) <= kDescriptorLimit);
  // Most connections are reused, although there are fewer descriptors than endpoints.
  CHECK(fleet.accepted_connections() < 6 * kMaxEndpoints);
  std::string log = coordinator.Log();
  CHECK(log.find("connect to endpoint") == std::string::npos);
  CHECK(log.find(" error ") == std::string::npos);
  CHECK(coordinator.Stop() >= 0);
}
