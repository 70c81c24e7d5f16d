#include "net/server.h"

#include <sys/epoll.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <tuple>
#include <utility>

#include "log/log.h"

namespace liftrudder::net {
namespace {

constexpr int kSliceMs = 100;               // how often the door looks for what is overdue at least,
constexpr int kLastSliceMs = 10;            // while it is ending
constexpr Micros kLook = 20'000;            // and at most
constexpr Micros kFirstWait = 2'000'000;    // from connecting to the end of the first request: 3 s are owed
constexpr Micros kRequestWait = 2'000'000;  // for the rest of a later request that has begun
constexpr Micros kIdleWait = 2'000'000;
constexpr Micros kShortIdle = 200'000;  // and no longer than this while clients hold most of what they may
constexpr Micros kWriteWait = 2'000'000;
// Near the cap connections are closed that have stood idle, or mute, for longer than this; at the cap any.
constexpr Micros kOldIdle = 2'000'000;
constexpr Micros kOldMute = 500'000;
constexpr Micros kYoung = 50'000;  // a new connection may be silent for so long and count as any other
constexpr std::chrono::seconds kWorkerWait(2);
constexpr int kShakingShare = 4;           // of the connections: so many may be in a handshake
constexpr Micros kFrontHears = 400'000;    // a front asks every 0.1 s, and sends new connections 0.2 s more
constexpr int kLingering = 20;             // connections ended by us that are read to their end
constexpr int kAtOnce = 64;                // connections taken, and events, in one turn
constexpr std::size_t kMostRead = 131072;  // bytes of one client in one turn
constexpr std::uint64_t kListener = 0;     // no session's number

}  // namespace

Server::Server(Fd listener, Handler& handler, const coordinator::Clock& clock, metrics::Counters& counters,
               const ServerLimits& limits, const TlsSource* tls)
    : listener_(std::move(listener)),
      handler_(handler),
      clock_(clock),
      counters_(counters),
      most_connections_(limits.connections),
      most_requests_(limits.requests),
      tls_(tls),
      lingering_closer_(kLingering),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  epoll_event event{EPOLLIN, {}};
  event.data.u64 = kListener;
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, listener_.Get(), &event);
  reader_thread_ = Thread([this] { RunReader(); });
}

Server::~Server() {
  Drain();
  StopListening();
  while (!WaitClosed(kRequestWait)) log::Error("client connections stay open");
  reader_thread_.Join();
}

void Server::Resize(const ServerLimits& limits) {
  most_connections_ = limits.connections;
  most_requests_ = limits.requests;
}

bool Server::SetAside(bool aside) {
  Micros was = aside_us_.exchange(0);
  if (aside) aside_us_ = was != 0 ? was : std::max<Micros>(1, clock_.Now());
  return aside != (was != 0);
}

// Whether connections are to end behind their next answer. Not at once: who is sent off too soon is dealt out
// here again by a front that has not asked yet.
bool Server::Leaving() const {
  Micros since = aside_us_;
  return left_listener_ || (since != 0 && clock_.Now() - since >= kFrontHears);
}

void Server::StopListening() {
  std::lock_guard lock(mutex_);
  stopping_ = true;
  work_.notify_all();
}

// The process ends after this: answers that their clients have not taken in yet would be lost with it.
bool Server::WaitClosed(Micros wait_us) {
  Micros until = clock_.Now() + wait_us;
  {
    std::unique_lock lock(mutex_);
    bool closed = left_.wait_for(lock, std::chrono::microseconds(wait_us),
                                 [this] { return sessions_.empty() && workers_ == 0 && reader_ended_; });
    if (!closed) return false;
  }
  return lingering_closer_.WaitEmpty(std::max<Micros>(0, until - clock_.Now()));
}

void Server::RunReader() {
  bool listening = true;
  while (true) {
    bool last = stopping_;  // looked at before the events: what came until then is taken in below
    epoll_event events[kAtOnce];
    int got = ::epoll_wait(epoll_.Get(), events, kAtOnce, last ? kLastSliceMs : kSliceMs);
    bool knock = false;
    for (int i = 0; i < got; ++i) {
      if (events[i].data.u64 == kListener) {
        knock = true;
      } else {
        Happened(events[i].data.u64, (events[i].events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0);
      }
    }
    if (tls_ != nullptr) LimitShaking();
    if (left_listener_ && listening) {
      ::epoll_ctl(epoll_.Get(), EPOLL_CTL_DEL, listener_.Get(), nullptr);
      listening = false;
    }
    if (knock && listening) TakeIn();
    EndOverdue(clock_.Now());
    if (!last) continue;
    if (listening) {
      // Who stands in the backlog has been let in by the kernel: a close would reset it, request and all.
      while (TakeIn()) {
      }
      listening = false;
    }
    listener_ = Fd();
    lingering_closer_.Resize(static_cast<std::size_t>(std::max(1, most_connections_.load())));
    if (EndUnused(clock_.Now())) break;
  }
  std::lock_guard lock(mutex_);
  reader_ended_ = true;
  left_.notify_all();
}

// While ending: ends what has no request on it, and whether nothing is left. What has come, also a part of a
// request, is waited for and answered, and a connection just made gets a moment for its request.
bool Server::EndUnused(Micros now) {
  std::vector<Place> waiting;
  {
    std::lock_guard lock(mutex_);
    for (Place place = sessions_.begin(); place != sessions_.end(); ++place) {
      if (place->phase != Phase::kBusy) waiting.push_back(place);
    }
  }
  for (Place place : waiting) {
    bool young = place->phase == Phase::kNew && now - place->since_us < kShortIdle;
    if (young || place->received_us != 0) continue;  // the poll tells of what comes
    if (Peek(place->line.fd()) == Sight::kBytes) {
      Receive(place);
    } else {
      Remove(place).Finish();
    }
  }
  std::lock_guard lock(mutex_);
  return sessions_.empty();
}

// Whether there may be more to take in.
bool Server::TakeIn() {
  for (int i = 0; i < kAtOnce; ++i) {
    Fd accepted = Accept(listener_, 0);
    if (!accepted.Valid()) return false;
    ClientConnection client(std::move(accepted), tls_);
    Micros now = clock_.Now();
    if (!MakeRoom(now)) {
      TurnAway(std::move(client));
      continue;
    }
    Place place;
    {
      std::lock_guard lock(mutex_);
      place = sessions_.emplace(sessions_.end());
      place->number = ++given_;
      places_[place->number] = place;
    }
    place->line = std::move(client);
    place->since_us = now;
    place->until_us = now + kFirstWait;
    Arm(*place, EPOLL_CTL_ADD, EPOLLIN);
  }
  return true;
}

void Server::Arm(const Session& session, int how, std::uint32_t what) {
  epoll_event event{what | EPOLLRDHUP | EPOLLONESHOT, {}};
  event.data.u64 = session.number;
  ::epoll_ctl(epoll_.Get(), how, session.line.fd(), &event);
}

// Its worker may have ended a busy connection, or made it idle, since the poll saw something there.
void Server::Happened(Number number, bool gone) {
  std::shared_ptr<ReplyWaiter> reply_waiter;
  Place place;
  {
    std::lock_guard lock(mutex_);
    auto found = places_.find(number);
    if (found == places_.end()) return;
    place = found->second;
    if (place->phase == Phase::kBusy) reply_waiter = place->reply_waiter;
    // Bytes that stay unread until the worker looks must not hide that their client leaves.
    if (reply_waiter != nullptr && !gone) Arm(*place, EPOLL_CTL_MOD, 0);
  }
  if (reply_waiter != nullptr) return reply_waiter->Stir(gone);
  Receive(place);
}

void Server::TurnAway(ClientConnection client) {
  counters_.rejected_at_intake.Add();
  client.Write(Format(handler_.Overloaded(nullptr), true), 0);
  lingering_closer_.Take(client.Finish());
}

// Guards against handshakes that are begun and left: each holds some 50 KB, and they may not fill the memory.
// Looked at after each turn, whatever began them: also connections that were mute for a while. Those that
// came first make room; a client at work is through in a round trip or two.
void Server::LimitShaking() {
  std::vector<Place> shaking;
  {
    std::lock_guard lock(mutex_);
    for (Place one = sessions_.begin(); one != sessions_.end(); ++one) {
      if (one->phase != Phase::kBusy && one->line.Shaking()) shaking.push_back(one);
    }
  }
  // In the list in the order in which they came.
  auto most = static_cast<std::size_t>(std::max(1, most_connections_ / kShakingShare));
  for (std::size_t i = 0; i + most < shaking.size(); ++i) {
    counters_.evicted.Add();
    Remove(shaking[i]).Finish();
  }
}

ClientConnection Server::Remove(Place place) {
  std::lock_guard lock(mutex_);
  // The connection may live on at the lingerer: its events must not name a session that is gone.
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_DEL, place->line.fd(), nullptr);
  ClientConnection line = std::move(place->line);
  busy_ -= place->phase == Phase::kBusy ? 1 : 0;
  places_.erase(place->number);
  sessions_.erase(place);
  left_.notify_all();
  return line;
}

// The last answer on it: what the client has written meanwhile must not turn that into a reset.
void Server::Reject(Place place, const HttpResponse& response) {
  place->line.Write(Format(response, true), 0);
  lingering_closer_.Take(Remove(place).Finish());
}

// Guards against connections held for nothing: mute ones, and those of clients that asked once and stay. Mute
// ones go first, also in a flood of them: a client whose connection is taken from it comes back and adds to
// the flood. One on which bytes wait is about to be used.
bool Server::MakeRoom(Micros now) {
  auto worst = sessions_.end();
  auto rank = [now](const Session& session) {
    bool idle = session.phase == Phase::kIdle;
    bool old = now - session.since_us > (idle ? kOldIdle : kOldMute);
    bool mute = !idle && now - session.since_us > kYoung;
    return std::tuple(old, mute, idle, now - session.since_us);
  };
  bool full = false;
  {
    std::lock_guard lock(mutex_);
    int open = static_cast<int>(sessions_.size());
    if (open < most_connections_ * 3 / 4) return true;
    full = open >= most_connections_;
    for (Place one = sessions_.begin(); one != sessions_.end(); ++one) {
      if (one->phase == Phase::kBusy || (worst != sessions_.end() && rank(*one) <= rank(*worst))) continue;
      if (Peek(one->line.fd()) != Sight::kBytes) worst = one;
    }
  }
  if (worst == sessions_.end()) return !full;
  if (!full && !std::get<0>(rank(*worst))) return true;
  counters_.evicted.Add();
  Remove(worst).Finish();
  return true;
}

// Guards against clients that say nothing or never come to an end: a new connection owes its first request
// soon after connecting, later ones once they have begun. And against clients that ask once and stay: they
// may hold only as many connections as requests, and idle ones would keep the next ones out.
void Server::EndOverdue(Micros now) {
  if (now - looked_us_ < kLook) return;
  looked_us_ = now;
  std::vector<Place> overdue, idle;
  bool leaving = aside_us_ != 0 && Leaving();
  {
    std::lock_guard lock(mutex_);
    int answered_queries = 0;
    for (Place one = sessions_.begin(); one != sessions_.end(); ++one) {
      answered_queries += one->phase != Phase::kNew ? 1 : 0;
      if (one->phase == Phase::kBusy) continue;
      if (now >= one->until_us) {
        overdue.push_back(one);
      } else if (leaving && one->received_us == 0 && now - one->since_us > kShortIdle &&
                 Peek(one->line.fd()) == Sight::kNothing) {
        overdue.push_back(one);
      } else if (one->phase == Phase::kIdle && one->received_us == 0 && now - one->since_us > kShortIdle) {
        idle.push_back(one);
      }
    }
    std::ranges::sort(idle, {}, [](Place one) { return one->since_us; });
    int beyond = static_cast<int>(sessions_.size()) - most_connections_;
    int due = std::max({0, answered_queries - most_requests_ / 2, beyond});
    idle.resize(std::min(idle.size(), static_cast<std::size_t>(due)));
  }
  counters_.evicted.Add(static_cast<std::int64_t>(idle.size()));
  overdue.insert(overdue.end(), idle.begin(), idle.end());
  for (Place place : overdue) {
    if (place->received_us == 0) {
      Remove(place).Finish();
      continue;
    }
    counters_.malformed.Add();
    Reject(place, handler_.Malformed(408));
  }
}

void Server::Receive(Place place) try {
  // What a worker left in the session is seen from here on: it armed the connection under the lock.
  { std::lock_guard lock(mutex_); }
  std::size_t taken = 0;
  while (true) {
    Io got = place->line.Read(place->pending);
    if (got == Io::kTimeout) return Arm(*place, EPOLL_CTL_MOD, EPOLLIN);
    if (got != Io::kOk) return static_cast<void>(Remove(place));
    if (place->received_us == 0) {
      place->received_us = clock_.Now();
      if (place->phase == Phase::kIdle) place->until_us = place->received_us + kRequestWait;
    }
    taken += place->pending.size();
    HttpParser::State state = place->parser.Feed(place->pending);
    // One request at a time: of a flood written at once none is begun.
    bool done = state == HttpParser::State::kDone;
    bool more = done && (!place->pending.empty() || place->line.See() == Sight::kBytes);
    if (state == HttpParser::State::kBad || more) {
      counters_.malformed.Add();
      return Reject(place, handler_.Malformed(400));
    }
    if (done) return HandOver(place);
    if (taken > kMostRead) return Arm(*place, EPOLL_CTL_MOD, EPOLLIN);
  }
} catch (const std::exception& error) {
  log::Error("client connection: {}", error.what());
  Remove(place);
}

void Server::HandOver(Place place) {
  std::unique_lock lock(mutex_);
  bool room = busy_ < most_requests_;
  if (room && idle_workers_ <= static_cast<int>(ready_.size())) {
    room = Detach([this] { Work(); });
    workers_ += room ? 1 : 0;
  }
  if (room) {
    ++busy_;
    place->phase = Phase::kBusy;
    // The number finds this connection only: by the time it is looked at again another may have its
    // descriptor.
    place->reply_waiter = std::make_shared<ReplyWaiter>([this, number = place->number] {
      std::lock_guard again(mutex_);
      auto found = places_.find(number);
      if (found != places_.end()) Arm(*found->second, EPOLL_CTL_MOD, EPOLLIN);
    });
    Arm(*place, EPOLL_CTL_MOD, EPOLLIN);
    ready_.push_back(place);
    work_.notify_one();
    return;
  }
  lock.unlock();
  counters_.rejected_at_intake.Add();
  if (place->line.Write(Format(handler_.Overloaded(&place->parser.message()), false), 0).status != Io::kOk) {
    Remove(place);
  } else {
    Restart(place);
  }
}

// The connection waits for its next request.
void Server::Restart(Place place) {
  std::unique_lock lock(mutex_);
  if (stopping_ && place->phase == Phase::kBusy) {
    lock.unlock();
    return lingering_closer_.Take(Remove(place).Finish());
  }
  busy_ -= place->phase == Phase::kBusy ? 1 : 0;
  place->phase = Phase::kIdle;
  place->since_us = clock_.Now();
  place->until_us = place->since_us + kIdleWait;
  place->received_us = 0;
  place->parser = HttpParser(HttpParser::Kind::kRequest);
  place->reply_waiter = nullptr;
  Arm(*place, EPOLL_CTL_MOD, EPOLLIN);
}

void Server::Work() {
  std::vector<AnsweredQuery> answered_queries;
  std::unique_lock lock(mutex_);
  while (true) {
    if (ready_.empty()) {
      ++idle_workers_;
      work_.wait_for(lock, kWorkerWait, [this] { return !ready_.empty() || stopping_; });
      --idle_workers_;
    }
    if (ready_.empty()) break;
    Place place = ready_.front();
    ready_.pop_front();
    lock.unlock();
    answered_queries.clear();
    Answer(place, answered_queries);
    lock.lock();
  }
  --workers_;
  left_.notify_all();
}

void Server::Answer(Place place, std::vector<AnsweredQuery>& answered_queries) try {
  Exchange exchange{&place->line, place->received_us, !Ready(), &answered_queries, place->reply_waiter};
  auto response = handler_.Handle(place->parser.message(), exchange);
  if (!response) return static_cast<void>(Remove(place));
  // Told to end, we still serve those who are connected until new ones are turned away: sent off at once,
  // they would find nobody where another gatherer is just being replaced as well.
  bool close = response->close || place->parser.message().close || stopping_ || Leaving();
  std::string text = Format(*response, close);
  Written written = place->line.Write(text, kWriteWait);
  handler_.Wrote(answered_queries, response->status, written.bytes, written.status == Io::kOk);
  if (written.status != Io::kOk) {
    Remove(place);
  } else if (close) {
    lingering_closer_.Take(Remove(place).Finish());
  } else {
    Restart(place);
  }
} catch (const std::exception& error) {
  log::Error("client connection: {}", error.what());
  Remove(place);
}

void ReplyWaiter::Stir(bool gone) {
  if (gone) client_->MarkDisconnected();
  std::lock_guard lock(mutex_);
  stirred_ = true;
  came_.notify_one();
}

void WaitingReply::Deliver(coordinator::FinalAnswer answer) {
  std::lock_guard lock(reply_waiter_->mutex_);
  answer_ = std::move(answer);
  reply_waiter_->came_.notify_one();
}

WaitingReply::End WaitingReply::Wait(ClientConnection& client, const coordinator::Clock& clock,
                                     Micros deadline_us) {
  std::unique_lock lock(reply_waiter_->mutex_);
  while (!answer_) {
    Micros left = deadline_us - clock.Now();
    if (left <= 0) return End::kLate;
    if (!std::exchange(reply_waiter_->stirred_, false)) {
      reply_waiter_->came_.wait_for(lock, std::chrono::microseconds(left));
      continue;
    }
    lock.unlock();
    Sight sight = client.See();
    if (sight == Sight::kEnd) reply_waiter_->client_->MarkDisconnected();
    if (sight == Sight::kNothing) reply_waiter_->look_again_();
    if (sight == Sight::kEnd) return End::kGone;
    if (sight == Sight::kBytes) return End::kCrowded;
    lock.lock();
  }
  return End::kAnswered;
}

}  // namespace liftrudder::net
