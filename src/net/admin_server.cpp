#include "net/admin_server.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <exception>

#include "log/log.h"

namespace liftrudder::net {
namespace {

constexpr int kAtOnce = 16;
constexpr int kLookMs = 100;  // how often it looks for callers that are overdue, while there are any
constexpr Micros kCallWait = 1'500'000;    // from connecting to the end of the call
constexpr Micros kLingerWait = 1'000'000;  // from the answer to the caller's end
constexpr std::size_t kMostBody = 4096;    // a call has none that is of use
constexpr std::size_t kMostPending = kMaxHeadBytes + kMostBody;

}  // namespace

AdminServer::Caller::Caller() : parser(HttpParser::Kind::kRequest, kMostBody) {}

AdminServer::AdminServer(Fd listener, Answer answer)
    : answer_(std::move(answer)),
      listener_(std::move(listener)),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      waker_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{EPOLLIN, {nullptr}};
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, listener_.Get(), &event);
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, waker_.Get(), &event);
  thread_ = Thread([this] { Loop(); });
}

AdminServer::~AdminServer() {
  stopping_ = true;
  std::uint64_t one = 1;
  [[maybe_unused]] ssize_t written = ::write(waker_.Get(), &one, sizeof one);
  thread_.Join();
}

void AdminServer::Loop() {
  while (!stopping_) {
    epoll_event events[kAtOnce];
    // Nobody there: it sleeps until somebody comes. A share of a core is not to be spent on looking.
    int got = ::epoll_wait(epoll_.Get(), events, kAtOnce, authenticator_.empty() ? -1 : kLookMs);
    bool knock = false;
    for (int i = 0; i < got; ++i) {
      if (events[i].data.ptr == nullptr) {
        knock = true;
        continue;
      }
      auto* caller = static_cast<Caller*>(events[i].data.ptr);
      try {
        Handle(*caller);
      } catch (const std::exception& error) {
        log::Error("call: {}", error.what());
        authenticator_.erase(caller->self);
      }
    }
    // After the events: taking one in may end another, of which an event could be left.
    if (knock) TakeIn();
    EndOverdue(clock_.Now());
  }
}

// At the cap whoever came first makes room: it has had the most time to say something.
void AdminServer::TakeIn() {
  for (int i = 0; i < kAtOnce; ++i) {
    Fd taken = Accept(listener_, 0);
    if (!taken.Valid()) return;
    if (authenticator_.size() >= kMostCallers) authenticator_.pop_front();
    auto place = authenticator_.emplace(authenticator_.end());
    place->self = place;
    place->fd = std::move(taken);
    place->until_us = clock_.Now() + kCallWait;
    epoll_event event{EPOLLIN | EPOLLRDHUP, {&*place}};
    ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, place->fd.Get(), &event);
  }
}

void AdminServer::Handle(Caller& caller) {
  if (caller.answered) {
    auto dropped = Discard(caller.fd, kMostPending);
    if (!dropped || *dropped >= kMostPending) authenticator_.erase(caller.self);
    return;
  }
  Io got = ReadNow(caller.fd, caller.pending);
  if (got == Io::kTimeout) return;
  if (got != Io::kOk) return static_cast<void>(authenticator_.erase(caller.self));
  HttpParser::State state = caller.parser.Feed(caller.pending);
  HttpResponse bad;
  bad.status = 400;
  bad.body = "{\"error\":\"the call cannot be read\"}";
  if (state == HttpParser::State::kBad || caller.pending.size() > kMostPending) return Reply(caller, bad);
  if (state == HttpParser::State::kDone) Reply(caller, answer_(caller.parser.message()));
}

// An answer fits into any socket's buffer; who takes nothing in gets no second try.
void AdminServer::Reply(Caller& caller, const HttpResponse& response) {
  if (WriteAll(caller.fd, Format(response, true), 0).status != Io::kOk)
    return static_cast<void>(authenticator_.erase(caller.self));
  ShutDownWriting(caller.fd);
  caller.answered = true;
  caller.until_us = clock_.Now() + kLingerWait;
}

void AdminServer::EndOverdue(Micros now) {
  std::erase_if(authenticator_, [now](const Caller& caller) { return now >= caller.until_us; });
}

}  // namespace liftrudder::net
