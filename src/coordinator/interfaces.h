// The interfaces between the coordinator and the outside world: endpoints, endpoint addresses, clients, time.
// Pure interfaces; sockets, wire formats and files are the business of their implementations.
#ifndef LIFTRUDDER_COORDINATOR_INTERFACES_H_
#define LIFTRUDDER_COORDINATOR_INTERFACES_H_

#include <string>

#include "coordinator/messages.h"

namespace liftrudder::coordinator {

// A client that waits for the answer to one query.
class ClientReply {
 public:
  virtual ~ClientReply() = default;
  // Called at most once, on the coordinator thread. Must not block.
  virtual void Deliver(FinalAnswer answer) = 0;
};

// Carries attempts to endpoints. All methods are called on the coordinator thread and must not block on a
// socket. Each started attempt ends in exactly one AttemptResult, posted to the coordinator from any thread.
class EndpointTransport {
 public:
  virtual ~EndpointTransport() = default;
  // Accepts an attempt. It may be sent as late as EndRound, so that shard requests of one round to one
  // endpoint can share a call.
  virtual void Start(AttemptRequest attempt) = 0;
  // Sends what has been started since the last call.
  virtual void EndRound() = 0;
  // Ends the attempt now with `cause`, unless it has ended already. `endpoint` is the one it was started for.
  virtual void CancelAttempt(const AttemptKey& key, const EndpointId& endpoint, Cause cause) = 0;
  // Asks the endpoint to give the attempt up. The attempt ends once the endpoint has confirmed that, or
  // otherwise as if it had not been asked.
  virtual void RequestCancellation(const AttemptKey& key) = 0;
  // Closes the endpoint's connections that carry no attempt.
  virtual void CloseIdle(const EndpointId& endpoint) = 0;
  // Frees what is held for endpoints that are draining or removed and have no attempt in flight.
  virtual void ReleaseRemovedEndpoints() = 0;
};

struct EndpointAddress {
  std::string id;    // the name in the endpoint list; empty: the endpoint is unknown
  std::string addr;  // "host:port"
  // When its draining or removal was notified; no attempt may start from then on (no grace is added, it is
  // not Settings::drain_grace_us). 0: neither.
  Micros drain_deadline_us = 0;
};

// Finds the address of an endpoint. Thread-safe.
class EndpointResolver {
 public:
  virtual ~EndpointResolver() = default;
  // An address with an empty id for an endpoint that is unknown or forgotten.
  virtual EndpointAddress Find(const EndpointId& endpoint) const = 0;
};

// Monotonic time in microseconds, of no particular origin. Thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Micros Now() const = 0;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_INTERFACES_H_
