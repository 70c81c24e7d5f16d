// Opens, holds and closes the connections of a pool, and bounds their number. RequestDispatcher decides when
// an endpoint needs a connection and which one a request uses. Guarded by the pool's lock.
#ifndef LIFTRUDDER_NET_ENDPOINT_CONNECTION_TABLE_H_
#define LIFTRUDDER_NET_ENDPOINT_CONNECTION_TABLE_H_

#include <string>
#include <unordered_map>

#include "metrics/metrics.h"
#include "net/endpoint_connection.h"
#include "net/endpoint_poller.h"

namespace liftrudder::net {

struct ConnectionLimits {
  Micros connect_timeout_us = 250'000;
  Micros idle_close_us = 30'000'000;  // the endpoint closes connections that have been idle for this long
  int streams_per_connection = 100;   // requests in flight on one connection
  int max_requests_per_call = 1;      // requests in one frame
  int max_connections = 128;          // in the whole pool
  int endpoints = 0;                  // entries on the endpoint list
};

class EndpointConnectionTable {
 public:
  // A connection that takes longer than this to establish is slow: requests stop waiting for it.
  static constexpr Micros kSlowConnectUs = 20'000;

  enum class OpenResult { kConnecting, kNoCapacity, kFailed };

  // All references must outlive the table. `limits` may change under the pool's lock, except for
  // `idle_close_us`.
  EndpointConnectionTable(const EndpointProtocol& protocol, const coordinator::EndpointResolver& resolver,
                          const coordinator::Clock& clock, const ConnectionLimits& limits,
                          metrics::Counters& counters, AttemptRegistry& attempts, EndpointPoller& poller);

  // Null if the connection has been closed. The pointer is valid until it is closed.
  EndpointConnection* Find(ConnectionId id);
  EndpointConnection& At(ConnectionId id) { return connections_.at(id); }
  const EndpointConnection& At(ConnectionId id) const { return connections_.at(id); }
  const std::unordered_map<ConnectionId, EndpointConnection>& all() const { return connections_; }
  std::size_t size() const { return connections_.size(); }

  // Starts connecting to the queue's endpoint without waiting. At capacity, closes an idle connection first.
  OpenResult Open(EndpointQueue& queue);
  void MarkEstablished(ConnectionId id, EndpointConnection& connection);
  // Closes the connection and ends all attempts in flight on it with `cause`. Invalidates `connection`.
  void Close(ConnectionId id, EndpointConnection& connection, coordinator::Cause cause);
  void SetWriteInterest(ConnectionId id, EndpointConnection& connection, bool write_interest);

  bool AtCapacity() const;
  // Closes one idle connection; returns false if there is none.
  bool ReclaimIdle();
  // Whether the connection has been idle for so long that the endpoint may close it at any moment.
  bool IdleTooLong(const EndpointConnection& connection, Micros now_us) const;

 private:
  Fd Connect(const std::string& addr);

  const EndpointProtocol& protocol_;
  const coordinator::EndpointResolver& resolver_;
  const coordinator::Clock& clock_;
  const ConnectionLimits& limits_;
  const Micros idle_limit_us_;
  metrics::Counters& counters_;
  AttemptRegistry& attempts_;
  EndpointPoller& poller_;
  std::unordered_map<ConnectionId, EndpointConnection> connections_;  // at most limits_.max_connections
  ConnectionId last_id_ = kNoConnection;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ENDPOINT_CONNECTION_TABLE_H_
