// The program with more clients than it has room for, which stop in the middle of large requests: its memory
// stays within the limit in its configuration, and other clients are answered.
#define CATCH_CONFIG_MAIN
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <string>
#include <vector>

#include "test_support/coordinator_process.h"
#include "test_support/fake_discovery.h"
#include "test_support/temporary_directory.h"
#include "test_support/test_fleet.h"

using namespace liftrudder;

namespace {

constexpr int kMemoryMb = 32;
constexpr int kClients = 700;
constexpr net::Micros kServeUs = 5'000;

std::string Config(const test_support::FakeDiscovery& discovery) {
  return fmt::format(
      R"({{"name":"n1","seed":"8c1f30d27a5be964","listen":"127.0.0.1:0","discovery":"{}","limits":{{"cores":1,"sockets":1024,"memory_mb":{}}},
"known":{},"settings":{{"az":0,"groupSize":1,"ordinal":0,"resolutionUs":1000,"dcs":[],"kinds":["k"],
"registryMode":"automatic","loadInfo":{{"how":"inline","names":["queue","inflight"]}},
"grades":[{{"name":"report","aimUs":15000000,"giveUpUs":20000000,"lateShare":0.3,"value":5.0,"effect":"idempotent","repeatWindowUs":5000000,"dedupScope":"all"}}],
"familyInfo":{{"cells":1,"reach":1,"slices":1,"perCall":1,"classFetch":[0],"classFloor":[1.0],"wholeAt":[1.0],"incompleteWorth":[0.95]}},
"bounds":{{"attemptsCap":3,"cancelling":true,"connectTimeoutUs":250000,"idleCloseUs":30000000,"maxOpen":100,"maxRetryAfterUs":500000,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":100}},
"rules":{{"graceToAnswerUs":5000,"stopSendingWithinUs":1000000}}}}}})",
      discovery.addr(), kMemoryMb, discovery.List());
}

std::string Query(const std::string& id) {
  std::string body = R"({"tablets":[{"tablet":0,"fraction":1}],"statement":"s"})";
  return fmt::format(
      "POST /api HTTP/1.1\r\nHost: g\r\nX-Call-Id: {}\r\nX-Call-Class: report\r\nX-Budget: 19\r\n"
      "Content-Length: {}\r\n\r\n{}",
      id, body.size(), body);
}

// The largest resident memory of the process so far; -1 if it has ended.
long PeakMemoryKb(pid_t pid) {
  std::ifstream in(fmt::format("/proc/{}/status", pid));
  for (std::string line; std::getline(in, line);) {
    if (line.starts_with("VmHWM:")) return std::stol(line.substr(6));
  }
  return -1;
}

// A head of the largest size, of fields as short as they can be.
std::string HeadOfShortFields() {
  std::string head = "POST /api HTTP/1.1\r\nContent-Length: 65536\r\n";
  while (head.size() + 6 <= net::kMaxHeadBytes) head += "a:\r\n";
  return head + "\r\n";
}

}  // namespace

// Guards against a crowd of unfinished requests that take more memory than the limit on connections allows
// for.
TEST_CASE("hundreds of clients that stop in the middle of a request stay within the memory limit") {
  test_support::TestFleet fleet(1, kServeUs);
  test_support::FakeDiscovery discovery;
  discovery.UpdateEndpoints({{"holder", fleet.addr(0), 0}});
  test_support::TemporaryDirectory directory;
  test_support::CoordinatorProcess coordinator(LIFTRUDDER_PROGRAM, directory.path(), Config(discovery));
  INFO(coordinator.Log());
  REQUIRE(!coordinator.addr().empty());
  std::string begun;
  SECTION("a large body") {
    begun = "POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n" + std::string(65000, 'x');
  }
  SECTION("a head of many short fields and a large body") {
    begun = HeadOfShortFields() + std::string(65000, 'x');
  }
  SECTION("a head of many short fields without its end") {
    begun = HeadOfShortFields();
    begun.resize(begun.size() - 2);
  }
  std::vector<net::Fd> clients;
  for (int i = 0; i < kClients; ++i) {
    net::Fd client = net::Connect(coordinator.addr(), test_support::kTestTimeoutUs);
    net::WriteAll(client, begun, 0);
    clients.push_back(std::move(client));
    if (i % 100 != 99) continue;
    CHECK(test_support::Fetch(coordinator.addr(), Query(fmt::format("q{}", i))).status == 200);
  }
  long peak_kb = PeakMemoryKb(coordinator.pid());
  CHECK(peak_kb > 0);
  if (!LIFTRUDDER_SANITIZED) CHECK(peak_kb <= kMemoryMb * 1024);
  clients.clear();
  CHECK(coordinator.Stop() >= 0);
}
