#include "net/request_dispatcher.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "log/log.h"

namespace liftrudder::net {
namespace {

// Total size of the statements in one frame: as much as the body of one query may hold.
constexpr std::size_t kMaxFrameStatementBytes = 64 * 1024;
// Connections reserved for each endpoint: one, plus a quarter to replace connections that are closing.
constexpr double kReservedPerEndpoint = 1.25;
// The fraction of the connections beyond the reserved ones that may be used to give each request in flight
// its own connection.
constexpr double kSpareFraction = 0.75;

}  // namespace

RequestDispatcher::RequestDispatcher(const EndpointProtocol& protocol,
                                     const coordinator::EndpointResolver& resolver,
                                     const coordinator::Clock& clock, const ConnectionLimits& limits,
                                     metrics::Counters& counters, AttemptRegistry& attempts,
                                     EndpointConnectionTable& connections, EndpointConnectionIo& io)
    : protocol_(protocol),
      resolver_(resolver),
      clock_(clock),
      limits_(limits),
      counters_(counters),
      attempts_(attempts),
      connections_(connections),
      io_(io) {}

void RequestDispatcher::Stage(const coordinator::AttemptKey& key, const coordinator::EndpointId& endpoint) {
  EndpointQueue& queue = queues_[endpoint];
  queue.endpoint = endpoint;
  if (queue.staged.empty()) staged_endpoints_.push_back(endpoint);
  queue.staged.push_back(key);
}

void RequestDispatcher::EndRound() {
  for (const coordinator::EndpointId& endpoint : std::exchange(staged_endpoints_, {})) {
    EndpointQueue& queue = queues_.at(endpoint);
    for (const coordinator::AttemptKey& key : std::exchange(queue.staged, {})) queue.pending.push_back(key);
    Dispatch(queue);
  }
}

void RequestDispatcher::Dispatch(EndpointQueue& queue) {
  while (!queue.pending.empty()) {
    coordinator::AttemptKey key = queue.pending.front();
    Attempt* attempt = attempts_.Find(key);
    if (attempt == nullptr) {  // cancelled while it was pending
      queue.pending.pop_front();
      continue;
    }
    if (auto reason = io_.ReasonNotToSend(attempt->request)) {
      queue.pending.pop_front();
      attempts_.Finish(key, *reason);
      continue;
    }
    ConnectionId id = SelectConnection(queue, protocol_.AttemptId(attempt->request));
    if (id != kNoConnection) {
      SendBatch(queue, id, connections_.At(id));
      continue;
    }
    if (queue.connecting > 0) return;
    EndpointConnectionTable::OpenResult opened = connections_.Open(queue);
    if (opened == EndpointConnectionTable::OpenResult::kNoCapacity && !queue.waiting_for_capacity) {
      queue.waiting_for_capacity = true;
      waiting_endpoints_.push_back(queue.endpoint);
    }
    if (opened != EndpointConnectionTable::OpenResult::kFailed) return;
    queue.pending.pop_front();
    attempts_.Finish(key, coordinator::Cause::kConnectionLost);
  }
}

// Sends the first pending attempt and those after it that may share its frame: each frame costs the endpoint
// work in addition to its requests.
void RequestDispatcher::SendBatch(EndpointQueue& queue, ConnectionId id, EndpointConnection& connection) {
  std::size_t statement_bytes = 0;
  std::size_t free_streams =
      static_cast<std::size_t>(limits_.streams_per_connection) - connection.in_flight.size();
  std::size_t max_requests =
      std::min(static_cast<std::size_t>(std::max(1, limits_.max_requests_per_call)), free_streams);
  while (!queue.pending.empty() && connection.frame_attempts.size() < max_requests) {
    coordinator::AttemptKey key = queue.pending.front();
    Attempt* attempt = attempts_.Find(key);
    if (attempt == nullptr) {
      queue.pending.pop_front();
      continue;
    }
    statement_bytes += attempt->request.payload->statement.size();
    bool first = connection.frame_attempts.empty();
    bool fits = statement_bytes <= kMaxFrameStatementBytes;
    if (!first && (!fits || connection.MayReceiveResponse(protocol_.AttemptId(attempt->request)))) break;
    queue.pending.pop_front();
    io_.AddToFrame(id, connection, key, *attempt);
  }
  io_.Flush(id, connection);
}

// At capacity an attempt waits as long as its deadline allows and does not count as an endpoint failure.
void RequestDispatcher::DispatchWaiting() {
  while (!waiting_endpoints_.empty()) {
    auto queue = queues_.find(waiting_endpoints_.front());
    bool has_pending = queue != queues_.end() && !queue->second.pending.empty();
    if (has_pending && connections_.AtCapacity() && !connections_.ReclaimIdle()) return;
    waiting_endpoints_.pop_front();
    if (queue != queues_.end()) queue->second.waiting_for_capacity = false;
    if (has_pending) Dispatch(queue->second);
  }
}

// A connection to an earlier process at the same address is not usable: if its machine has vanished, the
// connection stays open and silent.
bool RequestDispatcher::IsUsable(const EndpointConnection& connection,
                                 const coordinator::EndpointAddress& endpoint, Micros now_us) const {
  bool same_process =
      connection.addr == endpoint.addr && connection.endpoint_started_us == endpoint.started_us;
  return same_process && !connections_.IdleTooLong(connection, now_us) && !connection.retired;
}

bool RequestDispatcher::CanAccept(const EndpointConnection& connection, const std::string& attempt_id) const {
  bool full = static_cast<int>(connection.in_flight.size()) >= limits_.streams_per_connection;
  return !full && !connection.IsWriting() && !connection.MayReceiveResponse(attempt_id) &&
         !connection.HasUnrequestedBytes();
}

// Returns the usable connection with the fewest requests in flight, or kNoConnection if there is none or the
// attempt should wait for one that is being established. Opens another connection if all are shared and
// MayOpenAnother allows it, but does not wait for a slow one while another is usable.
ConnectionId RequestDispatcher::SelectConnection(EndpointQueue& queue, const std::string& attempt_id) {
  coordinator::EndpointAddress endpoint = resolver_.Find(queue.endpoint);
  Micros now_us = clock_.Now();
  ConnectionId best = kNoConnection;
  std::size_t fewest_in_flight = 0;
  for (ConnectionId id : std::vector<ConnectionId>(queue.connections)) {
    EndpointConnection& connection = connections_.At(id);
    if (!connection.established) continue;
    if (!IsUsable(connection, endpoint, now_us)) {
      bool unused = connection.in_flight.empty();
      if (unused) connections_.Close(id, connection, coordinator::Cause::kConnectionLost);
      continue;
    }
    if (!CanAccept(connection, attempt_id)) continue;
    if (best == kNoConnection || connection.in_flight.size() < fewest_in_flight) {
      best = id;
      fewest_in_flight = connection.in_flight.size();
    }
  }
  if (best != kNoConnection && fewest_in_flight == 0) return best;
  if (MayOpenAnother(queue)) connections_.Open(queue);
  bool wait_for_new = queue.connecting > 0 && !queue.slow_connect;
  return wait_for_new ? kNoConnection : best;
}

// A connection that breaks fails all requests in flight on it, so each request gets its own connection while
// there are spare ones. Additional connections to one endpoint must not prevent another's first connection.
bool RequestDispatcher::MayOpenAnother(const EndpointQueue& queue) const {
  double endpoints = std::max<double>(limits_.endpoints, static_cast<double>(queues_.size()));
  double spare = std::max(0.0, limits_.max_connections - kReservedPerEndpoint * endpoints);
  double additional = static_cast<double>(connections_.size()) - static_cast<double>(queues_.size());
  int frames_pending = (static_cast<int>(queue.pending.size()) + limits_.max_requests_per_call - 1) /
                       limits_.max_requests_per_call;
  return !queue.slow_connect && additional < kSpareFraction * spare && !connections_.AtCapacity() &&
         queue.connecting < frames_pending;
}

// Attempts that were pending when the failed connect was started have waited for all of it. They end instead
// of waiting for another connect, unless the endpoint still has an established connection.
void RequestDispatcher::HandleConnectFailure(ConnectionId id, EndpointConnection& connection) {
  EndpointQueue& queue = *connection.queue;
  Micros started_us = connection.connect_started_us;
  log::Info("connect to endpoint {} failed after {} us", connection.addr, clock_.Now() - started_us);
  counters_.connections_failed.Add();
  queue.slow_connect = true;
  connections_.Close(id, connection, coordinator::Cause::kConnectionLost);
  bool has_established = static_cast<int>(queue.connections.size()) > queue.connecting;
  if (has_established) return;
  for (const coordinator::AttemptKey& key : std::exchange(queue.pending, {})) {
    Attempt* attempt = attempts_.Find(key);
    if (attempt != nullptr && attempt->queued_us > started_us) {
      queue.pending.push_back(key);
    } else {
      attempts_.Finish(key, coordinator::Cause::kConnectionLost);
    }
  }
}

void RequestDispatcher::CloseIdle(const coordinator::EndpointId& endpoint) {
  auto queue = queues_.find(endpoint);
  if (queue == queues_.end()) return;
  for (ConnectionId id : std::vector<ConnectionId>(queue->second.connections)) {
    EndpointConnection& connection = connections_.At(id);
    bool idle = connection.established && connection.in_flight.empty();
    if (idle) connections_.Close(id, connection, coordinator::Cause::kConnectionLost);
  }
}

void RequestDispatcher::ReleaseRemovedEndpoints() {
  for (auto entry = queues_.begin(); entry != queues_.end();) {
    EndpointQueue& queue = entry->second;
    std::erase_if(queue.pending,
                  [this](const coordinator::AttemptKey& key) { return !attempts_.Contains(key); });
    if (!IsReleasable(queue)) {
      ++entry;
      continue;
    }
    for (ConnectionId id : std::vector<ConnectionId>(queue.connections)) {
      connections_.Close(id, connections_.At(id), coordinator::Cause::kConnectionLost);
    }
    entry = queues_.erase(entry);
  }
}

bool RequestDispatcher::IsReleasable(const EndpointQueue& queue) const {
  coordinator::EndpointAddress endpoint = resolver_.Find(queue.endpoint);
  bool unused = std::ranges::all_of(
      queue.connections, [this](ConnectionId id) { return connections_.At(id).in_flight.empty(); });
  bool leaving = endpoint.id.empty() || endpoint.drain_notified_us > 0;
  return leaving && unused && queue.pending.empty() && queue.staged.empty();
}

}  // namespace liftrudder::net
