// The plain data that fronts, coordinator and transport exchange: queries, attempts and their results, final
// answers. Independent of wire formats and I/O. An object belongs to one thread at a time, except for
// ClientPresence and the immutable Payload.
#ifndef LIFTRUDDER_COORDINATOR_MESSAGES_H_
#define LIFTRUDDER_COORDINATOR_MESSAGES_H_

#include <atomic>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "decision_log/counts.h"
#include "routing/router.h"

namespace liftrudder::coordinator {

using decision_log::Cause;
using decision_log::Progress;
using routing::AttemptOutcome;
using routing::EndpointId;
using routing::Id;
using routing::Micros;

// The part of a query that goes to one shard, as the client requested it.
struct ShardRequest {
  int shard = 0;
  double weight = 0;      // share of the query's coverage
  Micros work_us = 0;     // expected work; 0: the client did not state it
  std::uint64_t key = 0;  // for key affinity
};

// Whether the client of a query is still connected. Its front marks the disconnect at once, so that shard
// requests whose first byte has not been sent by then are not sent at all. Thread-safe.
class ClientPresence {
 public:
  virtual ~ClientPresence() = default;
  void MarkDisconnected() { disconnected_ = true; }
  // Whether the disconnection has been marked.
  bool Disconnected() const { return disconnected_; }
  // The same, after a look at the connection where that is possible: its front may be behind. Must not block.
  virtual bool CheckDisconnected() const { return Disconnected(); }

 private:
  std::atomic<bool> disconnected_{false};
};

// The part of a query that all of its shard requests send to their endpoints. Shared and immutable once the
// query has been admitted.
struct Payload {
  std::string call_id;
  std::string idempotency_key;  // empty unless the class requires one
  std::string statement;
  std::string target;  // path and parameters of the HTTP request to the endpoint; search fronts only
  std::shared_ptr<const ClientPresence> client;  // null: the client's presence is not tracked
};

// A query as a front submits it for admission.
struct QueryRequest {
  int class_index = 0;
  bool is_retry = false;
  Micros received_us = 0;  // when its last byte was read; 0: unknown
  Micros deadline_us = 0;
  decision_log::FrontKind front = decision_log::FrontKind::kPlatform;
  // The client's own name for the query, at most decision_log::kMaxIdBytes bytes, for fronts that have one;
  // used by the decision log only.
  std::string label;
  std::shared_ptr<const Payload> payload;
  std::vector<ShardRequest> shard_requests;
};

enum class Verdict { kAnswered, kRejected, kFailed };

struct ShardResponse {
  int shard = 0;
  std::string value;
};

// The single answer to a query.
struct FinalAnswer {
  Verdict verdict = Verdict::kFailed;
  bool complete = false;
  Micros retry_after_us = 0;  // for a rejected query; 0: not given
  std::vector<ShardResponse> shard_responses;
  int shard_requests = 0;  // of the query, answered or not
  // The answer is partial because the latency objective was reached; false if endpoints were lacking.
  bool latency_objective_reached = false;
};

// Identifies an attempt; attempts of a shard request are numbered from 0.
struct AttemptKey {
  Id shard_request = 0;
  int attempt = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the defaulted operator for a comparison with 0.
  auto operator<=>(const AttemptKey&) const = default;
};

// An attempt for the transport to carry out.
struct AttemptRequest {
  AttemptKey key;
  EndpointId endpoint;
  int shard = 0;
  int class_index = 0;
  Micros attempt_deadline_us = 0;
  // The attempt must not be sent from then on. The deadline, or earlier for a repeat within a deduplication
  // window.
  Micros latest_send_us = 0;
  std::shared_ptr<const Payload> payload;
};

// How an attempt ended, as the transport observed it.
struct AttemptResult {
  AttemptKey key;
  Progress progress = Progress::kNotConnected;
  Cause cause = Cause::kConnectionLost;
  std::vector<double> load;  // the endpoint's load report, in the order of the settings; empty: none
  std::string value;         // the response, if the endpoint gave one
};

// Returns the outcome of an ended attempt. It tells the router whether the endpoint may have run the attempt.
AttemptOutcome OutcomeOf(Progress progress, Cause cause);

// A query that a response to a client answers. `status`: the query's own HTTP status where it has one, as in
// a multi-search; otherwise 0.
struct AnsweredQuery {
  Id query = 0;
  int status = 0;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_MESSAGES_H_
