// The search API's protocol to endpoints, on its own and with the connection pool over loopback.
#include "opensearch/endpoint_protocol.h"

#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>
#include <utility>
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

// A connection to an endpoint that sends responses, second copies and noise in pieces, as a seed determines.
class RandomConnection {
 public:
  explicit RandomConnection(unsigned seed)
      : random_(seed), reader_(opensearch::SearchProtocol().NewReader()) {}

  // Sends a search of that name; returns what the reader made of the bytes that came for it.
  std::vector<net::EndpointResponse> Exchange(const std::string& name) {
    std::string unread = BytesFor(name);
    std::vector<net::EndpointResponse> responses;
    net::DecodeStatus status = net::DecodeStatus::kOk;
    while (!unread.empty() && responses.empty() && status == net::DecodeStatus::kOk) {
      std::size_t piece = 1 + Below(unread.size());
      received_ += unread.substr(0, piece);
      unread.erase(0, piece);
      status = reader_->Decode(received_, name, responses);
    }
    // Bytes that are unread before the next request make the pool close the connection.
    usable_ = status == net::DecodeStatus::kOk && unread.empty();
    return responses;
  }
  bool usable() const { return usable_; }

 private:
  std::size_t Below(std::size_t bound) { return random_() % bound; }
  bool OneIn(std::size_t count) { return Below(count) == 0; }

  std::string BytesFor(const std::string& name) {
    std::string response = ResponseWithHit(name, OneIn(8) ? "" : "X-Opaque-Id: " + name + "\r\n");
    std::string bytes;
    if (OneIn(4)) bytes = late_[Below(late_.size())];
    bytes += response;
    if (OneIn(4)) bytes += response.substr(0, 1 + Below(response.size()));
    late_.push_back(std::move(response));
    return bytes;
  }

  std::mt19937 random_;
  std::unique_ptr<net::ResponseReader> reader_;
  std::string received_;
  std::vector<std::string> late_{"HTTP/1.1 "};  // may come before the next response: noise, earlier responses
  bool usable_ = true;
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

// Guards against counting a response of another search, ended by the close of its connection, as a lost
// connection.
TEST_CASE("a response without a length that names another search is a violation") {
  SearchFixture fixture;
  fixture.Send(0);
  net::Fd endpoint = fixture.AcceptAndRead(0);
  net::WriteAll(endpoint, "HTTP/1.1 200 OK\r\nX-Opaque-Id: other\r\n\r\n" + BodyWithHit("piano"),
                kTestTimeoutUs);
  endpoint = {};
  coordinator::AttemptResult result = fixture.WaitForResult(0);
  CHECK(result.value.empty());
  CHECK(coordinator::OutcomeOf(result.progress, result.cause) == coordinator::AttemptOutcome::kError);
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

// Guards against a second copy, or a part of the response, that the stated length hides in the body.
TEST_CASE("a response whose length does not fit its body is an error") {
  std::string body = BodyWithHit("piano");
  std::string length = std::to_string(body.size());
  std::string twice = std::to_string(2 * body.size());
  std::string half = std::to_string(body.size() / 2);
  std::string chunk = fmt::format("{:x}\r\n{}\r\n", body.size(), body);
  std::string name = "X-Opaque-Id: s-0.0.0\r\n";
  std::string message = GENERATE_COPY(
      "Content-Length: " + twice + "\r\n\r\n" + body + body, "Content-Length: " + half + "\r\n\r\n" + body,
      "Content-Length: " + length + "\r\nContent-Length: " + twice + "\r\n\r\n" + body,
      "Transfer-Encoding: chunked\r\n\r\n" + chunk + chunk + "0\r\n\r\n",
      "Transfer-Encoding: chunked\r\n\r\n" + chunk + "x\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: " + length + "\r\n\r\n" + chunk);
  std::string received = "HTTP/1.1 200 OK\r\n" + name + message;
  std::vector<net::EndpointResponse> responses;
  opensearch::SearchProtocol().NewReader()->Decode(received, "s-0.0.0", responses);
  REQUIRE(responses.size() == 1);
  CHECK(responses[0].cause == Cause::kEndpointError);
  CHECK(responses[0].value.empty());
}

// Guards against any mixture of responses, copies and noise, cut anywhere, in which a search gets another
// search's response.
TEST_CASE("a search is served only its own response, whatever its endpoint sends") {
  constexpr unsigned kSeeds = 5000;
  constexpr int kSearches = 6;
  unsigned served = 0;
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    INFO("seed " << seed);
    RandomConnection connection(seed);
    for (int search = 0; search < kSearches && connection.usable(); ++search) {
      std::string name = "s-" + std::to_string(search) + ".0.0";
      for (const net::EndpointResponse& response : connection.Exchange(name)) {
        CHECK(response.id == name);
        bool own = response.cause != Cause::kServed || response.value == BodyWithHit(name);
        CHECK(own);
        served += response.cause == Cause::kServed ? 1 : 0;
      }
    }
  }
  CHECK(served > kSeeds);
}
