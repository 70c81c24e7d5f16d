#include "net/endpoint_connection_table.h"

#include <algorithm>
#include <utility>

namespace liftrudder::net {
namespace {

// A connection is not reused after it has been idle for this fraction of the endpoint's idle timeout, so that
// a request does not race with the endpoint's close.
constexpr double kUsableIdleFraction = 0.8;

Micros UsableIdleTime(const ConnectionLimits& limits) {
  return static_cast<Micros>(kUsableIdleFraction * static_cast<double>(limits.idle_close_us));
}

}  // namespace

EndpointConnectionTable::EndpointConnectionTable(const EndpointProtocol& protocol,
                                                 const coordinator::EndpointResolver& resolver,
                                                 const coordinator::Clock& clock,
                                                 const ConnectionLimits& limits, metrics::Counters& counters,
                                                 AttemptRegistry& attempts, EndpointPoller& poller)
    : protocol_(protocol),
      resolver_(resolver),
      clock_(clock),
      limits_(limits),
      idle_limit_us_(UsableIdleTime(limits)),
      counters_(counters),
      attempts_(attempts),
      poller_(poller) {}

EndpointConnection* EndpointConnectionTable::Find(ConnectionId id) {
  auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : &found->second;
}

bool EndpointConnectionTable::AtCapacity() const {
  return static_cast<int>(connections_.size()) >= limits_.max_connections;
}

bool EndpointConnectionTable::IdleTooLong(const EndpointConnection& connection, Micros now_us) const {
  return connection.in_flight.empty() && now_us - connection.last_used_us > idle_limit_us_;
}

Fd EndpointConnectionTable::Connect(const std::string& addr) {
  Fd fd = BeginConnect(addr);
  // The process can run out of descriptors below the pool's limit while peers still hold closed connections.
  if (!fd.Valid() && OutOfDescriptors() && ReclaimIdle()) fd = BeginConnect(addr);
  return fd;
}

EndpointConnectionTable::OpenResult EndpointConnectionTable::Open(EndpointQueue& queue) {
  if (AtCapacity() && !ReclaimIdle()) return OpenResult::kNoCapacity;
  coordinator::EndpointAddress endpoint = resolver_.Find(queue.endpoint);
  Fd fd = Connect(endpoint.addr);
  if (!fd.Valid() && OutOfDescriptors()) return OpenResult::kNoCapacity;
  if (!fd.Valid()) {
    counters_.connections_failed.Add();
    return OpenResult::kFailed;
  }
  ConnectionId id = ++last_id_;
  EndpointConnection& connection = connections_[id];
  connection.queue = &queue;
  connection.fd = std::move(fd);
  connection.addr = std::move(endpoint.addr);
  connection.endpoint_started_us = endpoint.started_us;
  connection.connect_started_us = clock_.Now();
  connection.reader = protocol_.NewReader();
  queue.connections.push_back(id);
  ++queue.connecting;
  poller_.Watch(id, connection.fd);
  poller_.SweepNoLaterThan(connection.connect_started_us + kSlowConnectUs);
  return OpenResult::kConnecting;
}

// Normally closes the least recently used connection, since its endpoint is needed least. With more endpoints
// than connections, however, a wide query visits all endpoints in turn and needs exactly that connection
// next: LRU would reopen every connection for each query. In that case the most recently used one is closed,
// and most of the others stay open.
bool EndpointConnectionTable::ReclaimIdle() {
  bool newest_first = limits_.endpoints > limits_.max_connections;
  auto victim = connections_.end();
  for (auto candidate = connections_.begin(); candidate != connections_.end(); ++candidate) {
    const EndpointConnection& connection = candidate->second;
    if (!connection.established || !connection.in_flight.empty()) continue;
    if (victim == connections_.end() ||
        (connection.last_used_us < victim->second.last_used_us) != newest_first) {
      victim = candidate;
    }
  }
  if (victim == connections_.end()) return false;
  Close(victim->first, victim->second, coordinator::Cause::kConnectionLost);
  return true;
}

void EndpointConnectionTable::MarkEstablished(ConnectionId id, EndpointConnection& connection) {
  Micros now_us = clock_.Now();
  connection.established = true;
  connection.last_used_us = now_us;
  connection.last_received_us = now_us;
  --connection.queue->connecting;
  connection.queue->slow_connect = now_us - connection.connect_started_us > kSlowConnectUs;
  counters_.connections_opened.Add();
  SetWriteInterest(id, connection, false);
}

void EndpointConnectionTable::SetWriteInterest(ConnectionId id, EndpointConnection& connection,
                                               bool write_interest) {
  connection.write_interest = write_interest;
  poller_.SetWriteInterest(id, connection.fd, write_interest);
}

void EndpointConnectionTable::Close(ConnectionId id, EndpointConnection& connection,
                                    coordinator::Cause cause) {
  EndpointQueue& queue = *connection.queue;
  queue.connecting -= connection.established ? 0 : 1;
  std::erase(queue.connections, id);
  std::deque<InFlightRequest> in_flight = std::move(connection.in_flight);
  connections_.erase(id);  // closes its descriptor, which removes it from epoll
  for (const InFlightRequest& request : in_flight) attempts_.Finish(request.key, cause);
}

}  // namespace liftrudder::net
