// The search API's protocol to endpoints, on its own and with the connection pool over loopback.
#include "opensearch/endpoint_protocol.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "support/connection_pool_fixture.h"

using namespace liftrudder;
using coordinator::Cause;
using tests::ConnectionPoolFixture;

namespace {

constexpr net::Micros kTestTimeoutUs = 20'000'000;

std::string BodyWithHit(const std::string& id) { return R"({"hits":{"hits":[{"_id":")" + id + R"("}]}})"; }

std::string ResponseWithHit(const std::string& id, const std::string& headers = "") {
  std::string body = BodyWithHit(id);
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// The header line that names the last request that the fixture has read.
std::string NameOfRequest(const ConnectionPoolFixture& fixture) {
  std::string mark = "X-Opaque-Id: ";
  std::size_t at = fixture.received.find(mark);
  REQUIRE(at != std::string::npos);
  return fixture.received.substr(at, fixture.received.find("\r\n", at) + 2 - at);
}

// A pool with one endpoint of the search API.
struct SearchFixture : ConnectionPoolFixture {
  explicit SearchFixture(const net::ConnectionLimits& limits = OneRequestAtATime())
      : ConnectionPoolFixture(1, limits, std::make_unique<opensearch::SearchProtocol>()) {}

  static net::ConnectionLimits OneRequestAtATime() {
    net::ConnectionLimits limits;
    limits.streams_per_connection = 1;
    return limits;
  }
  static net::ConnectionLimits OneConnection() {
    net::ConnectionLimits limits = OneRequestAtATime();
    limits.max_connections = 1;
    return limits;
  }
};

}  // namespace

// Guards against serving a second copy of a response to the next search on its connection.
TEST_CASE("a connection with bytes behind a response takes no further search") {
  SearchFixture fixture;
  std::string behind = GENERATE(ResponseWithHit("piano"), std::string("HTTP/1.1 2"), std::string("\0", 1));
  fixture.Send(0);
  net::Fd first = fixture.AcceptAndRead(0);
  net::WriteAll(first, ResponseWithHit("piano", NameOfRequest(fixture)) + behind, kTestTimeoutUs);
  CHECK(fixture.WaitForResult(0).cause == Cause::kServed);
  CHECK(fixture.WaitForResult(0).value == BodyWithHit("piano"));
  fixture.Send(0);
  net::Fd second = fixture.AcceptAndRead(0);
  net::WriteAll(second, ResponseWithHit("violin"), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(1).value == BodyWithHit("violin"));
  CHECK(fixture.counters.malformed_responses.Value() == 1);
}

// Guards against counting an endpoint's announced close as a violation of the protocol.
TEST_CASE("a response that announces the end of its connection is valid") {
  SearchFixture fixture;
  fixture.Send(0);
  net::Fd first = fixture.AcceptAndRead(0);
  net::WriteAll(first, ResponseWithHit("piano", "Connection: close\r\n"), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(0).cause == Cause::kServed);
  fixture.Send(0);
  net::Fd second = fixture.AcceptAndRead(0);
  CHECK(fixture.counters.malformed_responses.Value() == 0);
}

// Guards against serving a second copy that arrives apart from its response to a search that is written
// before the copy has been read.
TEST_CASE("no search is written to a connection with unread bytes") {
  SearchFixture fixture(SearchFixture::OneConnection());
  fixture.Send(0);
  net::Fd first = fixture.AcceptAndRead(0);
  std::string response = ResponseWithHit("piano", NameOfRequest(fixture));
  fixture.before_result = [&first, &response, results = 0]() mutable {
    if (results++ == 0) net::WriteAll(first, response, kTestTimeoutUs);
  };
  fixture.Send(0);  // waits for the only connection, and takes it as soon as the first one has ended
  net::WriteAll(first, response, kTestTimeoutUs);
  CHECK(fixture.WaitForResult(0).value == BodyWithHit("piano"));
  net::Fd second = fixture.AcceptAndRead(0);
  net::WriteAll(second, ResponseWithHit("violin"), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(1).value == BodyWithHit("violin"));
  CHECK(fixture.counters.unrequested_responses.Value() == 1);
}

// Guards against serving a second copy that arrives after the next search has been written.
TEST_CASE("a response that names another search is not served") {
  bool names_both = GENERATE(false, true);
  SearchFixture fixture(SearchFixture::OneConnection());
  fixture.Send(0);
  net::Fd endpoint = fixture.AcceptAndRead(0);
  std::string first_name = NameOfRequest(fixture);
  net::WriteAll(endpoint, ResponseWithHit("piano", first_name), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(0).cause == Cause::kServed);
  fixture.Send(0);
  fixture.received.clear();
  REQUIRE(net::ReadSome(endpoint, fixture.received, kTestTimeoutUs) == net::IoStatus::kOk);
  std::string names = names_both ? NameOfRequest(fixture) + first_name : first_name;
  net::WriteAll(endpoint, ResponseWithHit("piano", names), kTestTimeoutUs);
  coordinator::AttemptResult second = fixture.WaitForResult(1);
  CHECK(second.value.empty());
  CHECK(coordinator::OutcomeOf(second.progress, second.cause) == coordinator::AttemptOutcome::kError);
  fixture.pool.reset();
  CHECK(fixture.counters.misnamed_responses.Value() == 1);
}

// Guards against the same copy from a server that does not repeat X-Opaque-Id.
TEST_CASE("a connection whose response does not name its search takes no further one") {
  SearchFixture fixture;
  fixture.Send(0);
  net::Fd first = fixture.AcceptAndRead(0);
  net::WriteAll(first, ResponseWithHit("piano"), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(0).cause == Cause::kServed);
  fixture.Send(0);
  net::Fd second = fixture.AcceptAndRead(0);
  net::WriteAll(second, ResponseWithHit("violin"), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(1).value == BodyWithHit("violin"));
  fixture.pool.reset();
  CHECK(fixture.counters.unnamed_responses.Value() == 2);
  CHECK(fixture.counters.malformed_responses.Value() == 0);
}

TEST_CASE("a connection whose responses name their searches is used again") {
  SearchFixture fixture;
  fixture.Send(0);
  net::Fd endpoint = fixture.AcceptAndRead(0);
  for (std::size_t nth = 0; nth < 3; ++nth) {
    net::WriteAll(endpoint, ResponseWithHit("piano", NameOfRequest(fixture)), kTestTimeoutUs);
    CHECK(fixture.WaitForResult(nth).cause == Cause::kServed);
    fixture.Send(0);
    fixture.received.clear();
    REQUIRE(net::ReadSome(endpoint, fixture.received, kTestTimeoutUs) == net::IoStatus::kOk);
  }
  CHECK(fixture.counters.connections_opened.Value() == 1);
}

// Guards against serving a response that was sent before its request had been written to the end.
TEST_CASE("a response to a search that is partly written is not served") {
  SearchFixture fixture;
  fixture.statement.assign(tests::kMoreThanSocketBuffersHold, ' ');
  fixture.Send(0);
  net::Fd endpoint = fixture.AcceptAndRead(0);
  net::WriteAll(endpoint, ResponseWithHit("piano", NameOfRequest(fixture)), kTestTimeoutUs);
  coordinator::AttemptResult result = fixture.WaitForResult(0);
  CHECK(result.value.empty());
  CHECK(coordinator::OutcomeOf(result.progress, result.cause) == coordinator::AttemptOutcome::kConnectFailed);
}
