// The pool of connections to all endpoints: takes attempts from the coordinator, sends them and reports each
// result exactly once. No call blocks on a socket. Requests are written on the caller's thread as far as the
// socket accepts them; the pool's single thread writes the rest, reads responses, completes connects and
// enforces time limits, for any number of endpoints.
//
// Its parts, all guarded by the pool's lock; each uses only those before it:
//   AttemptRegistry         holds the attempts that have not ended
//   EndpointPoller          waits for socket readiness and the next sweep
//   EndpointConnectionTable opens, closes and counts connections
//   EndpointConnectionIo    writes frames and reads responses
//   RequestDispatcher       queues attempts and assigns them to connections
// An EndpointProtocol defines the frames and responses.
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
  // All references must outlive the pool. `sink` is called under the pool's lock, on the pool's thread or
  // within a call to the pool.
  EndpointConnectionPool(const EndpointProtocol& protocol, const coordinator::EndpointResolver& resolver,
                         const coordinator::Clock& clock, const ConnectionLimits& limits,
                         metrics::Counters& counters, metrics::OperatorFigures& figures, ResultSink sink);
  // Ends the remaining attempts with kConnectionLost.
  ~EndpointConnectionPool() override;
  EndpointConnectionPool(const EndpointConnectionPool&) = delete;
  EndpointConnectionPool& operator=(const EndpointConnectionPool&) = delete;

  void Start(coordinator::AttemptRequest request) override;
  void EndRound() override;
  // Ends the attempt immediately, without waiting for its endpoint.
  void CancelAttempt(const coordinator::AttemptKey& key, const coordinator::EndpointId& endpoint,
                     coordinator::Cause cause) override;
  // An attempt whose request has begun to be written continues until it is answered, its connection closes or
  // it times out: an endpoint that does not read may never see the cancellation. Any other attempt is ended
  // before the call returns.
  void RequestCancellation(const coordinator::AttemptKey& key) override;
  void EndIfUnsent(const coordinator::AttemptKey& key) override;
  void CloseIdle(const coordinator::EndpointId& endpoint) override;
  void ReleaseRemovedEndpoints() override;
  // Sets the number of connections that the pool may hold after the endpoint list has changed.
  void Resize(int max_connections, int endpoints);

 private:
  void Run();
  // The functions below are called with the lock held.
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
  std::mutex mutex_;  // guards everything below except `thread_`; never held while waiting
  ConnectionLimits limits_;
  bool stopping_ = false;
  AttemptRegistry attempts_;
  EndpointPoller poller_;
  EndpointConnectionTable connections_;
  EndpointConnectionIo io_;
  RequestDispatcher dispatcher_;
  Thread thread_;  // declared last: the thread uses all members above
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ENDPOINT_CONNECTION_POOL_H_
