#include "net/server.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <exception>

#include "log/log.h"

namespace liftrudder::net {
namespace {

constexpr Micros kSlice = 100'000;          // how soon an idle connection sees that it is to end
constexpr Micros kRequestWait = 5'000'000;  // for the rest of a request that has begun
constexpr Micros kWriteWait = 2'000'000;
constexpr Micros kIdleWait = 120'000'000;

}  // namespace

Server::Server(Fd listener, Handler& handler, const core::Clock& clock, metrics::Counters& counters,
               int max_connections)
    : listener_(std::move(listener)),
      handler_(handler),
      clock_(clock),
      counters_(counters),
      max_connections_(max_connections),
      accept_thread_([this] { AcceptLoop(); }) {}

Server::~Server() {
  Drain();
  StopListening();
  while (!WaitClosed(kRequestWait)) log::Error("client connections stay open");
}

void Server::StopListening() {
  stopping_ = true;
  accept_thread_.Join();
  listener_ = Fd();
}

bool Server::WaitClosed(Micros wait_us) {
  std::unique_lock lock(mutex_);
  return left_.wait_for(lock, std::chrono::microseconds(wait_us), [this] { return connections_ == 0; });
}

void Server::Leave() {
  std::lock_guard lock(mutex_);
  --connections_;
  left_.notify_all();
}

void Server::AcceptLoop() {
  while (!stopping_) {
    auto client = std::make_shared<Fd>(Accept(listener_, kSlice));
    if (!client->Valid()) continue;
    bool room = false;
    {
      std::lock_guard lock(mutex_);
      room = connections_ < max_connections_;
      if (room) ++connections_;
    }
    if (!room) {
      counters_.turned_away.Add();
      WriteAll(*client, Format(handler_.Overloaded(), true), 0);
      continue;
    }
    if (!Detach([this, client] {
          Serve(std::move(*client));
          Leave();
        })) {
      Leave();
    }
  }
}

bool Server::ReadRequest(const Fd& client, std::string& pending, HttpParser& parser, Micros& received_us) {
  Micros idle_since = clock_.Now();
  received_us = pending.empty() ? 0 : idle_since;
  while (true) {
    HttpParser::State state = parser.Feed(pending);
    if (state == HttpParser::State::kDone) return true;
    if (state == HttpParser::State::kBad) return false;
    Micros waited = clock_.Now() - (received_us > 0 ? received_us : idle_since);
    if (received_us == 0 && (stopping_ || waited > kIdleWait)) return false;
    if (received_us > 0 && waited > kRequestWait) return false;
    Io got = ReadSome(client, pending, kSlice);
    if (got == Io::kTimeout) continue;
    if (got != Io::kOk) return false;
    if (received_us == 0) received_us = clock_.Now();
  }
}

void Server::Serve(Fd client) try {
  auto waker = std::make_shared<Fd>(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  std::string pending;
  bool close = !waker->Valid();
  while (!close) {
    HttpParser parser(HttpParser::Kind::kRequest);
    Exchange exchange{client.Get(), waker, 0, false};
    if (!ReadRequest(client, pending, parser, exchange.received_us)) {
      // Only what cannot be read is answered so; a client that left, or an idle one, is let go.
      if (parser.Feed(pending) == HttpParser::State::kBad) {
        counters_.malformed.Add();
        WriteAll(client, Format(handler_.Malformed(), true), kWriteWait);
      }
      return;
    }
    exchange.draining = draining_;
    auto response = handler_.Handle(parser.message(), exchange);
    if (!response) return;
    close = parser.message().close || draining_;
    if (WriteAll(client, Format(*response, close), kWriteWait).status != Io::kOk) return;
  }
  // What the client has written meanwhile must not turn the answer on its way into a reset.
  ::shutdown(client.Get(), SHUT_WR);
  pending.clear();
  while (pending.size() < kMaxBodyBytes && ReadSome(client, pending, kSlice) == Io::kOk) {
  }
} catch (const std::exception& error) {
  log::Error("client connection: {}", error.what());
}

void WaitingReply::Deliver(core::FinalAnswer answer) {
  std::lock_guard lock(mutex_);
  answer_ = std::move(answer);
  std::uint64_t one = 1;
  [[maybe_unused]] ssize_t written = ::write(waker_->Get(), &one, sizeof one);
}

WaitingReply::End WaitingReply::Wait(int client, const core::Clock& clock, Micros deadline_us) {
  while (true) {
    {
      std::lock_guard lock(mutex_);
      if (answer_) return End::kAnswered;
    }
    Micros left = deadline_us - clock.Now();
    if (left <= 0) return End::kLate;
    pollfd both[] = {{waker_->Get(), POLLIN, 0}, {client, POLLRDHUP, 0}};
    timespec span{left / 1'000'000, (left % 1'000'000) * 1000};
    if (::ppoll(both, 2, &span, nullptr) <= 0) continue;
    std::uint64_t count = 0;
    if (both[0].revents != 0) {
      [[maybe_unused]] ssize_t got = ::read(waker_->Get(), &count, sizeof count);
      continue;
    }
    return End::kGone;
  }
}

}  // namespace liftrudder::net
