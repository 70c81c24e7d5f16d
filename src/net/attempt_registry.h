// Holds the attempts that a connection pool has accepted and that have not ended, and guarantees exactly one
// result for each. Independent of connections and sockets. Guarded by the pool's lock.
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

// Receives the result of every attempt. Called under the pool's lock: must not block or call the pool.
using ResultSink = std::function<void(coordinator::AttemptResult)>;

struct Attempt {
  coordinator::AttemptRequest request;
  coordinator::Progress progress = coordinator::Progress::kNotConnected;
  ConnectionId connection = kNoConnection;  // set while its request is being written or is in flight
  coordinator::Micros queued_us = 0;
  int broken_connections = 0;           // connections that broke before its request's first byte was written
  bool cancellation_requested = false;  // by the coordinator, which still waits for the result
};

class AttemptRegistry {
 public:
  explicit AttemptRegistry(ResultSink sink) : sink_(std::move(sink)) {}

  void Add(coordinator::AttemptRequest request, coordinator::Micros now_us);
  // Null if the attempt has ended. The pointer is valid until the attempt ends.
  Attempt* Find(const coordinator::AttemptKey& key);
  bool Contains(const coordinator::AttemptKey& key) const { return attempts_.contains(key); }
  // Removes the attempt and passes its result to the sink. Does nothing if it has already ended.
  void Finish(const coordinator::AttemptKey& key, coordinator::Cause cause, EndpointResponse response = {});
  void FinishAll(coordinator::Cause cause);

 private:
  const ResultSink sink_;
  std::map<coordinator::AttemptKey, Attempt> attempts_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ATTEMPT_REGISTRY_H_
