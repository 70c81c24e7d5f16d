// A query as a reader assembles it from the record: its shard requests, the attempts at each with the
// endpoints that were considered, the reasons why it was pending, its end, and the responses to its client.
// Plain data; usable from any thread. Times are microseconds since the query's arrival unless stated
// otherwise.
#ifndef LIFTRUDDER_DECISION_LOG_TRACE_H_
#define LIFTRUDDER_DECISION_LOG_TRACE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "decision_log/counts.h"

namespace liftrudder::decision_log {

struct EndpointName {
  std::uint32_t number = 0;  // 0: no endpoint
  std::string id;            // "#number" if the record no longer has the name
  std::string addr;
};

// An endpoint that was considered for an attempt.
struct CandidateTrace {
  EndpointName endpoint;
  int in_flight = 0;  // this coordinator's shard requests in flight there
  routing::Eligibility eligibility = routing::Eligibility::kEligible;
  bool eligible = false;  // among those from which the endpoint was chosen
};

struct AttemptTrace {
  int number = 0;
  EndpointName endpoint;
  std::int64_t at_us = 0;
  std::int64_t timeout_us = 0;
  routing::DispatchKind kind = routing::DispatchKind::kFirst;
  // Of a retry: how the attempt before ended.
  routing::AttemptOutcome previous_outcome = routing::AttemptOutcome::kOk;
  std::vector<CandidateTrace> candidates;
  int omitted = 0;  // further candidates, not in the list
  std::optional<std::int64_t> cancelled_us;
  routing::CancelReason cancel_reason = routing::CancelReason::kAnswered;
  std::optional<std::int64_t> ended_us;  // nullopt: still in flight, or the record ends earlier
  routing::AttemptOutcome outcome = routing::AttemptOutcome::kOk;
  Progress progress = Progress::kNotConnected;
  Cause cause = Cause::kServed;
};

// A moment from which the shard request had no attempt in flight, and the reason.
struct PendingTrace {
  std::int64_t at_us = 0;
  routing::PendingReason reason = routing::PendingReason::kNone;
  double observed = 0, threshold = 0;  // in the reason's unit
  std::vector<CandidateTrace> candidates;
};

struct ShardRequestTrace {
  int shard = 0;
  double weight = 0;
  std::int64_t work_us = 0;
  std::vector<AttemptTrace> attempts;
  std::vector<PendingTrace> pending;
};

struct ResponseTrace {
  std::int64_t at_us = 0;
  int status = 0;  // HTTP status
  std::int64_t bytes = 0;
  bool fully_written = true;
};

struct QueryTrace {
  std::uint32_t serial = 0;    // in the record; increases with each query
  std::string call_id, label;  // raw bytes, as a client chose them
  std::uint64_t id_hash = 0, label_hash = 0;
  bool id_cut = false, is_retry = false;
  bool events_dropped = false;  // its share of the record was used up, or no block was free
  bool torn = false;            // a block of it could not be read
  std::int64_t arrived_us = 0;  // by the program's clock
  std::int64_t budget_us = 0;   // from arrival to deadline
  int class_index = 0;
  std::string class_name;
  FrontKind front = FrontKind::kPlatform;
  int declared_shard_requests = 0;  // at its arrival
  std::vector<ShardRequestTrace> shard_requests;
  Verdict verdict = Verdict::kOpen;
  IntakeResult intake = IntakeResult::kNone;
  routing::CompletionCause cause = routing::CompletionCause::kUnspecified;
  double observed = 0, threshold = 0;  // in the cause's unit
  EndpointName overloaded_endpoint;    // for CompletionCause::kEndpointLoad
  std::int64_t ended_us = 0, retry_after_us = 0;
  int shard_responses = 0;
  std::vector<ResponseTrace> responses;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_TRACE_H_
