// The reader thread's part of Server: accepts connections, reads requests, and closes sessions that are
// unused or expired.
#include <sys/epoll.h>

#include <algorithm>
#include <exception>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "log/log.h"
#include "net/server.h"
#include "net/session_eviction.h"

namespace liftrudder::net {
namespace {

constexpr int kPollMs = 100;  // longest time between checks for expired sessions
constexpr int kStoppingPollMs = 10;
constexpr Micros kMinExpiryCheckIntervalUs = 20'000;
constexpr Micros kFirstRequestTimeoutUs = 2'000'000;  // from accept to the end of the first request
constexpr Micros kRequestTimeoutUs = 2'000'000;       // from the first byte of a later request to its end
constexpr int kMaxPerTurn = 64;                       // events and accepted connections per loop iteration
constexpr std::size_t kMaxReadBytes = 131072;         // from one client per loop iteration

}  // namespace

void Server::RunReader() {
  bool accepting = true;
  while (true) {
    bool stopping = stopping_;  // read first: connections that have arrived by now are accepted below
    bool connection_pending = HandleEvents(stopping ? kStoppingPollMs : kPollMs);
    if (tls_ != nullptr) LimitHandshakes();
    if (accepting_stopped_ && accepting) {
      ::epoll_ctl(epoll_.Get(), EPOLL_CTL_DEL, listener_.Get(), nullptr);
      accepting = false;
    }
    if (connection_pending && accepting) AcceptSome();
    RejectUnfinished(clock_.Now());
    CloseExpired(clock_.Now());
    if (!stopping) continue;
    if (accepting) {
      // Connections in the backlog are already established: closing the listener would reset them.
      while (AcceptSome()) {
      }
      accepting = false;
    }
    listener_ = Fd();
    lingering_closer_.Resize(static_cast<std::size_t>(std::max(1, max_connections_.load())));
    bool all_closed = CloseUnused(clock_.Now());
    if (all_closed) break;
  }
  std::lock_guard lock(mutex_);
  reader_ended_ = true;
  closed_.notify_all();
}

// Handles the events of sessions; returns whether there was one on the listener.
bool Server::HandleEvents(int wait_ms) {
  epoll_event events[kMaxPerTurn];
  int count = ::epoll_wait(epoll_.Get(), events, kMaxPerTurn, wait_ms);
  bool connection_pending = false;
  for (int i = 0; i < count; ++i) {
    if (events[i].data.u64 == kListenerEvent) {
      connection_pending = true;
    } else {
      bool disconnected = (events[i].events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
      HandleSessionEvent(events[i].data.u64, disconnected);
    }
  }
  return connection_pending;
}

// The worker may have closed the connection, or set it idle, since the event was reported.
void Server::HandleSessionEvent(SessionId id, bool disconnected) {
  std::shared_ptr<ReplyWaiter> reply_waiter;
  SessionRef session;
  {
    std::lock_guard lock(mutex_);
    auto found = sessions_by_id_.find(id);
    if (found == sessions_by_id_.end()) return;
    session = found->second;
    if (session->phase == SessionPhase::kBusy) reply_waiter = session->reply_waiter;
    // Watch only for a disconnection now: unread bytes would report the connection as readable repeatedly
    // until the worker checks it.
    if (reply_waiter != nullptr && !disconnected) Control(EPOLL_CTL_MOD, *session, 0);
  }
  if (reply_waiter != nullptr) {
    reply_waiter->NotifyEvent(disconnected);
  } else {
    Receive(session);
  }
}

// Returns whether there may be more connections to accept.
bool Server::AcceptSome() {
  for (int i = 0; i < kMaxPerTurn; ++i) {
    Fd accepted = Accept(listener_, 0);
    if (!accepted.Valid()) return false;
    ClientConnection connection(std::move(accepted), tls_);
    Micros now_us = clock_.Now();
    AdmissionDecision decision;
    {
      std::lock_guard lock(mutex_);
      decision = AdmitConnection(sessions_, max_connections_, now_us);
    }
    if (decision.evict) {
      counters_.connections_evicted.Add();
      Remove(*decision.evict).Finish();
    }
    if (decision.admit) {
      AddSession(std::move(connection), now_us);
    } else {
      RejectConnection(std::move(connection));
    }
  }
  return true;
}

void Server::AddSession(ClientConnection connection, Micros now_us) {
  SessionRef session;
  {
    std::lock_guard lock(mutex_);
    session = sessions_.emplace(sessions_.end());
    session->id = ++last_id_;
    sessions_by_id_[session->id] = session;
  }
  session->connection = std::move(connection);
  session->phase_since_us = now_us;
  session->request_deadline_us = now_us + kFirstRequestTimeoutUs;
  Control(EPOLL_CTL_ADD, *session, EPOLLIN);
}

void Server::RejectConnection(ClientConnection connection) {
  counters_.rejected_at_intake.Add();
  connection.Write(Format(handler_.OverloadedResponse(nullptr), true), 0);
  lingering_closer_.Take(connection.Finish());
}

// While stopping: closes sessions without a request and returns whether no session is left. Waits for a
// request that has begun to arrive (see RejectUnfinished), and gives a newly accepted connection kMinIdleUs
// to send one.
bool Server::CloseUnused(Micros now_us) {
  for (auto session : OwnedSessions()) {
    bool just_accepted =
        session->phase == SessionPhase::kNew && now_us - session->phase_since_us < kMinIdleUs;
    bool request_begun = session->received_us != 0;
    if (just_accepted || request_begun) continue;
    if (Peek(session->connection.fd()) == SocketState::kBytes) {
      Receive(session);
    } else {
      Remove(session).Finish();
    }
  }
  std::lock_guard lock(mutex_);
  return sessions_.empty();
}

// The sessions that the reader thread owns.
std::vector<SessionRef> Server::OwnedSessions() {
  std::vector<SessionRef> owned;
  std::lock_guard lock(mutex_);
  for (auto session = sessions_.begin(); session != sessions_.end(); ++session) {
    if (session->phase != SessionPhase::kBusy) owned.push_back(session);
  }
  return owned;
}

void Server::RejectUnfinished(Micros now_us) {
  if (now_us < answer_by_us_) return;
  for (auto session : OwnedSessions()) {
    if (session->received_us == 0) continue;
    counters_.rejected_at_intake.Add();
    RejectAndClose(session, handler_.ShuttingDownResponse());
  }
}

void Server::CloseExpired(Micros now_us) {
  if (now_us - last_expiry_check_us_ < kMinExpiryCheckIntervalUs) return;
  last_expiry_check_us_ = now_us;
  ExpiryRules rules;
  rules.close_idle = admin_drain_since_us_ != 0 && ClosesAfterResponse();
  ExpiredSessions found;
  {
    std::lock_guard lock(mutex_);
    rules.max_connections = max_connections_;
    rules.max_requests = max_requests_;
    found = FindExpired(sessions_, rules, now_us);
  }
  counters_.connections_evicted.Add(static_cast<std::int64_t>(found.evicted.size()));
  for (auto session : found.expired) {
    if (session->received_us == 0) {
      Remove(session).Finish();
      continue;
    }
    counters_.malformed_requests.Add();
    RejectAndClose(session, handler_.MalformedResponse(408));
  }
  for (auto session : found.evicted) Remove(session).Finish();
}

void Server::LimitHandshakes() {
  std::vector<SessionRef> excess;
  {
    std::lock_guard lock(mutex_);
    excess = FindExcessHandshakes(sessions_, max_connections_);
  }
  for (auto session : excess) {
    counters_.connections_evicted.Add();
    Remove(session).Finish();
  }
}

void Server::Receive(SessionRef session) {
  try {
    // Synchronizes with the worker that owned the session before and rearmed the connection under the lock.
    { std::lock_guard lock(mutex_); }
    bool complete = ReadRequest(session);
    if (complete) Submit(session);
  } catch (const std::exception& error) {
    log::Error("error while reading a request, closing its client connection: {}", error.what());
    Remove(session);
  }
}

// Reads the bytes that have arrived. Returns true if a request is complete; otherwise the session waits for
// more or was closed.
bool Server::ReadRequest(SessionRef session) {
  std::size_t read_bytes = 0;
  while (read_bytes <= kMaxReadBytes) {
    IoStatus status = session->connection.Read(session->unparsed);
    if (status == IoStatus::kTimeout) break;
    if (status != IoStatus::kOk) {
      Remove(session);
      return false;
    }
    if (session->received_us == 0) {
      session->received_us = clock_.Now();
      if (session->phase == SessionPhase::kIdle) {
        session->request_deadline_us = session->received_us + kRequestTimeoutUs;
      }
    }
    read_bytes += session->unparsed.size();
    HttpParser::State state = session->parser.Feed(session->unparsed);
    bool complete = state == HttpParser::State::kDone;
    // Pipelining is not supported: if several requests are sent at once, none is run.
    bool pipelined =
        complete && (!session->unparsed.empty() || session->connection.Probe() == SocketState::kBytes);
    if (state == HttpParser::State::kBad || pipelined) {
      counters_.malformed_requests.Add();
      RejectAndClose(session, handler_.MalformedResponse(400));
      return false;
    }
    if (complete) {
      session->complete_us = clock_.Now();
      return true;
    }
  }
  AwaitReadable(*session);
  return false;
}

// Hands a complete request to a worker, or rejects it.
void Server::Submit(SessionRef session) {
  if (TrySubmit(session)) return;
  counters_.rejected_at_intake.Add();
  std::string response = Format(handler_.OverloadedResponse(&session->parser.message()), false);
  if (session->connection.Write(response, 0).status != IoStatus::kOk) {
    Remove(session);
  } else {
    AwaitNextRequest(session);
  }
}

// Returns false at the limit on requests, or if there is no thread for this one.
bool Server::TrySubmit(SessionRef session) {
  std::lock_guard lock(mutex_);
  bool accepted = busy_sessions_ < max_requests_ && workers_.Reserve();
  if (!accepted) return false;
  ++busy_sessions_;
  session->phase = SessionPhase::kBusy;
  session->reply_waiter = NewReplyWaiter(*session);
  AwaitReadable(*session);
  workers_.Submit(session);
  return true;
}

// The callback holds the session's id instead of its descriptor, which may belong to another connection by
// the time it is used.
std::shared_ptr<ReplyWaiter> Server::NewReplyWaiter(const ClientSession& session) {
  auto rearm = [this, id = session.id] {
    std::lock_guard lock(mutex_);
    auto found = sessions_by_id_.find(id);
    if (found != sessions_by_id_.end()) AwaitReadable(*found->second);
  };
  return std::make_shared<ReplyWaiter>(rearm, session.connection.fd());
}

void Server::RejectAndClose(SessionRef session, const HttpResponse& response) {
  session->connection.Write(Format(response, true), 0);
  CloseGracefully(session);
}

}  // namespace liftrudder::net
