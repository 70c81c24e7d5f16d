// ZoneSource: updates from several connections, and how long it remembers names. The test acts as all
// clients.
#include "dns/zone_source.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "routing/settings.h"

using namespace liftrudder;

namespace {

constexpr net::Micros kTestTimeoutUs = 20'000'000;

class SettableClock : public coordinator::Clock {
 public:
  coordinator::Micros Now() const override { return now_us; }
  std::atomic<coordinator::Micros> now_us{1'000'000};
};

routing::Settings OneClass() {
  routing::Settings settings;
  settings.classes.emplace_back();
  return settings;
}

struct ZoneSourceFixture {
  ZoneSourceFixture() {
    net::Fd listener = net::Listen("127.0.0.1:0");
    addr = net::LocalAddress(listener);
    source.emplace(dns::ParseZone("$ORIGIN z.\n@ 60 IN SOA ns root 1 2 3 4 5\n_s SRV 0 1 9200 a\n"
                                  "a A 127.0.0.1\n  TXT \"cell=0\"\n"),
                   "_s.z.", std::move(listener), registry, coordinator, clock);
  }
  net::SteadyClock steady_clock;
  SettableClock clock;
  metrics::Counters counters;
  coordinator::EndpointRegistry registry;
  coordinator::Coordinator coordinator{OneClass(), 1, steady_clock, registry, counters};
  std::string addr;
  std::optional<dns::ZoneSource> source;
};

std::string Framed(const std::string& message) {
  return std::string{static_cast<char>(message.size() >> 8), static_cast<char>(message.size() & 0xff)} +
         message;
}

// An update of the zone with one record.
std::string Update(const std::string& record) {
  return Framed(std::string("\0\1\x28\0\0\1\0\0\0\1\0\0\1z\0\0\6\0\1", 19) + record);
}

// Deletes the SRV records of _s.z.; names end in a pointer to the zone's name.
std::string RemoveService() { return Update(std::string("\2_s\xc0\x0c\0\x21\0\xff\0\0\0\0\0\0", 15)); }

// Has no effect: the records to be deleted do not exist.
std::string RemoveUnknown() { return Update(std::string("\2no\xc0\x0c\0\x21\0\xff\0\0\0\0\0\0", 15)); }

bool IsAnswered(const net::Fd& client) {
  std::string response;
  return net::ReadSome(client, response, kTestTimeoutUs) == net::IoStatus::kOk;
}

}  // namespace

// Guards against a client that says nothing, or not enough, and holds back the updates of all others.
TEST_CASE("a silent connection does not hold back the updates of another") {
  ZoneSourceFixture fixture;
  net::Fd silent = net::Connect(fixture.addr, kTestTimeoutUs);
  net::Fd client = net::Connect(fixture.addr, kTestTimeoutUs);
  SECTION("without a byte") {}
  SECTION("within a message") { net::WriteAll(silent, RemoveService().substr(0, 9), kTestTimeoutUs); }
  net::WriteAll(client, RemoveUnknown(), kTestTimeoutUs);
  CHECK(IsAnswered(client));
}

// Guards against a client that sends updates without pause and holds back those of all others.
TEST_CASE("a connection with messages without pause does not hold back the updates of another") {
  ZoneSourceFixture fixture;
  net::Fd busy = net::Connect(fixture.addr, kTestTimeoutUs);
  std::atomic<bool> stop{false};
  std::thread flood([&] {
    std::string responses;
    while (!stop && net::WriteAll(busy, RemoveUnknown(), kTestTimeoutUs).status == net::IoStatus::kOk) {
      responses.clear();
      if (net::ReadSome(busy, responses, kTestTimeoutUs) != net::IoStatus::kOk) break;
    }
  });
  net::Fd client = net::Connect(fixture.addr, kTestTimeoutUs);
  net::WriteAll(client, RemoveUnknown(), kTestTimeoutUs);
  CHECK(IsAnswered(client));
  stop = true;
  flood.join();
}

TEST_CASE("more connections than are allowed close the one that has been silent longest") {
  ZoneSourceFixture fixture;
  std::vector<net::Fd> clients;
  for (std::size_t i = 0; i <= dns::ZoneSource::kMaxConnections; ++i) {
    clients.push_back(net::Connect(fixture.addr, kTestTimeoutUs));
    fixture.clock.now_us += 1;
    if (i == 0) continue;  // stays silent
    net::WriteAll(clients[i], RemoveUnknown(), kTestTimeoutUs);
    REQUIRE(IsAnswered(clients[i]));
  }
  std::string none;
  CHECK(net::ReadSome(clients[0], none, kTestTimeoutUs) == net::IoStatus::kEnd);
}

// Guards against memory that grows with every name that an update has ever added.
TEST_CASE("an endpoint whose records are gone is removed some time after it began to drain") {
  ZoneSourceFixture fixture;
  net::Fd client = net::Connect(fixture.addr, kTestTimeoutUs);
  net::WriteAll(client, RemoveService(), kTestTimeoutUs);
  REQUIRE(IsAnswered(client));
  CHECK(fixture.registry.ListedEndpoints() == 1);  // it drains
  fixture.clock.now_us += 31'000'000;
  net::Fd other = net::Connect(fixture.addr, kTestTimeoutUs);
  net::WriteAll(other, RemoveUnknown(), kTestTimeoutUs);
  REQUIRE(IsAnswered(other));
  CHECK(fixture.registry.ListedEndpoints() == 0);
}
