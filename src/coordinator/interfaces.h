// What the core speaks: queries, attempts, final answers, and the four interfaces to the world. No wire here.
#ifndef LIFTRUDDER_COORDINATOR_INTERFACES_H_
#define LIFTRUDDER_COORDINATOR_INTERFACES_H_

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "decision_log/counts.h"
#include "routing/router.h"

namespace liftrudder::coordinator {

using routing::AttemptOutcome;
using routing::EndpointId;
using routing::Id;
using routing::Micros;

struct ShardRequest {
  int shard = 0;
  double weight = 0;
  Micros work_us = 0;
  std::uint64_t key = 0;
};

// Whether the client of a query is still there: its front says so the moment it has gone, and what has not
// been begun by then is not begun any more. Any thread.
class ClientPresence {
 public:
  void MarkDisconnected() { disconnected_ = true; }
  bool Disconnected() const { return disconnected_; }

 private:
  std::atomic<bool> disconnected_{false};
};

// What every part of a query carries on, byte for byte as the client gave it.
struct Payload {
  std::string call_id;
  std::string idempotency_key;  // only in a deduplicated class
  std::string statement;
  std::string target;                            // which index it is about, where a front has such a thing
  std::shared_ptr<const ClientPresence> client;  // null: nobody looks
};

struct QueryRequest {
  int class_index = 0;
  bool is_retry = false;
  Micros received_us = 0;  // when its first byte was seen
  Micros deadline_us = 0;
  decision_log::FrontKind front = decision_log::FrontKind::kPlatform;
  std::string label;  // the client's own name for it, kMaxIdBytes bytes at most, where the front has such a
                      // thing; for the record alone
  std::shared_ptr<const Payload> payload;
  std::vector<ShardRequest> shard_requests;
};

enum class Verdict { kAnswered, kRejected, kFailed };

struct ShardResponse {
  int shard = 0;
  std::string value;
};

struct FinalAnswer {
  Verdict verdict = Verdict::kFailed;
  bool complete = false;
  Micros retry_after_us = 0;
  std::vector<ShardResponse> shard_responses;
  int shard_requests = 0;             // of the query, answered or not
  bool cut_by_time = false;  // in part because its time had come, not for want of holders
};

using decision_log::Cause;
using decision_log::Progress;

AttemptOutcome OutcomeOf(Progress progress, Cause cause);

struct AttemptKey {
  Id shard_request = 0;
  int attempt = 0;
  auto operator<=>(const AttemptKey&) const = default;
};

struct AttemptRequest {
  AttemptKey key;
  EndpointId endpoint;
  int shard = 0;
  int class_index = 0;
  Micros attempt_deadline_us = 0;
  std::shared_ptr<const Payload> payload;
};

struct AttemptResult {
  AttemptKey key;
  Progress progress = Progress::kNotConnected;
  Cause cause = Cause::kConnectionLost;
  std::vector<double> load;
  std::string value;
};

// A query that a response answers; status: its own where it has one, as in a multi-search, else 0.
struct AnsweredQuery {
  Id query = 0;
  int status = 0;
};

// One client waiting for one query. Deliver is called at most once, from the core's thread, and never blocks.
class ClientReply {
 public:
  virtual ~ClientReply() = default;
  virtual void Deliver(FinalAnswer answer) = 0;
};

// Takes attempts to holders. No call blocks on a socket; each Start ends in exactly one result. What is
// started in one round goes out with its end, so that parts for one holder can share a call.
class EndpointTransport {
 public:
  virtual ~EndpointTransport() = default;
  virtual void Start(AttemptRequest order) = 0;
  virtual void EndRound() = 0;
  virtual void CancelAttempt(const AttemptKey& key, const EndpointId& endpoint, Cause cause) = 0;
  // Its holder is asked to give it up; it ends as soon as that is known, or as if it had not been asked.
  virtual void RequestCancellation(const AttemptKey& key) = 0;
  virtual void CloseIdle(const EndpointId& endpoint) = 0;
  // Lets go of what is kept for holders that take nothing new and have nothing out.
  virtual void ReleaseRemovedEndpoints() = 0;
};

struct EndpointAddress {
  std::string id;
  std::string addr;
  Micros drain_deadline_us = 0;  // told that it drains or is gone: nothing new from then on; 0: not told
};

// The holders by their identity; safe from any thread.
class EndpointResolver {
 public:
  virtual ~EndpointResolver() = default;
  virtual EndpointAddress Find(const EndpointId& endpoint) const = 0;
};

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Micros Now() const = 0;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_INTERFACES_H_
