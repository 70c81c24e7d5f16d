// Queues attempts per endpoint and assigns them to connections. Decides which connection a request uses, when
// another one is opened, and which endpoint is next when the pool is at capacity. Does no I/O of its own.
// Guarded by the pool's lock.
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
  // All references must outlive this object; `limits` may change under the pool's lock.
  RequestDispatcher(const EndpointProtocol& protocol, const coordinator::EndpointResolver& resolver,
                    const coordinator::Clock& clock, const ConnectionLimits& limits,
                    metrics::Counters& counters, AttemptRegistry& attempts,
                    EndpointConnectionTable& connections, EndpointConnectionIo& io);

  // Holds a registered attempt until EndRound, so that the attempts of one round can share a frame.
  void Stage(const coordinator::AttemptKey& key, const coordinator::EndpointId& endpoint);
  void EndRound();

  // Sends the pending attempts for which there are usable connections. The rest wait for a connection that is
  // being established, or for capacity.
  void Dispatch(EndpointQueue& queue);
  // Dispatches to the endpoints that found the pool at capacity, the longest waiting first.
  void DispatchWaiting();
  // Closes a connection that failed to establish, and ends the attempts that have waited for it.
  void HandleConnectFailure(ConnectionId id, EndpointConnection& connection);

  void CloseIdle(const coordinator::EndpointId& endpoint);
  // Releases the queues and connections of endpoints that were removed or are draining, once they are unused.
  void ReleaseRemovedEndpoints();

 private:
  void SendBatch(EndpointQueue& queue, ConnectionId id, EndpointConnection& connection);
  ConnectionId SelectConnection(EndpointQueue& queue, const std::string& attempt_id);
  bool IsUsable(const EndpointConnection& connection, const coordinator::EndpointAddress& endpoint,
                Micros now_us) const;
  bool CanAccept(const EndpointConnection& connection, const std::string& attempt_id) const;
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
  std::map<coordinator::EndpointId, EndpointQueue> queues_;  // connections hold pointers into it
  std::vector<coordinator::EndpointId> staged_endpoints_;    // whose queues have staged attempts
  std::deque<coordinator::EndpointId> waiting_endpoints_;    // found no capacity; the longest waiting first
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_REQUEST_DISPATCHER_H_
