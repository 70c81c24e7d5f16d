// Server and ClientConnection over TLS: unfinished handshakes, and how connections end.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "net/server.h"
#include "support/tls_fixture.h"

using namespace liftrudder;
using tests::CertificateIssuer;
using tests::KeyPairOf;
using tests::MakeContext;
using tests::TlsClient;

namespace {

// Responds at once with the request's target.
class EchoHandler : public net::Handler {
 public:
  std::optional<net::HttpResponse> Handle(net::HttpMessage& request, const net::Exchange& exchange) override {
    CHECK(exchange.connection->channel() != nullptr);
    net::HttpResponse response;
    response.body = request.target;
    return response;
  }
  net::HttpResponse MalformedResponse(int status) override { return WithStatus(status); }
  net::HttpResponse OverloadedResponse(const net::HttpMessage*) override { return WithStatus(503); }
  net::HttpResponse ShuttingDownResponse() override { return WithStatus(503); }
  void OnResponseWritten(const std::vector<net::AnsweredQuery>&, int, std::size_t, bool) override {}

 private:
  static net::HttpResponse WithStatus(int status) {
    net::HttpResponse response;
    response.status = status;
    return response;
  }
};

// A TLS server on its own port. Its time limits follow `server_clock` where that is given.
struct TlsServerFixture {
  explicit TlsServerFixture(int max_connections, const coordinator::Clock* server_clock = nullptr) {
    reloadable_context.Set(
        MakeContext({{KeyPairOf(issuer.Issue("a", "DNS:a.example", "serverAuth"))}, "", "", false}, clock));
    net::Fd listener = net::Listen("127.0.0.1:0");
    addr = net::LocalAddress(listener);
    server.emplace(std::move(listener), handler, server_clock == nullptr ? clock : *server_clock, counters,
                   net::ServerLimits{max_connections, max_connections}, &reloadable_context);
  }
  CertificateIssuer issuer{"issuer"};
  net::SteadyClock clock;
  net::ReloadableTlsContext reloadable_context;
  metrics::Counters counters;
  EchoHandler handler;
  std::string addr;
  std::optional<net::Server> server;
};

constexpr net::Micros kTestTimeoutUs = 20'000'000;

// Sends a request on a new TLS connection; returns the response, empty if there was none.
std::string Request(const std::string& addr, TlsClient& client, net::Fd& fd) {
  fd = net::Connect(addr, kTestTimeoutUs);
  std::string at_client, arrived, out = client.ProcessInput("", at_client);
  bool sent = false;
  while (at_client.find("/lessons") == std::string::npos) {
    if (!sent && SSL_is_init_finished(client.raw()) != 0) {
      out += client.Encrypt("GET /lessons HTTP/1.1\r\nHost: a\r\n\r\n");
      sent = true;
    }
    if (!out.empty() && net::WriteAll(fd, out, kTestTimeoutUs).status != net::IoStatus::kOk) return "";
    arrived.clear();
    if (net::ReadSome(fd, arrived, kTestTimeoutUs) != net::IoStatus::kOk) return "";
    out = client.ProcessInput(arrived, at_client);
  }
  return at_client;
}

}  // namespace

TEST_CASE("abandoned handshakes hold at most a quarter of the connections while others are served") {
  constexpr int kMaxConnections = 40, kAbandoned = 500;
  // Stopped: a handshake that timed out in a pause of the machine would be closed without an eviction.
  tests::ManualClock stopped;
  TlsServerFixture fixture(kMaxConnections, &stopped);
  const std::string& addr = fixture.addr;
  std::vector<net::Fd> abandoned;
  std::string at_client;
  for (int i = 0; i < kAbandoned; ++i) {
    TlsClient halfway;
    abandoned.push_back(net::Connect(addr, kTestTimeoutUs));
    REQUIRE(abandoned.back().Valid());
    // The server's flight shows that its side of the handshake has begun.
    std::string flight;
    net::WriteAll(abandoned.back(), halfway.ProcessInput("", at_client), kTestTimeoutUs);
    REQUIRE(net::ReadSome(abandoned.back(), flight, kTestTimeoutUs) == net::IoStatus::kOk);
    if (i % 50 != 49) continue;
    TlsClient good;
    net::Fd fd;
    CHECK(Request(addr, good, fd).find("HTTP/1.1 200") == 0);
  }
  int open = 0;
  for (const net::Fd& one : abandoned) open += net::Peek(one.Get()) != net::SocketState::kEnd ? 1 : 0;
  CHECK(open <= kMaxConnections / 4);
  CHECK(fixture.counters.connections_evicted.Value() >= kAbandoned - kMaxConnections / 4);
}

TEST_CASE("connections silent before their handshake also hold at most a quarter of the connections") {
  // kSilent is below the number at which silent connections are evicted for new ones.
  constexpr int kMaxConnections = 40, kSilent = 25;
  TlsServerFixture fixture(kMaxConnections);
  std::vector<net::Fd> silent;
  std::string at_client;
  for (int i = 0; i < kSilent; ++i) {
    silent.push_back(net::Connect(fixture.addr, kTestTimeoutUs));
    REQUIRE(silent.back().Valid());
  }
  for (const net::Fd& one : silent) {
    TlsClient halfway;
    std::string flight;
    net::WriteAll(one, halfway.ProcessInput("", at_client), kTestTimeoutUs);
    REQUIRE(net::ReadSome(one, flight, kTestTimeoutUs) == net::IoStatus::kOk);
  }
  TlsClient good;
  net::Fd fd;
  CHECK(Request(fixture.addr, good, fd).find("HTTP/1.1 200") == 0);
  int open = 0;
  for (const net::Fd& one : silent) open += net::Peek(one.Get()) != net::SocketState::kEnd ? 1 : 0;
  CHECK(open <= kMaxConnections / 4);
}

TEST_CASE("a connection that is rejected before its handshake gets an alert") {
  TlsServerFixture fixture(8);
  net::Fd listener = net::Listen("127.0.0.1:0");
  net::Fd client = net::Connect(net::LocalAddress(listener), kTestTimeoutUs);
  net::ClientConnection connection(net::Accept(listener, kTestTimeoutUs), &fixture.reloadable_context);
  CHECK(connection.Write("HTTP/1.1 503 x\r\n\r\n", 0).status == net::IoStatus::kError);
  connection.Finish();
  TlsClient side;
  std::string at_client, arrived;
  side.ProcessInput("", at_client);
  REQUIRE(net::ReadSome(client, arrived, kTestTimeoutUs) == net::IoStatus::kOk);
  side.ProcessInput(arrived, at_client);
  CHECK(at_client.empty());
  CHECK(arrived == std::string("\x15\x03\x03\0\2\2\x50", 7));
}

TEST_CASE("every response that ends a connection is followed by a close_notify") {
  TlsServerFixture fixture(8);
  const std::string& addr = fixture.addr;
  TlsClient client;
  net::Fd fd;
  REQUIRE(Request(addr, client, fd).find("HTTP/1.1 200") == 0);
  CHECK_FALSE(client.peer_closed());
  // The client's close_notify ends the connection, and the server closes its side.
  std::string at_client, arrived;
  net::WriteAll(fd, client.Close(), kTestTimeoutUs);
  while (net::ReadSome(fd, arrived, kTestTimeoutUs) == net::IoStatus::kOk) {
  }
  // A rejected request ends its connection too: the response is followed by a close_notify.
  TlsClient other;
  net::Fd second;
  REQUIRE(Request(addr, other, second).find("HTTP/1.1 200") == 0);
  net::WriteAll(second, other.Encrypt("nonsense\r\n\r\n"), kTestTimeoutUs);
  while (!other.peer_closed()) {
    arrived.clear();
    REQUIRE(net::ReadSome(second, arrived, kTestTimeoutUs) == net::IoStatus::kOk);
    other.ProcessInput(arrived, at_client);
  }
  CHECK(at_client.find("HTTP/1.1 400") == 0);
}
