// Small tests of parts that need no program and no socket.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <filesystem>
#include <tuple>

#include "config/config.h"
#include "coordinator/endpoint_registry.h"
#include "coordinator/in_flight_table.h"
#include "dns/update.h"
#include "net/http.h"
#include "net/json.h"
#include "opensearch/merge.h"
#include "support/connection_pool_fixture.h"

using namespace liftrudder;
using coordinator::AttemptOutcome;
using coordinator::Cause;
using coordinator::Progress;
using net::HttpParser;
using tests::LinksUnderTest;
using tests::AnsweredQuery;

TEST_CASE("whether an attempt may have run follows from how far it had come") {
  CHECK(coordinator::OutcomeOf(Progress::kNotConnected, Cause::kConnectionLost) ==
        AttemptOutcome::kConnectFailed);
  CHECK(coordinator::OutcomeOf(Progress::kPartlyWritten, Cause::kConnectionLost) ==
        AttemptOutcome::kConnectFailed);
  CHECK(coordinator::OutcomeOf(Progress::kWhollyWritten, Cause::kConnectionLost) == AttemptOutcome::kReset);
  CHECK(coordinator::OutcomeOf(Progress::kWhollyWritten, Cause::kInvalidResponse) == AttemptOutcome::kError);
  CHECK(coordinator::OutcomeOf(Progress::kNotConnected, Cause::kCancelled) == AttemptOutcome::kNotSent);
  CHECK(coordinator::OutcomeOf(Progress::kPartlyWritten, Cause::kCancelled) == AttemptOutcome::kCancelled);
  CHECK(coordinator::OutcomeOf(Progress::kNotConnected, Cause::kExpired) == AttemptOutcome::kNotSent);
  CHECK(coordinator::OutcomeOf(Progress::kWhollyWritten, Cause::kExpired) == AttemptOutcome::kTimeout);
}

TEST_CASE("an attempt ends once") {
  coordinator::InFlightTable permission_table;
  coordinator::QueryRequest request;
  request.shard_requests = {{0, 1, 0, 0}};
  permission_table.Open(5, request, nullptr);
  CHECK(permission_table.Begin(6, *permission_table.ShardRequest(6), {{1, 1}, 10, 100, true}) == 0);
  CHECK(permission_table.NextExpiry() == 100);
  auto ended = permission_table.End({{6, 0}, Progress::kAnswering, Cause::kServed, {}, "v"}, 30);
  REQUIRE(ended);
  CHECK(ended->spent_us == 20);
  CHECK(ended->part_done);
  CHECK_FALSE(permission_table.End({{6, 0}, Progress::kWhollyWritten, Cause::kExpired, {}, ""}, 40));
  CHECK(permission_table.Expired(1000).empty());
  CHECK(permission_table.Close(5).at(0).value == "v");
  CHECK(permission_table.ShardRequest(6) == nullptr);
}

TEST_CASE("the holder list takes versions in order and remembers when a drain was told") {
  coordinator::EndpointRegistry endpoint_registry;
  coordinator::EndpointEntry a{"a", "127.0.0.1:1", {}}, b{"b", "127.0.0.1:2", {}};
  auto known = endpoint_registry.Apply({4, liftrudder::routing::EndpointListKind::kCached, {a, b}}, 10);
  REQUIRE(known);
  auto id = known->endpoints[0].id;
  a.told.availability = liftrudder::routing::Availability::kDraining;
  CHECK_FALSE(endpoint_registry.Apply({4, liftrudder::routing::EndpointListKind::kDelta, {a}}, 20));
  REQUIRE(endpoint_registry.Apply({5, liftrudder::routing::EndpointListKind::kDelta, {a}}, 30));
  // At once: how long before it was told is not known.
  auto stop = endpoint_registry.Find(id).drain_deadline_us;
  CHECK(stop == 30);
  a.told.availability = liftrudder::routing::Availability::kGone;
  REQUIRE(endpoint_registry.Apply({6, liftrudder::routing::EndpointListKind::kDelta, {a}}, 500'000));
  CHECK(endpoint_registry.Find(id).drain_deadline_us == stop);  // the first telling counts
  a.addr = "127.0.0.1:9";
  a.told.availability = liftrudder::routing::Availability::kReady;
  CHECK(endpoint_registry.Apply({7, liftrudder::routing::EndpointListKind::kFull, {a}}, 600'000)
            ->endpoints[0]
            .id == id);
  CHECK(endpoint_registry.Find(id).addr == "127.0.0.1:9");
  CHECK(endpoint_registry.Find(known->endpoints[1].id).drain_deadline_us >
        0);  // left out of a whole list: gone
}

TEST_CASE("only a list that came since the start ends the wait for one") {
  coordinator::EndpointRegistry endpoint_registry;
  coordinator::EndpointEntry a{"a", "127.0.0.1:1", {}};
  endpoint_registry.Apply({4, liftrudder::routing::EndpointListKind::kCached, {a}}, 10);
  CHECK_FALSE(endpoint_registry.WaitHeard(0));
  endpoint_registry.Apply({5, liftrudder::routing::EndpointListKind::kDelta, {a}}, 20);
  CHECK(endpoint_registry.WaitHeard(20'000'000));
  coordinator::EndpointRegistry up_to_date;
  up_to_date.NothingNewer();
  CHECK(up_to_date.WaitHeard(20'000'000));
}

TEST_CASE("a holder that is gone for long is forgotten, and is another one when it comes back") {
  coordinator::EndpointRegistry endpoint_registry;
  coordinator::EndpointEntry a{"a", "127.0.0.1:1", {}}, gone = a;
  gone.told.availability = liftrudder::routing::Availability::kGone;
  auto id =
      endpoint_registry.Apply({1, liftrudder::routing::EndpointListKind::kFull, {a}}, 10)->endpoints[0].id;
  endpoint_registry.Apply({2, liftrudder::routing::EndpointListKind::kDelta, {gone}}, 20);
  CHECK(endpoint_registry.Find(id).id == "a");
  endpoint_registry.Apply({3, liftrudder::routing::EndpointListKind::kDelta, {}}, 60'000'000);
  CHECK(endpoint_registry.Find(id).id.empty());
  CHECK_FALSE(endpoint_registry.Apply({2, liftrudder::routing::EndpointListKind::kDelta, {a}}, 60'000'001));
  CHECK(endpoint_registry.Apply({4, liftrudder::routing::EndpointListKind::kDelta, {a}}, 60'000'002)
            ->endpoints[0]
            .id != id);
}

// A hundred gatherers with a thread for each holder and one for each connection ran into the system's limit
// on threads, and no attempt started after that ended.
TEST_CASE("links to many holders take one thread in all, and each attempt ends once") {
  constexpr int kMaxEndpoints = 60;
  auto threads = [] { return std::distance(std::filesystem::directory_iterator("/proc/self/task"), {}); };
  net::Thread([] {}).Join();  // a sanitizer starts one of its own beside the first
  auto before = threads();
  LinksUnderTest all(kMaxEndpoints, {});
  for (int i = 0; i < kMaxEndpoints; ++i) all.Send(i);
  std::vector<net::Fd> connections;
  for (int i = 0; i < kMaxEndpoints; ++i) connections.push_back(all.Take(i));
  CHECK(threads() - before <= 1);
  connections.pop_back();  // the last holder's connection ends after its frame came
  coordinator::AttemptResult first = all.Ended(0);
  CHECK(coordinator::OutcomeOf(first.progress, first.cause) == AttemptOutcome::kReset);
  all.links.reset();
  CHECK(all.Results() == kMaxEndpoints);
}

TEST_CASE("what finds all connections busy waits for one, and is not told as its holder's failure") {
  constexpr int kMaxEndpoints = 6, kMost = 4;
  net::ConnectionLimits limits;
  limits.max_connections = kMost;
  LinksUnderTest all(kMaxEndpoints, limits);
  for (int i = 0; i < kMaxEndpoints; ++i) all.Send(i);
  std::vector<net::Fd> connections;
  for (int i = 0; i < kMost; ++i) connections.push_back(all.Take(i));
  CHECK(all.Results() == 0);
  // One answer is in: its connection makes room for the next in turn.
  net::WriteAll(connections[2], AnsweredQuery(3), 1'000'000);
  CHECK(all.Ended(0).cause == Cause::kServed);
  connections.push_back(all.Take(kMost));
  net::WriteAll(connections[0], AnsweredQuery(1), 1'000'000);
  CHECK(all.Ended(1).cause == Cause::kServed);
  connections.push_back(all.Take(kMost + 1));
  CHECK(all.Results() == 2);
}

TEST_CASE("second connections to some holders leave room for a first one to each") {
  constexpr int kMaxEndpoints = 8, kMost = 10;
  net::ConnectionLimits limits;
  limits.max_connections = kMost;
  LinksUnderTest all(kMaxEndpoints, limits);
  std::vector<net::Fd> connections;
  for (int i = 0; i < kMaxEndpoints; ++i) all.Send(i);
  for (int i = 0; i < kMaxEndpoints; ++i) connections.push_back(all.Take(i));
  net::WriteAll(connections[7], AnsweredQuery(8), 1'000'000);
  all.Ended(0);
  // A second part for each of the others shares its connection.
  for (int i = 0; i < kMaxEndpoints - 1; ++i) all.Send(i);
  all.Send(kMaxEndpoints - 1);
  std::string got;
  REQUIRE(net::ReadSome(connections[7], got, 10'000'000) == net::Io::kOk);
  CHECK(all.counters.connects.Value() == kMaxEndpoints);
  CHECK(all.Results() == 1);
}

TEST_CASE("the limits hold a connection for each of two hundred holders, and clients keep theirs") {
  // Of few holders a quarter is kept; clients' threads are bounded by the memory, connections to holders not.
  CHECK(config::ShareOut(1024, 192, 16).endpoint_connections == 244);
  CHECK(config::ShareOut(1024, 192, 16).client_connections == 732);
  CHECK(config::ShareOut(256, 32, 16).endpoint_connections == 52);
  for (auto [sockets, memory_mb, endpoints] : {std::tuple(608, 47, 172), {544, 62, 163}, {640, 62, 200}}) {
    config::Budget budget = config::ShareOut(sockets, memory_mb, endpoints);
    INFO(sockets << " descriptors, " << memory_mb << " MB, " << endpoints << " holders");
    CHECK(budget.endpoint_connections >= endpoints * 5 / 4);
    CHECK(budget.client_connections >= sockets / 4);
    CHECK(budget.client_requests >= sockets / 4);
    CHECK(budget.endpoint_connections + budget.client_connections <= sockets - 48);
  }
  // Too few for all: holders get what clients can spare, not what a quarter would be.
  config::Budget few = config::ShareOut(256, 32, 200);
  CHECK(few.endpoint_connections == 130);
  CHECK(few.client_connections == 78);
}

TEST_CASE("a load report that cannot be read says nothing") {
  platform::FrameProtocol protocol({"q", "rif"});
  auto load = [&protocol](const std::string& report) {
    std::string rest = "ax.1 served 7 " + report + "\nv", in{static_cast<char>(rest.size()), 0, 0, 0};
    in += rest;
    std::vector<net::EndpointResponse> out;
    CHECK(protocol.Reader()->Take(in, "", out));
    return out.at(0).load;
  };
  CHECK(load("queue=3,inflight=2,other=1") == std::vector<double>{3, 2});
  for (const char* bad : {"-", "", "queue=3", "queue=x,inflight=2", "queue=3,inflight=",
                          "queue=-1,inflight=2", "queue=3,inflight=2,", "queue=nan,inflight=2", "\x01\xff"}) {
    INFO(bad);
    CHECK(load(bad).empty());
  }
}

TEST_CASE("HTTP is read whole however it is cut, and strictly") {
  std::string text =
      "POST /x?a=1&b HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;e\r\nde\r\n0\r\n\r\n";
  HttpParser parser(HttpParser::Kind::kRequest);
  std::string in;
  for (char c : text) parser.Feed(in += c);
  CHECK(parser.Feed(in) == HttpParser::State::kDone);
  CHECK(parser.message().body == "abcde");
  CHECK(parser.message().Parameter("a") == "1");
  for (std::string bad : {"GET  / HTTP/1.1\r\n\r\n", "GET / HTTP/2\r\n\r\n",
                          "GET / HTTP/1.1\r\nA : b\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
                          "GET / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                          "GET / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n"}) {
    INFO(bad);
    CHECK(HttpParser(HttpParser::Kind::kRequest).Feed(bad) == HttpParser::State::kBad);
  }
  std::string endless(net::kMaxHeadBytes + 1, 'a');
  CHECK(HttpParser(HttpParser::Kind::kRequest).Feed(endless) == HttpParser::State::kBad);
}

TEST_CASE("JSON is scanned strictly and to a bounded depth") {
  CHECK(net::json::Get(R"( {"a" : [1, {"b":"}"}], "c":-1.5e3} )", "a") == R"([1, {"b":"}"}])");
  CHECK(net::json::Number(net::json::Get(R"({"c":-1.5e3})", "c")) == -1500);
  CHECK(net::json::String(R"("\u00e9\ud83d\ude00\n")") == "\xc3\xa9\xf0\x9f\x98\x80\n");
  for (const char* bad :
       {"{\"a\":1,}", "[1 2]", "01", "\"\\x\"", "{\"a\" 1}", "tru", "\"a", "[", "1.", "{} x"}) {
    INFO(bad);
    CHECK_FALSE(net::json::Valid(bad));
  }
  CHECK_FALSE(net::json::Valid(std::string(100'000, '[')));
}

TEST_CASE("only a sound answer counts as served") {
  CHECK(opensearch::IsCompleteResponse(R"({"timed_out":false,"_shards":{"failed":0},"hits":{"hits":[]}})", false));
  CHECK(opensearch::IsCompleteResponse(R"({"count":0})", true));
  for (const char* bad :
       {"", "{}", "[]", R"({"hits":{}})", R"({"hits":[]})", R"({"error":{},"hits":{"hits":[]}})",
        R"({"timed_out":true,"hits":{"hits":[]}})", R"({"_shards":{"failed":1},"hits":{"hits":[]}})",
        R"({"count":3})", R"({"hits":{"hits":[]})"}) {
    INFO(bad);
    CHECK_FALSE(opensearch::IsCompleteResponse(bad, false));
  }
}

TEST_CASE("hits merge by key, missing values where asked, ties by shard") {
  opensearch::Search search;
  search.sort = {{"", true, false}};
  auto shard_response = [](int shard, std::string hits) {
    return coordinator::ShardResponse{shard, R"({"hits":{"total":2,"hits":[)" + hits + "]}}"};
  };
  coordinator::FinalAnswer answer;
  answer.shard_responses = {shard_response(1, R"({"n":"b","sort":[9007199254740993]},{"n":"d","sort":[null]})"),
                   shard_response(0, R"({"n":"a","sort":[9007199254740993]},{"n":"c","sort":[9007199254740992]})")};
  std::vector<coordinator::ShardRequest> asked(2);
  auto merged = opensearch::MergeHits(search, answer, {0, false, &asked});
  REQUIRE(merged);
  std::string order;
  for (std::size_t at = 0; (at = merged->body.find("{\"n\":\"", at)) != std::string::npos; ++at)
    order += merged->body[at + 6];
  CHECK(order == "abcd");
  CHECK(merged->body.find(R"("total":{"value":4,"relation":"eq"})") != std::string::npos);
  answer.shard_responses[0] = shard_response(1, R"({"n":"b"})");
  CHECK_FALSE(opensearch::MergeHits(search, answer, {0, false, &asked}));
}

TEST_CASE("a zone names holders, and an update is taken whole or not at all") {
  dns::Zone zone = dns::ParseZone(
      "$ORIGIN Z.\n@ 60 IN SOA ns root 1 2 3 4 5\n_s SRV 0 1 9200 a ; first\n_s SRV 0 1 9201 b\n"
      "a A 127.0.0.1\n  TXT \"cell=3\" \"started_ms=7\"\nb A 127.0.0.2\n");
  auto endpoints = dns::Holders(zone, "_s.z.");
  REQUIRE(endpoints.size() == 1);  // b has no cell
  CHECK(endpoints["a.z."].addr == "127.0.0.1:9200");
  CHECK(endpoints["a.z."].told.cell == 3);
  CHECK(endpoints["a.z."].told.started_us == 7000);
  CHECK_THROWS(dns::ParseZone("a A 127.0.0.1\n"));
  CHECK_THROWS(dns::ParseZone("$ORIGIN z.\n@ SOA ns root ( 1 2 3 4 5\n"));
  std::string head("\0\1\x28\0\0\1\0\0\0\2\0\0\1z\0\0\6\0\1", 19);
  std::string gone("\1a\xc0\x0c\0\xff\0\xff\0\0\0\0\0\0", 14);  // all of a.z., its zone's name compressed
  std::string outside("\1q\0\0\xff\0\xff\0\0\0\0\0\0", 13);
  auto rcode = [&zone](const std::string& message) { return dns::ApplyUpdate(message, zone).at(3); };
  CHECK(rcode(head + gone + outside) == 10);
  CHECK(dns::Holders(zone, "_s.z.").size() == 1);
  CHECK(rcode(head + gone) == 1);
  CHECK(rcode(head + std::string("\xc0\x13\0", 3)) == 1);  // a name that points at itself
  CHECK(rcode(head + gone + gone) == 0);
  CHECK(dns::Holders(zone, "_s.z.").empty());
}
