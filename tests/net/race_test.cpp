// Crossings: a client's leaving, a signal, an answer or a close that comes between two steps of the program.
// Each order of events is forced by what a stand-in or a handler holds back; docs/design/crossings.md lists
// them.
#define CATCH_CONFIG_MAIN
#include <sys/socket.h>

#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "net/server.h"
#include "platform/discovery.h"
#include "support/connection_pool_fixture.h"

using namespace liftrudder;
using coordinator::Cause;
using tests::LinksUnderTest;
using tests::AnsweredQuery;

namespace {

constexpr net::Micros kPatience = 20'000'000;
constexpr auto kPatienceS = std::chrono::seconds(20);

// Holds a request, or the door's thread on what cannot be read, until it is let go.
class HoldingHandler : public net::Handler {
 public:
  std::optional<net::HttpResponse> Handle(net::HttpMessage& request, const net::Exchange& exchange) override {
    std::unique_lock lock(mutex_);
    reply_waiter_ = exchange.reply_waiter;
    ++inside_;
    moved_.notify_all();
    if (request.target == "/held") moved_.wait(lock, [this] { return free_; });
    return net::HttpResponse{};
  }
  net::HttpResponse Malformed(int status) override {
    std::unique_lock lock(mutex_);
    ++at_door_;
    moved_.notify_all();
    if (hold_intake_) moved_.wait(lock, [this] { return free_; });
    net::HttpResponse out;
    out.status = status;
    return out;
  }
  net::HttpResponse Overloaded(const net::HttpMessage*) override { return Malformed(503); }
  void Wrote(const std::vector<net::AnsweredQuery>&, int, std::size_t, bool) override {}

  void HoldIntake() {
    std::lock_guard lock(mutex_);
    hold_intake_ = true;
  }
  void Free() {
    std::lock_guard lock(mutex_);
    free_ = true;
    moved_.notify_all();
  }
  void AwaitInside(int many) {
    std::unique_lock lock(mutex_);
    REQUIRE(moved_.wait_for(lock, kPatienceS, [&] { return inside_ >= many; }));
  }
  void AwaitAtDoor() {
    std::unique_lock lock(mutex_);
    REQUIRE(moved_.wait_for(lock, kPatienceS, [this] { return at_door_ > 0; }));
  }
  std::shared_ptr<net::ReplyWaiter> reply_waiter() {
    std::lock_guard lock(mutex_);
    return reply_waiter_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable moved_;
  std::shared_ptr<net::ReplyWaiter> reply_waiter_;
  int inside_ = 0, at_door_ = 0;
  bool free_ = false, hold_intake_ = false;
};

struct Serving {
  Serving() {
    net::Fd listener = net::Listen("127.0.0.1:0");
    addr = net::LocalAddress(listener);
    server.emplace(std::move(listener), handler, clock, counters, net::ServerLimits{32, 32});
  }
  ~Serving() { handler.Free(); }
  HoldingHandler handler;
  net::SteadyClock clock;
  metrics::Counters counters;
  std::string addr;
  std::optional<net::Server> server;
};

std::string Request(const std::string& path) { return "GET " + path + " HTTP/1.1\r\nHost: g\r\n\r\n"; }

void Say(const net::Fd& fd, const std::string& bytes) {
  REQUIRE(net::WriteAll(fd, bytes, kPatience).status == net::Io::kOk);
}

// The status of the next answer; 0: the connection ended without one.
int Answer(const net::Fd& fd) {
  net::HttpParser parser(net::HttpParser::Kind::kResponse);
  std::string in;
  while (net::ReadSome(fd, in, kPatience) == net::Io::kOk) {
    if (parser.Feed(in) == net::HttpParser::State::kDone) return parser.message().status;
  }
  return 0;
}

void Until(const std::function<bool()>& holds) {
  net::SteadyClock clock;
  for (net::Micros until = clock.Now() + kPatience; !holds();) {
    REQUIRE(clock.Now() < until);
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

void Reset(net::Fd& fd) {
  linger now{1, 0};
  ::setsockopt(fd.Get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
  fd = net::Fd();
}

}  // namespace

TEST_CASE("a client that leaves is seen while no thread waits for its answer") {
  Serving one;
  net::Fd client = net::Connect(one.addr, kPatience);
  Say(client, Request("/held"));
  one.handler.AwaitInside(1);
  auto here = one.handler.reply_waiter()->client();
  CHECK_FALSE(here->Disconnected());
  SECTION("by closing") { client = net::Fd(); }
  SECTION("by a reset") { Reset(client); }
  SECTION("with bytes behind its request") {
    Say(client, "GET ");
    client = net::Fd();
  }
  SECTION("with bytes some time before") {
    Say(client, "GET ");
    // Another request is through: what came before it has been looked at.
    net::Fd other = net::Connect(one.addr, kPatience);
    Say(other, Request("/"));
    CHECK(Answer(other) == 200);
    client = net::Fd();
  }
  Until([&] { return here->Disconnected(); });
}

TEST_CASE("a connection's next request does not inherit that an earlier client seemed to leave") {
  Serving one;
  net::Fd client = net::Connect(one.addr, kPatience);
  Say(client, Request("/"));
  CHECK(Answer(client) == 200);
  auto first = one.handler.reply_waiter()->client();
  Say(client, Request("/held"));
  one.handler.AwaitInside(2);
  CHECK(one.handler.reply_waiter()->client() != first);
  one.handler.Free();
  CHECK(Answer(client) == 200);
}

TEST_CASE("what waits for a client that has left is not begun") {
  net::ConnectionLimits limits;
  limits.max_connections = limits.streams_per_connection = 1;
  LinksUnderTest all(1, limits);
  auto client = std::make_shared<coordinator::ClientPresence>();
  SECTION("behind another part on the only connection") {
    all.Send(0);
    net::Fd endpoint = all.Take(0);
    all.Send(0, client);
    client->MarkDisconnected();
    net::WriteAll(endpoint, AnsweredQuery(1), kPatience);
    CHECK(all.Ended(0).cause == Cause::kServed);
    coordinator::AttemptResult second = all.Ended(1);
    CHECK(second.cause == Cause::kClientDisconnected);
    CHECK(coordinator::OutcomeOf(second.progress, second.cause) == coordinator::AttemptOutcome::kNotSent);
    all.links.reset();
    std::string more;
    CHECK(net::ReadSome(endpoint, more, kPatience) == net::Io::kEnd);
    CHECK(more.empty());
  }
  SECTION("as it is handed over") {
    client->MarkDisconnected();
    all.Send(0, client);
    CHECK(all.Ended(0).cause == Cause::kClientDisconnected);
  }
}

TEST_CASE("the parts of one round for one holder share calls, and what has left by then is in none") {
  net::ConnectionLimits limits;
  limits.max_requests_per_call = 3;
  LinksUnderTest all(1, limits);
  all.ends_round = false;
  auto client = std::make_shared<coordinator::ClientPresence>();
  all.Send(0);
  all.Send(0, client);
  all.Send(0);
  client->MarkDisconnected();
  all.links->EndRound();
  net::Fd endpoint = all.Take(0);
  auto line = [](int shard_request) { return "q." + std::to_string(shard_request) + " " + std::to_string(shard_request) + " d="; };
  std::size_t size = static_cast<unsigned char>(all.got[0]);
  REQUIRE(all.got.size() == size + 4);  // one frame
  CHECK(all.got.find(line(1)) != std::string::npos);
  CHECK(all.got.find(line(2)) == std::string::npos);
  CHECK(all.got.find(line(3)) != std::string::npos);
  CHECK(all.Ended(0).cause == Cause::kClientDisconnected);
  net::WriteAll(endpoint, AnsweredQuery(3) + AnsweredQuery(1), kPatience);
  CHECK(all.Ended(1).cause == Cause::kServed);
  CHECK(all.Ended(2).cause == Cause::kServed);
}

TEST_CASE("a part that is called off ends when its holder has answered it or its connection has ended") {
  LinksUnderTest all(1, {});
  all.Send(0);
  net::Fd endpoint = all.Take(0);
  all.links->RequestCancellation({1, 0});
  all.links->RequestCancellation({1, 0});
  std::string word;
  REQUIRE(net::ReadSome(endpoint, word, kPatience) == net::Io::kOk);
  CHECK(word == std::string{4, 0, 0, 0} + "cq.1");  // once
  CHECK(all.Results() == 0);
  SECTION("answered") {
    net::WriteAll(endpoint, AnsweredQuery(1), kPatience);
    CHECK(all.Ended(0).cause == Cause::kServed);
  }
  SECTION("reset") {
    endpoint = {};
    CHECK(all.Ended(0).cause == Cause::kConnectionLost);
  }
  SECTION("its query is over") {
    all.links->CancelAttempt({1, 0}, all.update->endpoints[0].id, Cause::kCancelled);
    CHECK(all.Ended(0).cause == Cause::kCancelled);
    all.links.reset();
    word.clear();
    CHECK(net::ReadSome(endpoint, word, kPatience) == net::Io::kEnd);
    CHECK(word.empty());
  }
}

TEST_CASE("a watch on which bytes come that never make up a list is left for another one") {
  net::Fd listener = net::Listen("127.0.0.1:0");
  config::Config config;
  config.discovery = net::LocalAddress(listener);
  config.settings.cells = 1;
  net::SteadyClock clock;
  coordinator::EndpointRegistry endpoint_registry;
  metrics::Counters counters;
  coordinator::Coordinator coordinator(config.settings, 1, clock, endpoint_registry, counters);
  platform::DiscoveryWatch watch(config, endpoint_registry, coordinator, clock);
  auto take = [&] {
    net::Fd fd = net::Accept(listener, kPatience);
    std::string ask;
    REQUIRE(net::ReadSome(fd, ask, kPatience) == net::Io::kOk);
    return fd;
  };
  net::Fd first = take();
  net::WriteAll(first, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{\"\r\n", kPatience);
  std::string end;
  net::Io state = net::Io::kTimeout;
  net::Micros until = clock.Now() + kPatience;
  while (state == net::Io::kTimeout && clock.Now() < until) {
    net::WriteAll(first, "1\r\nv\r\n", kPatience);
    state = net::ReadSome(first, end, 20'000);
  }
  CHECK(state != net::Io::kTimeout);
  take();
}

TEST_CASE("who stands in the backlog when the listener closes is answered") {
  Serving one;
  one.handler.HoldIntake();
  net::Fd bad = net::Connect(one.addr, kPatience);
  Say(bad, "no request\r\n\r\n");
  one.handler.AwaitAtDoor();  // the door takes nobody in any more
  net::Fd late = net::Connect(one.addr, kPatience);
  Say(late, Request("/"));
  auto stopped = std::async(std::launch::async, [&] { one.server->StopListening(); });
  one.handler.Free();
  CHECK(Answer(late) == 200);
  stopped.get();
}

TEST_CASE("a request of which a part has come when the listener closes is read to its end and answered") {
  Serving one;
  net::Fd half = net::Connect(one.addr, kPatience);
  Say(half, Request("/"));
  CHECK(Answer(half) == 200);
  Say(half, "GET / HTTP/1.1\r\nHo");
  net::Fd other = net::Connect(one.addr, kPatience);
  Say(other, Request("/"));
  CHECK(Answer(other) == 200);
  one.server->StopListening();
  Until([&] { return !net::Connect(one.addr, kPatience).Valid(); });
  Say(half, "st: g\r\n\r\n");
  CHECK(Answer(half) == 200);
}

TEST_CASE("a client that leaves while the last requests are open is seen") {
  Serving one;
  net::Fd client = net::Connect(one.addr, kPatience);
  Say(client, Request("/held"));
  one.handler.AwaitInside(1);
  one.server->StopListening();
  Until([&] { return !net::Connect(one.addr, kPatience).Valid(); });
  auto here = one.handler.reply_waiter()->client();
  client = net::Fd();
  Until([&] { return here->Disconnected(); });
}

TEST_CASE("the end waits for clients that have not taken their answers in") {
  net::Fd listener = net::Listen("127.0.0.1:0");
  net::Fd client = net::Connect(net::LocalAddress(listener), kPatience);
  net::LingeringCloser lingering_closer(2);
  CHECK(lingering_closer.WaitEmpty(0));
  lingering_closer.Take(net::Accept(listener, kPatience));
  CHECK_FALSE(lingering_closer.WaitEmpty(0));
  client = net::Fd();
  CHECK(lingering_closer.WaitEmpty(kPatience));
}
