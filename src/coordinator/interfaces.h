// The interfaces through which the coordinator reaches clients, endpoints, endpoint addresses and the time.
// Sockets, wire formats and files are left to the implementations.
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
  // Accepts an attempt. Sending may be deferred until EndRound, so that shard requests of one round to one
  // endpoint can share a call.
  virtual void Start(AttemptRequest attempt) = 0;
  // Sends the attempts that were started since the last call.
  virtual void EndRound() = 0;
  // Ends the attempt now with `cause`, unless it has ended already. It was started for `endpoint`.
  virtual void CancelAttempt(const AttemptKey& key, const EndpointId& endpoint, Cause cause) = 0;
  // Asks the endpoint to cancel the attempt. The attempt ends when the endpoint confirms the cancellation, or
  // as it would have ended if no cancellation had been requested.
  virtual void RequestCancellation(const AttemptKey& key) = 0;
  // Ends the attempt now with Cause::kRepeatTooLate if its first byte has not been written.
  virtual void EndIfUnsent(const AttemptKey& key) = 0;
  // Closes the endpoint's connections that carry no attempt.
  virtual void CloseIdle(const EndpointId& endpoint) = 0;
  // Releases the resources held for endpoints that are draining or removed and have no attempt in flight.
  virtual void ReleaseRemovedEndpoints() = 0;
};

struct EndpointAddress {
  std::string id;         // the name in the endpoint list; empty: the endpoint is unknown
  std::string addr;       // "host:port"
  Micros started_us = 0;  // start time of its process, as listed; 0: long ago
  // When its draining or removal was first notified after it was last listed as ready; 0 if neither has been.
  // No attempt may start from that time on, not even within Settings::drain_grace_us.
  Micros drain_notified_us = 0;
};

// Finds the address of an endpoint. Thread-safe.
class EndpointResolver {
 public:
  virtual ~EndpointResolver() = default;
  // Returns an address with an empty id for an endpoint that is unknown or forgotten.
  virtual EndpointAddress Find(const EndpointId& endpoint) const = 0;
};

// Monotonic time in microseconds from an unspecified origin. Thread-safe.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Micros Now() const = 0;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_INTERFACES_H_
