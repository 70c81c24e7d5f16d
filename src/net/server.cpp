#include "net/server.h"

#include <algorithm>
#include <chrono>
#include <exception>

#include "log/log.h"

namespace liftrudder::net {
namespace {

constexpr Micros kSlice = 100'000;          // how soon the accept thread sees that it is to end
constexpr Micros kFirstWait = 2'000'000;    // from connecting to the end of the first request: 3 s are owed
constexpr Micros kRequestWait = 2'000'000;  // for the rest of a later request that has begun
constexpr Micros kIdleWait = 5'000'000;
constexpr Micros kWriteWait = 2'000'000;
constexpr Micros kLookWait = 250'000;  // how soon a client that has gone is seen while its answer is out
// Near the cap connections are closed that have stood idle, or mute, for longer than this; at the cap any.
constexpr Micros kOldIdle = 2'000'000;
constexpr Micros kOldMute = 500'000;
constexpr int kEnding = 16;     // connections told to end that may be open beside the cap
constexpr int kLingering = 20;  // connections ended by us that are read to their end

}  // namespace

Server::Server(Fd listener, Handler& handler, const core::Clock& clock, metrics::Counters& counters,
               const ServerLimits& limits)
    : listener_(std::move(listener)),
      handler_(handler),
      clock_(clock),
      counters_(counters),
      limits_(limits),
      lingerer_(kLingering),
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
  // Those between requests wait in a read: they are woken; what has come by now is still answered.
  std::lock_guard lock(mutex_);
  for (const Session& session : sessions_) {
    if (session.phase != Phase::kBusy) ShutDownReading(session.fd);
  }
}

bool Server::WaitClosed(Micros wait_us) {
  std::unique_lock lock(mutex_);
  return left_.wait_for(lock, std::chrono::microseconds(wait_us), [this] { return sessions_.empty(); });
}

void Server::AcceptLoop() {
  while (!stopping_) {
    Fd client = Accept(listener_, kSlice);
    if (!client.Valid()) continue;
    auto place = Enter(client.Get());
    if (!place) {
      TurnAway(std::move(client));
      continue;
    }
    auto owned = std::make_shared<Fd>(std::move(client));
    if (Detach([this, owned, place = *place] {
          bool answered = Serve(*owned, place);
          Release(place);
          if (answered) lingerer_.Take(std::move(*owned));
          *owned = Fd();
          Leave(place);
        })) {
      continue;
    }
    Release(*place);
    TurnAway(std::move(*owned));
    Leave(*place);
  }
}

void Server::TurnAway(Fd client) {
  counters_.turned_away.Add();
  WriteAll(client, Format(handler_.Overloaded(), true), 0);
  lingerer_.Take(std::move(client));
}

// Guards against connections held for nothing: mute ones, and those of clients that asked once and stay.
void Server::MakeRoom(Micros now) {
  int open = static_cast<int>(sessions_.size()) - told_;
  if (open < limits_.connections * 3 / 4) return;
  auto worst = sessions_.end();
  auto rank = [&](const Session& session) {
    bool idle = session.phase == Phase::kIdle;
    bool old = now - session.since_us > (idle ? kOldIdle : kOldMute);
    // An idle client asks again elsewhere when its request crosses the end; a new one's first would fail.
    return std::pair(old, std::pair(idle, now - session.since_us));
  };
  for (auto one = sessions_.begin(); one != sessions_.end(); ++one) {
    if (one->phase == Phase::kBusy || one->told) continue;
    if (worst == sessions_.end() || rank(*one) > rank(*worst)) worst = one;
  }
  if (worst == sessions_.end() || (open < limits_.connections && !rank(*worst).first)) return;
  worst->told = true;
  ++told_;
  counters_.evicted.Add();
  ShutDownReading(worst->fd);
}

std::optional<Server::Place> Server::Enter(int fd) {
  std::lock_guard lock(mutex_);
  Micros now = clock_.Now();
  MakeRoom(now);
  int open = static_cast<int>(sessions_.size());
  if (open - told_ >= limits_.connections || open >= limits_.connections + kEnding) return std::nullopt;
  sessions_.push_back({fd, Phase::kNew, now, false});
  return std::prev(sessions_.end());
}

// False when as many requests are read or answered as may be.
bool Server::Turn(Place place, Phase phase) {
  std::lock_guard lock(mutex_);
  if (phase == Phase::kBusy && place->phase != Phase::kBusy && busy_ >= limits_.requests) return false;
  busy_ += (phase == Phase::kBusy ? 1 : 0) - (place->phase == Phase::kBusy ? 1 : 0);
  place->phase = phase;
  place->since_us = clock_.Now();
  if (phase == Phase::kIdle && stopping_) ShutDownReading(place->fd);
  return true;
}

// Guards a connection that takes over this one's descriptor from being told to end in its place.
void Server::Release(Place place) {
  std::lock_guard lock(mutex_);
  place->fd = -1;
}

void Server::Leave(Place place) {
  std::lock_guard lock(mutex_);
  told_ -= place->told ? 1 : 0;
  busy_ -= place->phase == Phase::kBusy ? 1 : 0;
  sessions_.erase(place);
  left_.notify_all();
}

// Guards against clients that say nothing or never come to an end: a new connection owes its first request
// soon after connecting, later ones once they have begun.
Server::Came Server::ReadRequest(const Fd& client, Place place, std::string& pending, HttpParser& parser,
                                 Micros& received_us) {
  bool first = place->phase == Phase::kNew;  // only this thread changes it
  Micros until = place->since_us + (first ? kFirstWait : kIdleWait);
  while (true) {
    HttpParser::State state = parser.Feed(pending);
    if (state == HttpParser::State::kBad) return Came::kBad;
    if (state == HttpParser::State::kDone) {
      // One request at a time: of a flood written at once none is begun.
      return pending.empty() && Peek(client.Get()) != Sight::kBytes ? Came::kRequest : Came::kBad;
    }
    Io got = ReadSome(client, pending, until - clock_.Now());
    if (got == Io::kTimeout) return received_us > 0 ? Came::kLate : Came::kNothing;
    if (got != Io::kOk) return Came::kNothing;
    if (received_us > 0) continue;
    received_us = clock_.Now();
    if (!first) until = received_us + kRequestWait;
  }
}

// Whether the last answer on it is on its way: what the client has written meanwhile must not reset it.
bool Server::Serve(const Fd& client, Place place) try {
  std::string pending;
  bool close = false;
  while (!close) {
    HttpParser parser(HttpParser::Kind::kRequest);
    Exchange exchange{client.Get(), 0, false};
    Came came = ReadRequest(client, place, pending, parser, exchange.received_us);
    if (came == Came::kNothing) return false;  // it has gone, or said nothing
    std::optional<HttpResponse> response;
    if (came != Came::kRequest) {
      counters_.malformed.Add();
      response = handler_.Malformed();
      if (came == Came::kLate) response->status = 408;
      response->close = true;
    } else if (!Turn(place, Phase::kBusy)) {
      counters_.turned_away.Add();
      response = handler_.Overloaded();
    } else {
      exchange.draining = draining_;
      response = handler_.Handle(parser.message(), exchange);
    }
    if (!response) return false;
    close = response->close || parser.message().close || draining_;
    if (WriteAll(client, Format(*response, close), kWriteWait).status != Io::kOk) return false;
    if (!close) Turn(place, Phase::kIdle);
  }
  return true;
} catch (const std::exception& error) {
  log::Error("client connection: {}", error.what());
  return false;
}

void WaitingReply::Deliver(core::FinalAnswer answer) {
  std::lock_guard lock(mutex_);
  answer_ = std::move(answer);
  came_.notify_one();
}

WaitingReply::End WaitingReply::Wait(int client, const core::Clock& clock, Micros deadline_us) {
  std::unique_lock lock(mutex_);
  while (!answer_) {
    Micros left = deadline_us - clock.Now();
    if (left <= 0) return End::kLate;
    came_.wait_for(lock, std::chrono::microseconds(std::min(left, kLookWait)));
    if (answer_) break;
    Sight sight = Peek(client);
    if (sight == Sight::kEnd) return End::kGone;
    if (sight == Sight::kBytes) return End::kCrowded;
  }
  return End::kAnswered;
}

}  // namespace liftrudder::net
