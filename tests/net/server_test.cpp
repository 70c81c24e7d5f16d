// Server: client disconnections and closing the listener at every stage of a request. The handler blocks
// where a test needs two steps in a fixed order.
#define CATCH_CONFIG_MAIN
#include "net/server.h"

#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace liftrudder;

namespace {

constexpr net::Micros kTestTimeoutUs = 20'000'000;
constexpr auto kTestTimeoutS = std::chrono::seconds(20);

// Blocks the worker of a request for /held, or the reader thread on a malformed request, until Release.
class BlockingHandler : public net::Handler {
 public:
  std::optional<net::HttpResponse> Handle(net::HttpMessage& request, const net::Exchange& exchange) override {
    std::unique_lock lock(mutex_);
    reply_waiter_ = exchange.reply_waiter;
    received_us_ = exchange.received_us;
    ++requests_;
    changed_.notify_all();
    if (request.target == "/held") changed_.wait(lock, [this] { return released_; });
    return net::HttpResponse{};
  }
  net::HttpResponse MalformedResponse(int status) override {
    std::unique_lock lock(mutex_);
    ++malformed_;
    changed_.notify_all();
    if (block_malformed_) changed_.wait(lock, [this] { return released_; });
    net::HttpResponse out;
    out.status = status;
    return out;
  }
  net::HttpResponse OverloadedResponse(const net::HttpMessage*) override { return MalformedResponse(503); }
  net::HttpResponse ShuttingDownResponse() override { return MalformedResponse(503); }
  void OnResponseWritten(const std::vector<net::AnsweredQuery>&, int, std::size_t, bool) override {
    std::unique_lock lock(mutex_);
    if (block_after_response_) changed_.wait(lock, [this] { return released_; });
  }

  // Holds workers that have written a response, until Release.
  void BlockAfterResponse() {
    std::lock_guard lock(mutex_);
    block_after_response_ = true;
  }
  void BlockMalformed() {
    std::lock_guard lock(mutex_);
    block_malformed_ = true;
  }
  void Release() {
    std::lock_guard lock(mutex_);
    released_ = true;
    changed_.notify_all();
  }
  void AwaitRequests(int count) {
    std::unique_lock lock(mutex_);
    REQUIRE(changed_.wait_for(lock, kTestTimeoutS, [&] { return requests_ >= count; }));
  }
  void AwaitMalformed() {
    std::unique_lock lock(mutex_);
    REQUIRE(changed_.wait_for(lock, kTestTimeoutS, [this] { return malformed_ > 0; }));
  }
  std::shared_ptr<net::ReplyWaiter> reply_waiter() {
    std::lock_guard lock(mutex_);
    return reply_waiter_;
  }
  // Exchange::received_us of the last request.
  net::Micros received_us() {
    std::lock_guard lock(mutex_);
    return received_us_;
  }

 private:
  std::mutex mutex_;  // guards everything below
  std::condition_variable changed_;
  std::shared_ptr<net::ReplyWaiter> reply_waiter_;
  net::Micros received_us_ = 0;
  int requests_ = 0;
  int malformed_ = 0;
  bool released_ = false;
  bool block_malformed_ = false;
  bool block_after_response_ = false;
};

struct ServerFixture {
  ServerFixture() {
    net::Fd listener = net::Listen("127.0.0.1:0");
    addr = net::LocalAddress(listener);
    server.emplace(std::move(listener), handler, clock, counters, net::ServerLimits{32, 32});
  }
  ~ServerFixture() { handler.Release(); }
  BlockingHandler handler;
  net::SteadyClock clock;
  metrics::Counters counters;
  std::string addr;
  std::optional<net::Server> server;
};

std::string Request(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: g\r\n\r\n"; }

void Send(const net::Fd& fd, const std::string& bytes) {
  REQUIRE(net::WriteAll(fd, bytes, kTestTimeoutUs).status == net::IoStatus::kOk);
}

// The status of the next response; 0 if the connection ended without one.
int ReadStatus(const net::Fd& fd) {
  net::HttpParser parser(net::HttpParser::Kind::kResponse);
  std::string in;
  while (net::ReadSome(fd, in, kTestTimeoutUs) == net::IoStatus::kOk) {
    if (parser.Feed(in) == net::HttpParser::State::kDone) return parser.message().status;
  }
  return 0;
}

void AwaitCondition(const std::function<bool()>& holds) {
  net::SteadyClock clock;
  for (net::Micros until_us = clock.Now() + kTestTimeoutUs; !holds();) {
    REQUIRE(clock.Now() < until_us);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void Reset(net::Fd& fd) {
  linger now{1, 0};
  ::setsockopt(fd.Get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  fd = net::Fd();
}

}  // namespace

TEST_CASE("a client that disconnects is detected while its worker is busy") {
  ServerFixture fixture;
  net::Fd client = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(client, Request("/held"));
  fixture.handler.AwaitRequests(1);
  auto presence = fixture.handler.reply_waiter()->client();
  CHECK_FALSE(presence->Disconnected());
  SECTION("by closing") { client = net::Fd(); }
  SECTION("by a reset") { Reset(client); }
  SECTION("with bytes behind its request") {
    Send(client, "GET ");
    client = net::Fd();
  }
  SECTION("with bytes some time before") {
    Send(client, "GET ");
    // The answer to a later request shows that the reader thread has handled the earlier bytes.
    net::Fd other = net::Connect(fixture.addr, kTestTimeoutUs);
    Send(other, Request("/"));
    CHECK(ReadStatus(other) == 200);
    client = net::Fd();
  }
  AwaitCondition([&] { return presence->Disconnected(); });
}

// Guards against shard requests that are sent for a client that left while the reader thread was behind.
TEST_CASE("a look at the connection detects a disconnection that the reader thread has not handled") {
  ServerFixture fixture;
  net::Fd client = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(client, Request("/held"));
  fixture.handler.AwaitRequests(1);
  auto presence = fixture.handler.reply_waiter()->client();
  fixture.handler.BlockMalformed();
  net::Fd malformed = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(malformed, "no request\r\n\r\n");
  fixture.handler.AwaitMalformed();  // the reader thread is blocked
  CHECK_FALSE(presence->CheckDisconnected());
  SECTION("by closing") { client = net::Fd(); }
  SECTION("by a reset") { Reset(client); }
  SECTION("with bytes behind its request") {
    Send(client, Request("/"));
    client = net::Fd();
  }
  AwaitCondition([&] { return presence->CheckDisconnected(); });
  CHECK_FALSE(presence->Disconnected());  // not marked by the reader thread
}

TEST_CASE("a request that has been answered does not look at its connection any more") {
  ServerFixture fixture;
  net::Fd client = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(client, Request("/"));
  CHECK(ReadStatus(client) == 200);
  auto first = fixture.handler.reply_waiter()->client();
  Send(client, Request("/held"));
  fixture.handler.AwaitRequests(2);
  client = net::Fd();
  auto second = fixture.handler.reply_waiter()->client();
  AwaitCondition([&] { return second->CheckDisconnected(); });
  CHECK_FALSE(first->CheckDisconnected());
}

TEST_CASE("a disconnection marked for one request is not inherited by the next on the connection") {
  ServerFixture fixture;
  net::Fd client = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(client, Request("/"));
  CHECK(ReadStatus(client) == 200);
  auto first = fixture.handler.reply_waiter()->client();
  Send(client, Request("/held"));
  fixture.handler.AwaitRequests(2);
  CHECK(fixture.handler.reply_waiter()->client() != first);
  fixture.handler.Release();
  CHECK(ReadStatus(client) == 200);
}

TEST_CASE("a connection in the backlog is answered when the listener closes") {
  ServerFixture fixture;
  fixture.handler.BlockMalformed();
  net::Fd malformed = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(malformed, "no request\r\n\r\n");
  fixture.handler.AwaitMalformed();  // the reader thread is blocked and accepts no connections
  net::Fd late = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(late, Request("/"));
  auto stopped = std::async(std::launch::async, [&] { fixture.server->StopListening(); });
  fixture.handler.Release();
  CHECK(ReadStatus(late) == 200);
  stopped.get();
}

// Guards against a request of a slow writer whose timeout is over when it is complete.
TEST_CASE("a request counts as received with its last byte") {
  ServerFixture fixture;
  net::Fd slow = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(slow, "GET / HTTP/1.1\r\nHo");
  net::Fd other = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(other, Request("/"));
  CHECK(ReadStatus(other) == 200);  // the reader thread has read the first bytes
  net::Micros completed_us = fixture.clock.Now();
  Send(slow, "st: g\r\n\r\n");
  CHECK(ReadStatus(slow) == 200);
  CHECK(fixture.handler.received_us() >= completed_us);
}

TEST_CASE("a request that has partly arrived when the listener closes is read and answered") {
  ServerFixture fixture;
  net::Fd partial = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(partial, Request("/"));
  CHECK(ReadStatus(partial) == 200);
  Send(partial, "GET / HTTP/1.1\r\nHo");
  net::Fd other = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(other, Request("/"));
  CHECK(ReadStatus(other) == 200);
  fixture.server->StopListening();
  AwaitCondition([&] { return !net::Connect(fixture.addr, kTestTimeoutUs).Valid(); });
  Send(partial, "st: g\r\n\r\n");
  CHECK(ReadStatus(partial) == 200);
}

// Guards against a request that is dropped because its connection's worker, slow after the response before,
// finds the server stopping.
TEST_CASE("a request that begins to arrive before its connection's worker is done is read and answered") {
  ServerFixture fixture;
  fixture.handler.BlockAfterResponse();
  net::Fd partial = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(partial, Request("/"));
  CHECK(ReadStatus(partial) == 200);
  Send(partial, "GET / HTTP/1.1\r\nHo");
  fixture.server->StopListening();
  AwaitCondition([&] { return !net::Connect(fixture.addr, kTestTimeoutUs).Valid(); });
  fixture.handler.Release();
  Send(partial, "st: g\r\n\r\n");
  CHECK(ReadStatus(partial) == 200);
}

// Guards against a request whose last byte comes just before the process is killed, which nobody answers.
TEST_CASE("a request that is not complete when a shutdown leaves no time is rejected") {
  ServerFixture fixture;
  net::Fd partial = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(partial, Request("/"));
  CHECK(ReadStatus(partial) == 200);
  net::Fd idle = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(idle, Request("/"));
  CHECK(ReadStatus(idle) == 200);
  Send(partial, "GET / HTTP/1.1\r\nHo");
  SECTION("before the listener closes") {
    fixture.server->Drain(fixture.clock.Now());
    CHECK(ReadStatus(partial) == 503);
    Send(idle, Request("/"));
    CHECK(ReadStatus(idle) == 200);
  }
  SECTION("after that") {
    fixture.server->StopListening();
    CHECK(ReadStatus(idle) == 0);
    fixture.server->Drain(fixture.clock.Now());
    CHECK(ReadStatus(partial) == 503);
  }
  CHECK(ReadStatus(partial) == 0);
}

TEST_CASE("a client that disconnects while the server stops is detected") {
  ServerFixture fixture;
  net::Fd client = net::Connect(fixture.addr, kTestTimeoutUs);
  Send(client, Request("/held"));
  fixture.handler.AwaitRequests(1);
  fixture.server->StopListening();
  AwaitCondition([&] { return !net::Connect(fixture.addr, kTestTimeoutUs).Valid(); });
  auto presence = fixture.handler.reply_waiter()->client();
  client = net::Fd();
  AwaitCondition([&] { return presence->Disconnected(); });
}
