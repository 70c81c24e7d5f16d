// The running program: the admin address, figures compared with what fake endpoints and clients observed, a
// drain and its end, and a process replaced under load with every request answered.
#define CATCH_CONFIG_MAIN
#include <fmt/format.h>
#include <signal.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <fstream>
#include <map>
#include <sstream>
#include <thread>

#include "test_support/coordinator_process.h"
#include "test_support/fake_discovery.h"
#include "test_support/temporary_directory.h"
#include "test_support/test_fleet.h"

using namespace liftrudder;

namespace {

constexpr int kMaxEndpoints = 3;

std::string Config(const test_support::FakeDiscovery& discovery, const std::string& admin_address) {
  return fmt::format(
      R"({{"name":"n1","seed":"8c1f30d27a5be964","listen":"127.0.0.1:0","mgmt":"{}","discovery":"{}","limits":{{"cores":1,"sockets":256,"memory_mb":64}},
"known":{},"settings":{{"az":0,"groupSize":1,"ordinal":0,"resolutionUs":1000,"dcs":[],"kinds":["k"],
"registryMode":"automatic","loadInfo":{{"how":"inline","names":["queue","inflight"]}},
"grades":[{{"name":"search","aimUs":5000000,"giveUpUs":9000000,"lateShare":0.3,"value":5.0,"effect":"idempotent","repeatWindowUs":5000000,"dedupScope":"all"}},
{{"name":"report","aimUs":5000000,"giveUpUs":9000000,"lateShare":0.3,"value":5.0,"effect":"idempotent","repeatWindowUs":5000000,"dedupScope":"all"}}],
"familyInfo":{{"cells":{},"reach":1,"slices":{},"perCall":1,"classFetch":[0,0],"classFloor":[1.0,1.0],"wholeAt":[1.0,1.0],"incompleteWorth":[0.95,0.95]}},
"bounds":{{"attemptsCap":3,"cancelling":true,"connectTimeoutUs":250000,"idleCloseUs":30000000,"maxOpen":500,"maxRetryAfterUs":500000,"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":100}},
"rules":{{"graceToAnswerUs":5000,"stopSendingWithinUs":1000000}}}}}})",
      admin_address, discovery.addr(), discovery.List(), kMaxEndpoints, kMaxEndpoints);
}

struct Environment {
  Environment() : fleet(kMaxEndpoints, 2'000) {
    std::vector<test_support::FakeDiscovery::Entry> all;
    all.reserve(kMaxEndpoints);
    for (int i = 0; i < kMaxEndpoints; ++i) all.push_back({fmt::format("h{}", i), fleet.addr(i), i});
    discovery.UpdateEndpoints(all);
  }
  int ShardRequestsReceived() const {
    int sum = 0;
    for (int i = 0; i < kMaxEndpoints; ++i) sum += fleet.shard_requests(i);
    return sum;
  }
  test_support::TestFleet fleet;
  test_support::FakeDiscovery discovery;
  test_support::TemporaryDirectory directory;
};

// Requests at the admin address.
struct AdminClient {
  explicit AdminClient(const test_support::CoordinatorProcess& coordinator)
      : addr(coordinator.LoggedTextAfter("are answered at ")) {}
  net::HttpMessage Call(const std::string& method, const std::string& path) const {
    return test_support::Fetch(addr, fmt::format("{} {} HTTP/1.1\r\nHost: g\r\n\r\n", method, path));
  }
  std::map<std::string, long> Stats() const {
    std::map<std::string, long> out;
    std::istringstream lines(Call("GET", "/stats").body);
    std::string name;
    for (long value = 0; lines >> name >> value;) out[name] = value;
    return out;
  }
  std::string addr;
};

// A client that reuses its connection until the server closes it.
struct Client {
  // Returns the status; 0: the connection ended without an answer.
  int Query(const std::string& addr, const std::string& id, const std::string& class_name, int shards) {
    if (!fd.Valid()) fd = net::Connect(addr, test_support::kTestTimeoutUs);
    std::string shard_requests;
    for (int i = 0; i < shards; ++i) {
      shard_requests +=
          fmt::format("{}{{\"tablet\":{},\"fraction\":{:.6f}}}", i > 0 ? "," : "", i, 1.0 / shards);
    }
    std::string body = fmt::format("{{\"tablets\":[{}],\"statement\":\"s\"}}", shard_requests);
    std::string pending;
    net::WriteAll(
        fd,
        fmt::format("POST /api HTTP/1.1\r\nHost: g\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\nX-Budget: 8\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    id, class_name, body.size(), body),
        test_support::kTestTimeoutUs);
    net::HttpParser parser(net::HttpParser::Kind::kResponse);
    auto state = net::HttpParser::State::kHead;
    while (state != net::HttpParser::State::kDone &&
           net::ReadSome(fd, pending, test_support::kTestTimeoutUs) == net::IoStatus::kOk) {
      state = parser.Feed(pending);
    }
    if (state != net::HttpParser::State::kDone || parser.message().close) fd = net::Fd();
    return state == net::HttpParser::State::kDone ? parser.message().status : 0;
  }
  net::Fd fd;
};

template <typename Condition>
void WaitUntil(Condition&& holds, const char* what) {
  net::SteadyClock clock;
  for (net::Micros until = clock.Now() + test_support::kTestTimeoutUs; clock.Now() < until;) {
    if (holds()) return;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  FAIL("timed out waiting for: " << what);
}

bool IsClosed(const net::Fd& fd) {
  std::string in;
  return net::ReadSome(fd, in, 0) == net::IoStatus::kEnd;
}

}  // namespace

TEST_CASE("the admin address answers valid requests, and rejects others with the status for their error") {
  Environment environment;
  test_support::CoordinatorProcess coordinator(LIFTRUDDER_PROGRAM, environment.directory.path(),
                                               Config(environment.discovery, "127.0.0.1:0"));
  INFO(coordinator.Log());
  REQUIRE(!coordinator.addr().empty());
  AdminClient admin(coordinator);
  WaitUntil([&] { return admin.Call("GET", "/healthcheck").status == 200; }, "ready");
  CHECK(admin.Call("GET", "/stats").status == 200);
  CHECK(admin.Call("GET", "/nothing").status == 404);
  CHECK(admin.Call("GET", "/").status == 404);
  for (auto [method, path] : {std::pair("PUT", "/healthcheck"),
                              {"POST", "/stats"},
                              {"GET", "/healthcheck/fail"},
                              {"DELETE", "/healthcheck/ok"}}) {
    net::HttpMessage answer = admin.Call(method, path);
    CHECK(answer.status == 405);
    CHECK(answer.Header("Allow") != nullptr);
  }
  CHECK(test_support::Fetch(admin.addr, "GET /stats\r\n\r\n").status == 400);
  CHECK(test_support::Fetch(admin.addr, "GET /stats HTTP/1.1\r\nA: " + std::string(20'000, 'a') + "\r\n\r\n")
            .status == 400);
  CHECK(test_support::Fetch(admin.addr, "PUT /healthcheck/ok HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n")
            .status == 400);
  // Idle connections and incomplete requests, far more than the server keeps, do not block other clients.
  std::vector<net::Fd> idle_connections;
  for (int i = 0; i < 100; ++i) {
    idle_connections.push_back(net::Connect(admin.addr, test_support::kTestTimeoutUs));
    if (i % 2 == 0) net::WriteAll(idle_connections.back(), "GET /stats HT", test_support::kTestTimeoutUs);
  }
  CHECK(admin.Call("GET", "/healthcheck").status == 200);
  CHECK(coordinator.Stop() >= 0);
}

TEST_CASE("an unusable admin address or passed socket is an error that names it") {
  Environment environment;
  net::Fd taken = net::Listen("127.0.0.1:0");
  std::string addr = net::LocalAddress(taken), path = environment.directory.path() + "/config.json";
  std::ofstream(path) << Config(environment.discovery, addr);
  ::setenv("BALANCER_CONFIG", path.c_str(), 1);
  auto [code, output] = test_support::RunProgram(LIFTRUDDER_PROGRAM, {});
  CHECK(code == 1);
  CHECK(output.find("cannot listen on " + addr) != std::string::npos);
  std::ofstream(path) << Config(environment.discovery, "");
  for (auto [number, reason] : {std::pair("77", "descriptor 77: Bad file descriptor"),
                                {"0", "passed socket: descriptor 0"},
                                {"3x", "'3x' is not a descriptor number"}}) {
    ::setenv("BALANCER_PASSED_SOCKET", number, 1);
    std::tie(code, output) = test_support::RunProgram(LIFTRUDDER_PROGRAM, {});
    INFO(output);
    CHECK(code == 1);
    CHECK(output.find(reason) != std::string::npos);
  }
  ::unsetenv("BALANCER_PASSED_SOCKET");
  ::unsetenv("BALANCER_CONFIG");
}

TEST_CASE("the figures equal what clients and endpoints observed") {
  Environment environment;
  test_support::CoordinatorProcess coordinator(LIFTRUDDER_PROGRAM, environment.directory.path(),
                                               Config(environment.discovery, "127.0.0.1:0"));
  REQUIRE(!coordinator.addr().empty());
  AdminClient admin(coordinator);
  std::map<std::string, std::map<int, long>> status_counts;
  Client client;
  for (int i = 0; i < 60; ++i) {
    std::string class_name = i % 3 == 0 ? "report" : "search";
    ++status_counts[class_name][client.Query(coordinator.addr(), fmt::format("q{}", i), class_name,
                                             1 + i % kMaxEndpoints)];
  }
  CHECK(client.Query(coordinator.addr(), "bad", "nosuch", 1) == 400);
  auto stats = admin.Stats();
  CHECK(stats["app_answered_total{group=\"search\"}"] == status_counts["search"][200]);
  CHECK(stats["app_answered_total{group=\"report\"}"] == status_counts["report"][200]);
  CHECK(status_counts["search"][200] + status_counts["report"][200] == 60);
  CHECK(stats["app_sends_total{group=\"search\"}"] + stats["app_sends_total{group=\"report\"}"] ==
        environment.ShardRequestsReceived());
  CHECK(stats["app_errored_total{group=\"search\"}"] == 0);
  CHECK(stats["app_current"] == 0);
  CHECK(stats["app_cluster_size"] == kMaxEndpoints);
  CHECK(stats["app_cluster_unhealthy"] == 0);
  // One endpoint drains (listed but avoided), then is removed; a query for its shard is rejected or fails.
  environment.discovery.UpdateEndpoint("h2", environment.fleet.addr(2), 2, "draining");
  WaitUntil([&] { return admin.Stats()["app_cluster_unhealthy"] == 1; }, "one avoided");
  CHECK(admin.Stats()["app_cluster_size"] == kMaxEndpoints);
  environment.discovery.UpdateEndpoint("h2", environment.fleet.addr(2), 2, "gone");
  // The size of the list changes at once, the number of avoided endpoints in the next decision round.
  WaitUntil([&] { return admin.Stats()["app_cluster_size"] == kMaxEndpoints - 1; }, "one less");
  WaitUntil([&] { return admin.Stats()["app_cluster_unhealthy"] == 0; }, "none avoided");
  int status = client.Query(coordinator.addr(), "none", "report", kMaxEndpoints);
  CHECK(status != 200);
  stats = admin.Stats();
  CHECK(stats["app_deferred_total{group=\"report\"}"] + stats["app_errored_total{group=\"report\"}"] == 1);
  CHECK(coordinator.Stop() >= 0);
}

TEST_CASE("a drain closes connections after a response or while idle, until the drain ends") {
  Environment environment;
  test_support::CoordinatorProcess coordinator(LIFTRUDDER_PROGRAM, environment.directory.path(),
                                               Config(environment.discovery, "127.0.0.1:0"));
  REQUIRE(!coordinator.addr().empty());
  AdminClient admin(coordinator);
  Client busy, idle;
  CHECK(busy.Query(coordinator.addr(), "b0", "search", 1) == 200);
  CHECK(idle.Query(coordinator.addr(), "i0", "search", 1) == 200);
  CHECK(admin.Call("PUT", "/healthcheck/fail").status == 200);
  CHECK(admin.Call("PUT", "/healthcheck/fail").status == 200);  // repeating it is allowed
  CHECK(admin.Call("GET", "/healthcheck").status == 503);
  CHECK(test_support::Get(coordinator.addr(), "/-/ready").status == 503);
  coordinator.Signal(SIGHUP);
  int asked = 0;
  // On a busy connection every request is answered, until the connection is closed after a response.
  WaitUntil(
      [&] {
        return busy.Query(coordinator.addr(), fmt::format("b{}", ++asked), "search", 1) == 200 &&
               !busy.fd.Valid();
      },
      "the end of the busy connection");
  WaitUntil([&] { return IsClosed(idle.fd); }, "the end of the idle connection");
  // A client that connects during the drain is served, on a connection for that one request.
  Client late;
  CHECK(late.Query(coordinator.addr(), "l0", "search", 1) == 200);
  CHECK(!late.fd.Valid());
  CHECK(admin.Call("GET", "/healthcheck").status == 503);
  CHECK(admin.Call("PUT", "/healthcheck/ok").status == 200);
  CHECK(admin.Call("GET", "/healthcheck").status == 200);
  CHECK(test_support::Get(coordinator.addr(), "/-/ready").status == 200);
  CHECK(late.Query(coordinator.addr(), "l1", "search", 1) == 200);
  CHECK(late.fd.Valid());
  late.fd = net::Fd();
  CHECK(admin.Call("PUT", "/healthcheck/fail").status == 200);
  CHECK(coordinator.Stop() >= 0);  // SIGTERM during a drain
}

TEST_CASE("a process is replaced under load without losing a request") {
  Environment environment;
  net::Fd listener = net::Listen("127.0.0.1:0");
  std::string addr = net::LocalAddress(listener);
  test_support::TemporaryDirectory second;
  std::string config = Config(environment.discovery, "127.0.0.1:0");
  auto old = std::make_unique<test_support::CoordinatorProcess>(
      LIFTRUDDER_PROGRAM, environment.directory.path(), config, std::vector<std::string>{}, listener.Get());
  REQUIRE(old->addr() == addr);
  WaitUntil([&] { return AdminClient(*old).Call("GET", "/healthcheck").status == 200; }, "ready");
  std::atomic<bool> over{false};
  std::atomic<int> answered{0}, rejected{0}, lost{0};
  std::vector<std::thread> clients;
  clients.reserve(6);
  for (int c = 0; c < 6; ++c) {
    clients.emplace_back([&, c] {
      Client client;
      for (int i = 0; !over; ++i) {
        int status = client.Query(addr, fmt::format("c{}-{}", c, i), "search", 1 + i % kMaxEndpoints);
        // 429 is a rejection by shedding, an answer in time. A 503 from the intake counts as lost, as does a
        // connection that ends without an answer.
        if (status == 200) {
          ++answered;
        } else if (status == 429) {
          ++rejected;
        } else {
          ++lost;
        }
      }
    });
  }
  WaitUntil([&] { return answered > 100; }, "load");
  test_support::CoordinatorProcess replacement(LIFTRUDDER_PROGRAM, second.path(), config, {}, listener.Get());
  AdminClient admin(replacement);
  WaitUntil([&] { return admin.Call("GET", "/healthcheck").status == 200; }, "readiness of the new process");
  CHECK(old->Stop() >= 0);  // answers its requests, then exits
  int before = answered;
  WaitUntil([&] { return answered > before + 200; }, "load on the new process alone");
  over = true;
  for (std::thread& client : clients) client.join();
  CHECK(lost == 0);
  CHECK(rejected < answered / 20);
  auto stats = admin.Stats();
  CHECK(stats["app_answered_total{group=\"search\"}"] >= 200);
  CHECK(replacement.Stop() >= 0);
}
