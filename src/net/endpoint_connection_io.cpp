#include "net/endpoint_connection_io.h"

#include <algorithm>
#include <exception>
#include <string_view>
#include <utility>

#include "log/log.h"

namespace liftrudder::net {
namespace {

constexpr Micros kWriteTimeoutUs = 1'000'000;
constexpr std::size_t kMaxIncompleteResponseBytes = 256 * 1024;
// An attempt fails when this many connections have broken before its first byte was written.
constexpr int kMaxBrokenConnections = 2;
constexpr int kMaxReadsPerTurn = 32;  // from one connection, of at most kReadBytes each

bool ClientHasLeft(const coordinator::AttemptRequest& request) {
  const auto& client = request.payload->client;
  return client != nullptr && client->CheckDisconnected();
}

}  // namespace

EndpointConnectionIo::EndpointConnectionIo(const EndpointProtocol& protocol,
                                           const coordinator::EndpointResolver& resolver,
                                           const coordinator::Clock& clock, metrics::Counters& counters,
                                           metrics::OperatorFigures& figures, AttemptRegistry& attempts,
                                           EndpointConnectionTable& connections)
    : protocol_(protocol),
      resolver_(resolver),
      clock_(clock),
      counters_(counters),
      figures_(figures),
      attempts_(attempts),
      connections_(connections) {}

std::optional<coordinator::Cause> EndpointConnectionIo::ReasonNotToSend(
    const coordinator::AttemptRequest& request) const {
  const auto& client = request.payload->client;
  if (client != nullptr && client->Disconnected()) return coordinator::Cause::kClientDisconnected;
  Micros now_us = clock_.Now();
  coordinator::EndpointAddress endpoint = resolver_.Find(request.endpoint);
  bool removed = endpoint.id.empty();
  bool drained = endpoint.drain_notified_us > 0 && now_us >= endpoint.drain_notified_us;
  if (removed || drained || now_us >= request.attempt_deadline_us) return coordinator::Cause::kStale;
  if (now_us >= request.latest_send_us) return coordinator::Cause::kRepeatTooLate;
  return std::nullopt;
}

// ---- Writing ----

void EndpointConnectionIo::AddToFrame(ConnectionId id, EndpointConnection& connection,
                                      const coordinator::AttemptKey& key, Attempt& attempt) {
  Micros now_us = clock_.Now();
  connection.written_bytes = 0;
  connection.frame_attempts.push_back(key);
  bool first = connection.frame_attempts.size() == 1;
  if (first) connection.write_deadline_us = now_us + kWriteTimeoutUs;
  // A repeat counts for its endpoint when its last byte arrives, which must not be after the window either.
  bool is_limited_repeat = attempt.request.latest_send_us < attempt.request.attempt_deadline_us;
  if (is_limited_repeat) {
    connection.write_deadline_us = std::min(connection.write_deadline_us, attempt.request.latest_send_us);
  }
  connection.last_used_us = now_us;
  connection.in_flight.push_back({protocol_.AttemptId(attempt.request), key});
  // Counts as partly written from here on; RemoveFromFrame undoes this while no byte has been written.
  attempt.progress = coordinator::Progress::kPartlyWritten;
  attempt.connection = id;
}

void EndpointConnectionIo::RemoveFromFrame(EndpointConnection& connection,
                                           const coordinator::AttemptKey& key) {
  connection.RemoveInFlight(key);
  std::erase(connection.frame_attempts, key);
  if (connection.frame_attempts.empty()) connection.frame.clear();
  Attempt* attempt = attempts_.Find(key);
  if (attempt == nullptr) return;
  attempt->progress = coordinator::Progress::kNotConnected;
  attempt->connection = kNoConnection;
}

void EndpointConnectionIo::SendCancellation(ConnectionId id, EndpointConnection& connection,
                                            const std::string& attempt_id) {
  connection.cancellations.push_back(protocol_.EncodeCancellation(attempt_id));
  if (!connection.IsWriting()) Flush(id, connection);
}

bool EndpointConnectionIo::Flush(ConnectionId id, EndpointConnection& connection) {
  while (connection.IsWriting() || !connection.cancellations.empty()) {
    if (!connection.IsWriting()) BeginCancellationFrame(connection);
    bool nothing_written = !connection.frame_attempts.empty() && connection.written_bytes == 0;
    if (nothing_written && !EncodeFrame(connection)) continue;
    if (nothing_written && CloseIfInputPrecedesRequest(id, connection)) return false;
    std::string_view unwritten = connection.frame;
    unwritten.remove_prefix(connection.written_bytes);
    WriteResult written = WriteNow(connection.fd, unwritten);
    connection.written_bytes += written.bytes;
    if (written.status == IoStatus::kError) {
      HandleWriteError(id, connection);
      return false;
    }
    if (written.status == IoStatus::kTimeout) {
      if (!connection.write_interest) connections_.SetWriteInterest(id, connection, true);
      return true;
    }
    if (connection.written_bytes == connection.frame.size()) FinishFrame(connection);
  }
  if (connection.write_interest) connections_.SetWriteInterest(id, connection, false);
  return true;
}

void EndpointConnectionIo::BeginCancellationFrame(EndpointConnection& connection) const {
  connection.frame = std::move(connection.cancellations.front());
  connection.cancellations.pop_front();
  connection.written_bytes = 0;
  connection.write_deadline_us = clock_.Now() + kWriteTimeoutUs;
}

// Encodes the attempts that may still be sent; returns false if there are none. Called before each write
// until the frame's first byte is written: while the frame waited for the socket, a client may have
// disconnected, a deadline passed or the endpoint drained. Looks at the clients' connections too, since the
// front may not have handled a disconnection yet.
bool EndpointConnectionIo::EncodeFrame(EndpointConnection& connection) {
  std::vector<const coordinator::AttemptRequest*> requests;
  for (const coordinator::AttemptKey& key : std::vector<coordinator::AttemptKey>(connection.frame_attempts)) {
    Attempt* attempt = attempts_.Find(key);
    std::optional<coordinator::Cause> reason = coordinator::Cause::kStale;
    if (attempt != nullptr) reason = ReasonNotToSend(attempt->request);
    if (!reason && ClientHasLeft(attempt->request)) reason = coordinator::Cause::kClientDisconnected;
    if (!reason) {
      requests.push_back(&attempt->request);
      continue;
    }
    RemoveFromFrame(connection, key);
    attempts_.Finish(key, *reason);
  }
  if (requests.empty()) return false;
  connection.frame = protocol_.EncodeRequest(requests, connection.addr, clock_.Now());
  return true;
}

void EndpointConnectionIo::FinishFrame(EndpointConnection& connection) {
  connection.frame.clear();
  for (const coordinator::AttemptKey& key : std::exchange(connection.frame_attempts, {})) {
    Attempt* attempt = attempts_.Find(key);
    if (attempt == nullptr) continue;
    attempt->progress = coordinator::Progress::kFullyWritten;
    if (auto* figures = figures_.FindClass(attempt->request.class_index)) figures->attempts_written.Add();
  }
}

// Returns the attempts of a frame of which no byte was written to the front of the queue: the endpoint has
// received nothing of it.
void EndpointConnectionIo::RequeueFrame(EndpointConnection& connection) {
  std::vector<coordinator::AttemptKey> keys = std::exchange(connection.frame_attempts, {});
  std::ranges::reverse(keys);  // push_front below restores their order
  for (const coordinator::AttemptKey& key : keys) {
    Attempt* attempt = attempts_.Find(key);
    if (attempt == nullptr) continue;
    ++attempt->broken_connections;
    if (attempt->broken_connections >= kMaxBrokenConnections) continue;
    connection.queue->pending.push_front(key);
    RemoveFromFrame(connection, key);
  }
}

// Called before the first byte of a request frame is written. Without ids, bytes that the endpoint has sent
// by now would be taken for the response to that request.
bool EndpointConnectionIo::CloseIfInputPrecedesRequest(ConnectionId id, EndpointConnection& connection) {
  if (!protocol_.MatchesResponsesByOrder()) return false;
  SocketState input = Peek(connection.fd.Get());
  if (input == SocketState::kNothing) return false;
  RequeueFrame(connection);
  if (input == SocketState::kBytes) {
    CloseAfter(DecodeStatus::kUnrequested, id, connection);
  } else {
    connections_.Close(id, connection, coordinator::Cause::kConnectionLost);
  }
  return true;
}

// Responses that arrived before the error are still processed.
void EndpointConnectionIo::HandleWriteError(ConnectionId id, EndpointConnection& connection) {
  if (connection.written_bytes == 0) RequeueFrame(connection);
  connection.frame_attempts.clear();
  connection.frame.clear();
  connection.cancellations.clear();
  if (Receive(id, connection)) connections_.Close(id, connection, coordinator::Cause::kConnectionLost);
}

// ---- Reading ----

bool EndpointConnectionIo::Receive(ConnectionId id, EndpointConnection& connection) {
  // Bounded, so that an endpoint that sends without pause does not starve the others; the poller reports the
  // remaining bytes again.
  for (int reads = 0; reads < kMaxReadsPerTurn; ++reads) {
    std::size_t size_before = connection.received.size();
    IoStatus status = ReadNow(connection.fd, connection.received);
    if (status == IoStatus::kTimeout) return true;
    // A short read has emptied the socket's buffer: another read would only return kTimeout.
    bool drained = status == IoStatus::kOk && connection.received.size() - size_before < kReadBytes;
    DecodeStatus decoded = Decode(connection, status);
    if (decoded != DecodeStatus::kOk) {
      CloseAfter(decoded, id, connection);
      return false;
    }
    if (status != IoStatus::kOk) {
      connections_.Close(id, connection, coordinator::Cause::kConnectionLost);
      return false;
    }
    if (drained) return true;
  }
  return true;
}

// Closes the connection for a reason other than kOk. After a violation every request in flight may have run.
void EndpointConnectionIo::CloseAfter(DecodeStatus status, ConnectionId id, EndpointConnection& connection) {
  bool violation = IsViolation(status);
  if (violation) counters_.malformed_responses.Add();
  if (status == DecodeStatus::kUnrequested) counters_.unrequested_responses.Add();
  if (status == DecodeStatus::kMisnamed) counters_.misnamed_responses.Add();
  if (status == DecodeStatus::kUnnamed) counters_.unnamed_responses.Add();
  connections_.Close(id, connection,
                     violation ? coordinator::Cause::kInvalidResponse : coordinator::Cause::kConnectionLost);
}

// Decodes the received bytes and ends the attempts that they answer.
DecodeStatus EndpointConnectionIo::Decode(EndpointConnection& connection, IoStatus read_status) {
  std::string oldest = connection.in_flight.empty() ? std::string() : connection.in_flight.front().id;
  std::vector<EndpointResponse> responses;
  DecodeStatus status = DecodeStatus::kOk;
  try {
    if (read_status == IoStatus::kOk) {
      status = connection.reader->Decode(connection.received, oldest, responses);
      if (connection.received.size() > kMaxIncompleteResponseBytes) status = DecodeStatus::kMalformed;
    }
    if (read_status == IoStatus::kEnd) status = connection.reader->End(oldest, responses);
  } catch (const std::exception& error) {
    log::Error("error while decoding a response from endpoint {}, closing its connection: {}",
               connection.addr, error.what());
    status = DecodeStatus::kMalformed;
  }
  if (read_status == IoStatus::kOk) connection.last_received_us = clock_.Now();
  for (EndpointResponse& response : responses) {
    bool requested = Complete(connection, std::move(response));
    if (!requested) status = DecodeStatus::kUnrequested;
  }
  return status;
}

// Ends the attempt that the response answers. Returns false if its id belongs to no request in flight or
// abandoned on this connection, or to one that the endpoint cannot have read to its end.
bool EndpointConnectionIo::Complete(EndpointConnection& connection, EndpointResponse response) {
  connection.last_used_us = clock_.Now();
  if (response.cause == coordinator::Cause::kEndpointRejected) connection.RecordRejected(response.id);
  auto found = std::ranges::find(connection.in_flight, response.id, &InFlightRequest::id);
  if (found == connection.in_flight.end()) {
    return std::erase(connection.abandoned_ids, response.id) > 0;
  }
  coordinator::AttemptKey key = found->key;
  Attempt* attempt = attempts_.Find(key);
  if (attempt != nullptr && attempt->progress < coordinator::Progress::kFullyWritten) return false;
  connection.in_flight.erase(found);
  if (attempt != nullptr) attempt->progress = coordinator::Progress::kAnswering;
  coordinator::Cause cause = response.cause;
  attempts_.Finish(key, cause, std::move(response));
  return true;
}

}  // namespace liftrudder::net
