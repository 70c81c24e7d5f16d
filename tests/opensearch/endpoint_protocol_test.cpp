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
  net::WriteAll(first, ResponseWithHit("piano") + behind, kTestTimeoutUs);
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
  fixture.before_result = [&first, results = 0]() mutable {
    if (results++ == 0) net::WriteAll(first, ResponseWithHit("piano"), kTestTimeoutUs);
  };
  fixture.Send(0);  // waits for the only connection, and takes it as soon as the first one has ended
  net::WriteAll(first, ResponseWithHit("piano"), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(0).value == BodyWithHit("piano"));
  net::Fd second = fixture.AcceptAndRead(0);
  net::WriteAll(second, ResponseWithHit("violin"), kTestTimeoutUs);
  CHECK(fixture.WaitForResult(1).value == BodyWithHit("violin"));
  CHECK(fixture.counters.unrequested_responses.Value() == 1);
}
