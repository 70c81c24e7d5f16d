#include "net/endpoint_connection_pool.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace liftrudder::net {
namespace {

// An incomplete response that receives no bytes for this long is a protocol violation.
constexpr Micros kResponseStallTimeoutUs = 500'000;

}  // namespace

EndpointConnectionPool::EndpointConnectionPool(const EndpointProtocol& protocol,
                                               const coordinator::EndpointResolver& resolver,
                                               const coordinator::Clock& clock,
                                               const ConnectionLimits& limits, metrics::Counters& counters,
                                               metrics::OperatorFigures& figures, ResultSink sink)
    : protocol_(protocol),
      clock_(clock),
      counters_(counters),
      limits_(limits),
      attempts_(std::move(sink)),
      connections_(protocol, resolver, clock, limits_, counters, attempts_, poller_),
      io_(protocol, resolver, clock, counters, figures, attempts_, connections_),
      dispatcher_(protocol, resolver, clock, limits_, counters, attempts_, connections_, io_) {
  thread_ = Thread([this] { Run(); });
}

EndpointConnectionPool::~EndpointConnectionPool() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    poller_.Wake();
  }
  thread_.Join();
  attempts_.FinishAll(coordinator::Cause::kConnectionLost);
}

// ---- Called by the coordinator ----

void EndpointConnectionPool::Start(coordinator::AttemptRequest request) {
  std::lock_guard lock(mutex_);
  dispatcher_.Stage(request.key, request.endpoint);
  attempts_.Add(std::move(request), clock_.Now());
}

void EndpointConnectionPool::EndRound() {
  std::lock_guard lock(mutex_);
  dispatcher_.EndRound();
}

void EndpointConnectionPool::CancelAttempt(const coordinator::AttemptKey& key,
                                           const coordinator::EndpointId& /*endpoint*/,
                                           coordinator::Cause cause) {
  std::lock_guard lock(mutex_);
  Cancel(key, cause);
}

void EndpointConnectionPool::Cancel(const coordinator::AttemptKey& key, coordinator::Cause cause) {
  Attempt* attempt = attempts_.Find(key);
  if (attempt == nullptr) return;
  EndpointConnection* connection = connections_.Find(attempt->connection);
  if (connection != nullptr) {
    if (!connection->RequestStarted(key)) io_.RemoveFromFrame(*connection, key);
    if (attempt->progress >= coordinator::Progress::kPartlyWritten) {
      AbandonResponse(key, *attempt, *connection, cause);
    }
  }
  attempts_.Finish(key, cause);
  dispatcher_.DispatchWaiting();
}

// Abandons the response to a request that has been written at least in part.
void EndpointConnectionPool::AbandonResponse(const coordinator::AttemptKey& key, const Attempt& attempt,
                                             EndpointConnection& connection, coordinator::Cause cause) {
  ConnectionId id = attempt.connection;
  EndpointQueue& queue = *connection.queue;
  std::string attempt_id = protocol_.AttemptId(attempt.request);
  connection.AbandonResponse(attempt_id);
  connection.RemoveInFlight(key);
  bool protocol_cancels = !protocol_.EncodeCancellation(attempt_id).empty();
  if (protocol_cancels) {
    bool already_sent = attempt.cancellation_requested;
    if (cause == coordinator::Cause::kCancelled && !already_sent) {
      io_.SendCancellation(id, connection, attempt_id);
    }
  } else if (connection.in_flight.empty()) {
    connections_.Close(id, connection, coordinator::Cause::kConnectionLost);
  }
  dispatcher_.Dispatch(queue);
}

void EndpointConnectionPool::RequestCancellation(const coordinator::AttemptKey& key) {
  std::lock_guard lock(mutex_);
  Attempt* attempt = attempts_.Find(key);
  if (attempt == nullptr || attempt->cancellation_requested) return;
  EndpointConnection* connection = connections_.Find(attempt->connection);
  bool started = connection != nullptr && connection->RequestStarted(key);
  if (!started) {
    Cancel(key, coordinator::Cause::kCancelled);
    return;
  }
  attempt->cancellation_requested = true;
  std::string attempt_id = protocol_.AttemptId(attempt->request);
  bool protocol_cancels = !protocol_.EncodeCancellation(attempt_id).empty();
  if (protocol_cancels) io_.SendCancellation(attempt->connection, *connection, attempt_id);
}

void EndpointConnectionPool::EndIfUnsent(const coordinator::AttemptKey& key) {
  std::lock_guard lock(mutex_);
  Attempt* attempt = attempts_.Find(key);
  if (attempt == nullptr) return;
  EndpointConnection* connection = connections_.Find(attempt->connection);
  bool started = connection != nullptr && connection->RequestStarted(key);
  if (!started) Cancel(key, coordinator::Cause::kRepeatTooLate);
}

void EndpointConnectionPool::CloseIdle(const coordinator::EndpointId& endpoint) {
  std::lock_guard lock(mutex_);
  dispatcher_.CloseIdle(endpoint);
}

void EndpointConnectionPool::Resize(int max_connections, int endpoints) {
  std::lock_guard lock(mutex_);
  limits_.max_connections = max_connections;
  limits_.endpoints = endpoints;
  dispatcher_.DispatchWaiting();
}

void EndpointConnectionPool::ReleaseRemovedEndpoints() {
  std::lock_guard lock(mutex_);
  dispatcher_.ReleaseRemovedEndpoints();
}

// ---- The pool's thread ----

void EndpointConnectionPool::Run() {
  while (true) {
    const std::vector<EndpointPoller::Event>& events = poller_.Wait();
    std::lock_guard lock(mutex_);
    if (stopping_) return;
    poller_.BeginTurn();
    for (const EndpointPoller::Event& event : events) HandleEvent(event);
    dispatcher_.DispatchWaiting();
    Micros now_us = clock_.Now();
    SweepIfDue(now_us);
    poller_.EndTurn(now_us);
  }
}

void EndpointConnectionPool::HandleEvent(const EndpointPoller::Event& event) {
  ConnectionId id = event.connection;
  EndpointConnection* connection = connections_.Find(id);
  if (connection == nullptr) return;  // closed earlier in this turn
  EndpointQueue& queue = *connection->queue;
  if (!connection->established) {
    if (ConnectError(connection->fd) != 0) {
      dispatcher_.HandleConnectFailure(id, *connection);
    } else {
      connections_.MarkEstablished(id, *connection);
    }
  } else {
    bool open = !event.writable || io_.Flush(id, *connection);
    if (open) io_.Receive(id, *connection);
  }
  dispatcher_.Dispatch(queue);
}

void EndpointConnectionPool::SweepIfDue(Micros now_us) {
  if (!poller_.SweepIsDue(now_us)) return;
  poller_.SetNextSweep(now_us + EndpointPoller::kSweepIntervalUs);
  Micros next_us = Sweep(now_us);
  poller_.SweepNoLaterThan(next_us);  // the sweep may itself have brought the next one forward
}

// Enforces the time limits of all connections. Returns when the next limit expires, or the time of the next
// regular sweep.
Micros EndpointConnectionPool::Sweep(Micros now_us) {
  // Enforcing one connection's limit may close others, so the ids are collected first.
  std::vector<ConnectionId> candidates;
  for (const auto& [id, connection] : connections_.all()) {
    bool idle = connection.established && connections_.IdleTooLong(connection, now_us);
    bool busy = !connection.established || !connection.received.empty() || connection.IsWriting();
    if (idle || busy) candidates.push_back(id);
  }
  Micros next_us = now_us + EndpointPoller::kSweepIntervalUs;
  for (ConnectionId id : candidates) {
    EndpointConnection* connection = connections_.Find(id);
    if (connection == nullptr) continue;
    EndpointQueue& queue = *connection->queue;
    next_us = std::min(next_us, EnforceTimeLimits(id, *connection, now_us));
    dispatcher_.Dispatch(queue);
  }
  return next_us;
}

// Closes the connection if one of its time limits has expired; returns when to check it again. No other frame
// can follow a truncated frame or response, so the whole connection is closed.
Micros EndpointConnectionPool::EnforceTimeLimits(ConnectionId id, EndpointConnection& connection,
                                                 Micros now_us) {
  const Micros default_us = now_us + EndpointPoller::kSweepIntervalUs;
  if (!connection.established) {
    Micros started_us = connection.connect_started_us;
    Micros age_us = now_us - started_us;
    if (age_us >= limits_.connect_timeout_us) {
      dispatcher_.HandleConnectFailure(id, connection);
      return default_us;
    }
    if (age_us < EndpointConnectionTable::kSlowConnectUs) {
      return started_us + EndpointConnectionTable::kSlowConnectUs;
    }
    connection.queue->slow_connect = true;
    return started_us + limits_.connect_timeout_us;
  }
  if (!connection.received.empty() && now_us - connection.last_received_us >= kResponseStallTimeoutUs) {
    counters_.malformed_responses.Add();
    connections_.Close(id, connection, coordinator::Cause::kInvalidResponse);
    return default_us;
  }
  bool write_timed_out = connection.IsWriting() && now_us >= connection.write_deadline_us;
  if (write_timed_out || connections_.IdleTooLong(connection, now_us)) {
    connections_.Close(id, connection, coordinator::Cause::kConnectionLost);
  }
  return default_us;
}

}  // namespace liftrudder::net
