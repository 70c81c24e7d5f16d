#include "net/server.h"

#include <sys/epoll.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "log/log.h"

namespace liftrudder::net {
namespace {

constexpr Micros kIdleTimeoutUs = 2'000'000;
constexpr Micros kWriteTimeoutUs = 2'000'000;
constexpr Micros kCloseReportIntervalUs = 2'000'000;
// A load balancer polls readiness every 0.1 s and sends new connections for up to 0.2 s after it has noticed.
constexpr Micros kAdminDrainDelayUs = 400'000;
constexpr int kMaxLingeringConnections = 20;  // closed connections that are still read to their end

}  // namespace

Server::Server(Fd listener, Handler& handler, const coordinator::Clock& clock, metrics::Counters& counters,
               const ServerLimits& limits, const ReloadableTlsContext* tls)
    : listener_(std::move(listener)),
      handler_(handler),
      clock_(clock),
      counters_(counters),
      max_connections_(limits.connections),
      max_requests_(limits.requests),
      tls_(tls),
      lingering_closer_(kMaxLingeringConnections),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      workers_(mutex_, closed_, [this](SessionRef session) { Answer(session); }) {
  epoll_event event{EPOLLIN, {}};
  event.data.u64 = kListenerEvent;
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, listener_.Get(), &event);
  reader_thread_ = Thread([this] { RunReader(); });
}

Server::~Server() {
  Drain();
  StopListening();
  while (!WaitClosed(kCloseReportIntervalUs)) log::Error("shutdown waits for client connections to end");
  reader_thread_.Join();
}

void Server::Resize(const ServerLimits& limits) {
  max_connections_ = limits.connections;
  max_requests_ = limits.requests;
}

bool Server::SetAdminDrain(bool draining) {
  Micros since_us = admin_drain_since_us_.exchange(0);
  bool was_draining = since_us != 0;
  if (draining) admin_drain_since_us_ = was_draining ? since_us : std::max<Micros>(1, clock_.Now());
  return draining != was_draining;
}

// A drain by an operator closes connections only after a delay: a load balancer that has not noticed the
// drain yet would send the client's next connection here again.
bool Server::ClosesAfterResponse() const {
  Micros since_us = admin_drain_since_us_;
  bool admin_drained = since_us != 0 && clock_.Now() - since_us >= kAdminDrainDelayUs;
  return accepting_stopped_ || admin_drained;
}

void Server::StopListening() {
  std::lock_guard lock(mutex_);
  stopping_ = true;
  workers_.Stop();
}

// Also waits for lingering connections: a response that its client has not received would be lost when the
// process exits.
bool Server::WaitClosed(Micros wait_us) {
  Micros until_us = clock_.Now() + wait_us;
  {
    std::unique_lock lock(mutex_);
    bool closed = closed_.wait_for(lock, std::chrono::microseconds(wait_us), [this] {
      return sessions_.empty() && workers_.AllThreadsEnded() && reader_ended_;
    });
    if (!closed) return false;
  }
  return lingering_closer_.WaitEmpty(std::max<Micros>(0, until_us - clock_.Now()));
}

// ---- A worker's thread ----

void Server::Answer(SessionRef session) {
  try {
    Respond(session);
  } catch (const std::exception& error) {
    log::Error("error while answering a request, closing its client connection: {}", error.what());
    Remove(session);
  }
}

void Server::Respond(SessionRef session) {
  std::vector<AnsweredQuery> answered_queries;
  Exchange exchange{&session->connection, session->complete_us, !Ready(), &answered_queries,
                    session->reply_waiter};
  std::optional<HttpResponse> response = handler_.Handle(session->parser.message(), exchange);
  if (!response) {
    Remove(session);
    return;
  }
  // A draining server keeps connections open until it stops listening: a client that is disconnected earlier
  // may find no other coordinator while several are being replaced.
  bool close = response->close || session->parser.message().close || stopping_ || ClosesAfterResponse();
  WriteResult written = session->connection.Write(Format(*response, close), kWriteTimeoutUs);
  bool complete = written.status == IoStatus::kOk;
  handler_.OnResponseWritten(answered_queries, response->status, written.bytes, complete);
  if (!complete) {
    Remove(session);
  } else if (close) {
    CloseGracefully(session);
  } else {
    AwaitNextRequest(session);
  }
}

// ---- Either thread, on a session that it owns ----

void Server::AwaitNextRequest(SessionRef session) {
  std::unique_lock lock(mutex_);
  // Unless the next request has begun to arrive: the reader thread reads it then, and it is answered.
  if (stopping_ && session->phase == SessionPhase::kBusy &&
      Peek(session->connection.fd()) != SocketState::kBytes) {
    lock.unlock();
    CloseGracefully(session);
    return;
  }
  busy_sessions_ -= session->phase == SessionPhase::kBusy ? 1 : 0;
  session->phase = SessionPhase::kIdle;
  session->phase_since_us = clock_.Now();
  session->request_deadline_us = session->phase_since_us + kIdleTimeoutUs;
  session->received_us = 0;
  session->parser = HttpParser(HttpParser::Kind::kRequest);
  if (session->reply_waiter != nullptr) session->reply_waiter->Detach();
  session->reply_waiter = nullptr;
  AwaitReadable(*session);
}

ClientConnection Server::Remove(SessionRef session) {
  std::lock_guard lock(mutex_);
  // The lingering closer may keep the descriptor open, and its events must not refer to a removed session.
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_DEL, session->connection.fd(), nullptr);
  if (session->reply_waiter != nullptr) session->reply_waiter->Detach();
  ClientConnection connection = std::move(session->connection);
  busy_sessions_ -= session->phase == SessionPhase::kBusy ? 1 : 0;
  sessions_by_id_.erase(session->id);
  sessions_.erase(session);
  closed_.notify_all();
  return connection;
}

// Called after the last response on a connection: bytes that the client sends meanwhile must not cause a
// reset that loses it.
void Server::CloseGracefully(SessionRef session) { lingering_closer_.Take(Remove(session).Finish()); }

void Server::Control(int operation, const ClientSession& session, std::uint32_t interest) const {
  epoll_event event{interest | EPOLLRDHUP | EPOLLONESHOT, {}};
  event.data.u64 = session.id;
  ::epoll_ctl(epoll_.Get(), operation, session.connection.fd(), &event);
}

void Server::AwaitReadable(const ClientSession& session) const { Control(EPOLL_CTL_MOD, session, EPOLLIN); }

}  // namespace liftrudder::net
