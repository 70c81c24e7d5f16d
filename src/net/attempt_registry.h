// The attempts that a connection pool has accepted and not ended yet. It knows no connection and no socket;
// it guarantees that each attempt ends in exactly one result. It has no lock of its own: the pool's lock
// guards it.
#ifndef LIFTRUDDER_NET_ATTEMPT_REGISTRY_H_
#define LIFTRUDDER_NET_ATTEMPT_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>

#include "coordinator/interfaces.h"
#include "net/endpoint_protocol.h"

namespace liftrudder::net {

// Identifies a pooled connection. Ids are never reused, so that a late event or a stale reference finds no
// connection instead of the wrong one.
using ConnectionId = std::uint64_t;
constexpr ConnectionId kNoConnection = 0;

// Receives the result of every attempt, under the pool's lock: it must not block and must not call the pool.
using ResultSink = std::function<void(coordinator::AttemptResult)>;

struct Attempt {
  coordinator::AttemptRequest request;
  coordinator::Progress progress = coordinator::Progress::kNotConnected;
  ConnectionId connection = kNoConnection;  // set while its request is being written or is in flight
  coordinator::Micros queued_us = 0;
  int broken_connections = 0;           // how many broke before the first byte of its request
  bool cancellation_requested = false;  // by the coordinator, which still waits for the result
};

class AttemptRegistry {
 public:
  explicit AttemptRegistry(ResultSink sink) : sink_(std::move(sink)) {}

  void Add(coordinator::AttemptRequest request, coordinator::Micros now_us);
  // Null when the attempt has ended. Valid until the attempt ends.
  Attempt* Find(const coordinator::AttemptKey& key);
  bool Contains(const coordinator::AttemptKey& key) const { return attempts_.contains(key); }
  // Ends the attempt and passes its result on. Does nothing when it has ended already.
  void Finish(const coordinator::AttemptKey& key, coordinator::Cause cause, EndpointResponse response = {});
  void FinishAll(coordinator::Cause cause);

 private:
  const ResultSink sink_;
  std::map<coordinator::AttemptKey, Attempt> attempts_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ATTEMPT_REGISTRY_H_
