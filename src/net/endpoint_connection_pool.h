// The pool of connections to all endpoints: takes attempts from the coordinator, sends them and reports each
// result exactly once. No call blocks on a socket. Requests are written on the caller's thread as far as
// the socket takes them; the pool's one thread writes the rest, reads responses, completes connects and
// enforces time limits, for any number of endpoints.
//
// The parts, all under the pool's one lock, each using only those before it:
//   AttemptRegistry         the attempts that have not ended
//   EndpointPoller          readiness of sockets, the thread's sleep
//   EndpointConnectionTable opening and closing connections, their number
//   EndpointConnectionIo    frames out, responses in
//   RequestDispatcher       queues; which attempt takes which connection
// What is spoken on a connection is an EndpointProtocol's.
#ifndef LIFTRUDDER_NET_ENDPOINT_CONNECTION_POOL_H_
#define LIFTRUDDER_NET_ENDPOINT_CONNECTION_POOL_H_

#include <mutex>

#include "coordinator/interfaces.h"
#include "metrics/metrics.h"
#include "metrics/operator_figures.h"
#include "net/attempt_registry.h"
#include "net/endpoint_connection_io.h"
#include "net/endpoint_connection_table.h"
#include "net/endpoint_poller.h"
#include "net/endpoint_protocol.h"
#include "net/request_dispatcher.h"
#include "net/socket.h"

namespace liftrudder::net {

class EndpointConnectionPool : public coordinator::EndpointTransport {
 public:
  // All references outlive the pool. `sink` is called under the pool's lock, from the pool's thread or from
  // within a call of the pool.
  EndpointConnectionPool(const EndpointProtocol& protocol, const coordinator::EndpointResolver& resolver,
                         const coordinator::Clock& clock, const ConnectionLimits& limits,
                         metrics::Counters& counters, metrics::OperatorFigures& figures, ResultSink sink);
  // Ends the attempts that are still open as lost with their connections.
  ~EndpointConnectionPool() override;
  EndpointConnectionPool(const EndpointConnectionPool&) = delete;
  EndpointConnectionPool& operator=(const EndpointConnectionPool&) = delete;

  void Start(coordinator::AttemptRequest request) override;
  void EndRound() override;
  // The attempt ends at once, whatever its endpoint is doing.
  void CancelAttempt(const coordinator::AttemptKey& key, const coordinator::EndpointId& endpoint,
                     coordinator::Cause cause) override;
  // An attempt of which a byte was written goes on until it is answered, its connection ends or its time is
  // over: an endpoint that does not read may never see the cancellation. Before that it ends at once.
  void RequestCancellation(const coordinator::AttemptKey& key) override;
  void CloseIdle(const coordinator::EndpointId& endpoint) override;
  void ReleaseRemovedEndpoints() override;
  // The endpoint list has changed, and with it the connections that the pool may hold.
  void Resize(int max_connections, int endpoints);

 private:
  void Run();
  // These hold the lock.
  void HandleEvent(const EndpointPoller::Event& event);
  void SweepIfDue(Micros now_us);
  Micros Sweep(Micros now_us);
  Micros EnforceTimeLimits(ConnectionId id, EndpointConnection& connection, Micros now_us);
  void Cancel(const coordinator::AttemptKey& key, coordinator::Cause cause);
  void AbandonResponse(const coordinator::AttemptKey& key, const Attempt& attempt,
                       EndpointConnection& connection, coordinator::Cause cause);

  const EndpointProtocol& protocol_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;
  std::mutex mutex_;  // guards everything below but `thread_`; never held while waiting
  ConnectionLimits limits_;
  bool stopping_ = false;
  AttemptRegistry attempts_;
  EndpointPoller poller_;
  EndpointConnectionTable connections_;
  EndpointConnectionIo io_;
  RequestDispatcher dispatcher_;
  Thread thread_;  // last: it uses everything above
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ENDPOINT_CONNECTION_POOL_H_
