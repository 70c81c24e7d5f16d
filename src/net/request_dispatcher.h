// Assigns queued attempts to connections: one queue for each endpoint, which connection a request takes, when
// another connection is opened, and who is next when the pool is at capacity. It does no I/O of its own. The
// pool's lock guards it.
#ifndef LIFTRUDDER_NET_REQUEST_DISPATCHER_H_
#define LIFTRUDDER_NET_REQUEST_DISPATCHER_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "net/endpoint_connection_io.h"
#include "net/endpoint_connection_table.h"

namespace liftrudder::net {

class RequestDispatcher {
 public:
  // All references outlive this object; `limits` may change under the pool's lock.
  RequestDispatcher(const EndpointProtocol& protocol, const coordinator::EndpointResolver& resolver,
                    const coordinator::Clock& clock, const ConnectionLimits& limits,
                    metrics::Counters& counters, AttemptRegistry& attempts,
                    EndpointConnectionTable& connections, EndpointConnectionIo& io);

  // Queues an attempt that is in the registry until EndRound, so that those of one round can share a frame.
  void Stage(const coordinator::AttemptKey& key, const coordinator::EndpointId& endpoint);
  void EndRound();

  // Sends what is pending as far as there are usable connections. The rest waits for a connection that is
  // being established, or for capacity.
  void Dispatch(EndpointQueue& queue);
  // Serves the endpoints that found the pool at capacity, the longest waiting first.
  void DispatchWaiting();
  // Closes a connection that failed to establish, and ends the attempts that have waited for it.
  void HandleConnectFailure(ConnectionId id, EndpointConnection& connection);

  void CloseIdle(const coordinator::EndpointId& endpoint);
  // Releases the queues and connections of endpoints that were removed or drain, once they are unused.
  void ReleaseRemovedEndpoints();

 private:
  void SendBatch(EndpointQueue& queue, ConnectionId id, EndpointConnection& connection);
  ConnectionId SelectConnection(EndpointQueue& queue, const std::string& attempt_id);
  bool IsUsable(const EndpointConnection& connection, const std::string& addr, Micros now_us) const;
  bool CanTake(const EndpointConnection& connection, const std::string& attempt_id) const;
  bool MayOpenAnother(const EndpointQueue& queue) const;
  bool IsReleasable(const EndpointQueue& queue) const;

  const EndpointProtocol& protocol_;
  const coordinator::EndpointResolver& resolver_;
  const coordinator::Clock& clock_;
  const ConnectionLimits& limits_;
  metrics::Counters& counters_;
  AttemptRegistry& attempts_;
  EndpointConnectionTable& connections_;
  EndpointConnectionIo& io_;
  std::map<coordinator::EndpointId, EndpointQueue> queues_;  // connections point into it
  std::vector<coordinator::EndpointId> staged_endpoints_;    // whose queues have staged attempts
  std::deque<coordinator::EndpointId> waiting_endpoints_;    // found no capacity; the longest waiting first
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_REQUEST_DISPATCHER_H_
