// Enumerations of the decision log beyond the routing module's reasons (verdicts, intake results, retention
// groups, losses), the wire name of each value, and the position of its counter in the record's tables. Plain
// values; usable from any thread.
//
// All enumerations here are written to the record file: enumerators may be renamed, never renumbered
// (record_format_check.cpp).
#ifndef LIFTRUDDER_DECISION_LOG_COUNTS_H_
#define LIFTRUDDER_DECISION_LOG_COUNTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "decision_log/attempt_result.h"
#include "routing/router.h"

namespace liftrudder::decision_log {

// How a query ended.
enum class Verdict : std::uint8_t {
  kOpen,
  kComplete,
  kPartial,
  kRejected,
  kFailed,
  kExpired,             // its front timed out waiting for the coordinator
  kClientDisconnected,  // ended without an answer
  kRejectedAtIntake,    // rejected before it became a query
};
constexpr std::size_t kVerdicts = 8;

// Why a front rejected a request before it became a query, or ended a query by itself.
enum class IntakeResult : std::uint8_t {
  kNone,
  kUnreadable,          // not HTTP, or not received in time
  kMalformed,           // HTTP, but not a query
  kDuplicateId,         // a query with this id is open
  kTooManyOpen,         // more open queries and shard requests (observed) than allowed (threshold)
  kTooManyConnections,  // rejected with its connection
  kAnswerTimeout,       // the coordinator had no answer in time, so the front answered
  kPipelined,           // the client sent more data before it had its answer
  kClientDisconnected,
  kShuttingDown,  // not complete when a shutdown left no time for it
};
constexpr std::size_t kIntakeResults = 10;

// The class index of a request that names no known class.
constexpr int kUnknownClass = 255;

// The group of an ended query when a full record has to evict queries.
enum class RetentionGroup : std::uint8_t {
  kRejected,
  kPartial,
  kFailed,
  kRejectedAtIntake,
  kClientDisconnected,
  // Complete, but something was retried, hedged, cancelled for an outlier or dead connection, or had to wait.
  kEventful,
  kOrdinary,
};
constexpr std::size_t kRetentionGroups = 7;

// What the record lost: queries and events that were never written, and overwritten endpoint names.
enum class RecordLoss : std::uint8_t {
  kNoSpace,                 // a query: the record was full and nothing could be evicted
  kEventLimit,              // an event: its query had used its share, or no block was free
  kQueueFull,               // a front's event: the queue to the coordinator was full
  kIntakeRateLimit,         // a rejection at intake above the rate that is recorded
  kEndpointNameOverwritten  // an endpoint's name: a newer endpoint took its slot
};
constexpr std::size_t kRecordLosses = 5;

// Counters kept for each endpoint, in buckets of kBucketSeconds.
enum class EndpointCount : std::uint8_t { kSent, kRetriedAfter, kUnansweredFor, kMissing };
constexpr std::size_t kEndpointCountKinds = 4;

// The interface through which a query arrived.
enum class FrontKind : std::uint8_t { kPlatform, kSearch, kCount, kScroll, kMultiSearch };

// The number of values of each of the routing module's enumerations.
constexpr std::size_t kCompletionCauses = 14;
constexpr std::size_t kDispatchKinds = 6;
constexpr std::size_t kAttemptOutcomes = 8;
constexpr std::size_t kPendingReasons = 10;
constexpr std::size_t kCloseReasons = 2;

// Offset of each group of counters in a row of the record's counter tables. Part of the file format; the gaps
// leave room for new values.
constexpr std::size_t kVerdictCounters = 0;
constexpr std::size_t kCompletionCounters = 8;
constexpr std::size_t kIntakeCounters = 24;
constexpr std::size_t kDispatchCounters = 36;
constexpr std::size_t kRetryCounters = 44;
constexpr std::size_t kPendingCounters = 52;
constexpr std::size_t kEvictionCounters = 64;
constexpr std::size_t kLossCounters = 72;
constexpr std::size_t kCloseCounters = 78;
constexpr std::size_t kCountersEnd = 80;

constexpr std::size_t CounterOf(Verdict value) { return kVerdictCounters + static_cast<std::size_t>(value); }
constexpr std::size_t CounterOf(routing::CompletionCause value) {
  return kCompletionCounters + static_cast<std::size_t>(value);
}
constexpr std::size_t CounterOf(IntakeResult value) {
  return kIntakeCounters + static_cast<std::size_t>(value);
}
constexpr std::size_t CounterOf(routing::DispatchKind value) {
  return kDispatchCounters + static_cast<std::size_t>(value);
}
// Counts retries by the outcome of the preceding attempt.
constexpr std::size_t CounterOf(routing::AttemptOutcome value) {
  return kRetryCounters + static_cast<std::size_t>(value);
}
constexpr std::size_t CounterOf(routing::PendingReason value) {
  return kPendingCounters + static_cast<std::size_t>(value);
}
// Counts evicted queries.
constexpr std::size_t CounterOf(RetentionGroup value) {
  return kEvictionCounters + static_cast<std::size_t>(value);
}
constexpr std::size_t CounterOf(RecordLoss value) { return kLossCounters + static_cast<std::size_t>(value); }
constexpr std::size_t CounterOf(routing::CloseReason value) {
  return kCloseCounters + static_cast<std::size_t>(value);
}

// The wire name of a value, as used in JSON, in summaries and in filters; "unknown" for a value out of range,
// which a damaged record may hold.
std::string_view Name(Verdict value);
std::string_view Name(IntakeResult value);
std::string_view Name(RetentionGroup value);
std::string_view Name(RecordLoss value);
std::string_view Name(FrontKind value);
std::string_view Name(Progress value);
std::string_view Name(Cause value);
std::string_view Name(routing::AttemptOutcome value);
std::string_view Name(routing::Eligibility value);
std::string_view Name(routing::DispatchKind value);
std::string_view Name(routing::CompletionCause value);
std::string_view Name(routing::CancelReason value);
std::string_view Name(routing::CloseReason value);
std::string_view Name(routing::PendingReason value);

// The value with this name, or nullopt if there is none.
std::optional<Verdict> VerdictOf(std::string_view name);
std::optional<routing::CompletionCause> CompletionCauseOf(std::string_view name);
std::optional<IntakeResult> IntakeResultOf(std::string_view name);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_COUNTS_H_
