// Checks the numbers of all values that are written to the record file. If an assertion fails, records of
// earlier versions would be misread: give a new enumerator a new number at the end, or raise kFormatVersion.
#include <initializer_list>

#include "decision_log/counts.h"
#include "decision_log/record_format.h"

namespace liftrudder::decision_log {
namespace {

// Whether the values are numbered 0, 1, 2 and so on.
template <typename Value>
consteval bool Numbered(std::initializer_list<Value> values) {
  std::size_t number = 0;
  for (Value value : values) {
    if (static_cast<std::size_t>(value) != number) return false;
    ++number;
  }
  return true;
}

static_assert(kFormatVersion == 2);

using enum EventKind;
static_assert(Numbered({kNone, kOpened, kShardRequest, kSent, kEnded, kCancelled, kPending, kCompleted,
                        kResponse, kIntake}));
static_assert(kEventsDroppedFlag == 1 && kIdCutFlag == 2 && kRetryFlag == 4);

static_assert(Numbered({Verdict::kOpen, Verdict::kComplete, Verdict::kPartial, Verdict::kRejected,
                        Verdict::kFailed, Verdict::kExpired, Verdict::kClientDisconnected,
                        Verdict::kRejectedAtIntake}));
static_assert(Numbered({IntakeResult::kNone, IntakeResult::kUnreadable, IntakeResult::kMalformed,
                        IntakeResult::kDuplicateId, IntakeResult::kTooManyOpen,
                        IntakeResult::kTooManyConnections, IntakeResult::kAnswerTimeout,
                        IntakeResult::kPipelined, IntakeResult::kClientDisconnected,
                        IntakeResult::kShuttingDown}));
static_assert(Numbered({RetentionGroup::kRejected, RetentionGroup::kPartial, RetentionGroup::kFailed,
                        RetentionGroup::kRejectedAtIntake, RetentionGroup::kClientDisconnected,
                        RetentionGroup::kEventful, RetentionGroup::kOrdinary}));
static_assert(Numbered({RecordLoss::kNoSpace, RecordLoss::kEventLimit, RecordLoss::kQueueFull,
                        RecordLoss::kIntakeRateLimit, RecordLoss::kEndpointNameOverwritten}));
static_assert(Numbered({EndpointCount::kSent, EndpointCount::kRetriedAfter, EndpointCount::kUnansweredFor,
                        EndpointCount::kMissing}));
static_assert(Numbered({FrontKind::kPlatform, FrontKind::kSearch, FrontKind::kCount, FrontKind::kScroll,
                        FrontKind::kMultiSearch}));
static_assert(Numbered({Progress::kNotConnected, Progress::kPartlyWritten, Progress::kFullyWritten,
                        Progress::kAnswering}));
static_assert(Numbered({Cause::kServed, Cause::kEndpointError, Cause::kEndpointRejected,
                        Cause::kInvalidResponse, Cause::kConnectionLost, Cause::kCancelled, Cause::kExpired,
                        Cause::kStale, Cause::kClientDisconnected, Cause::kRepeatTooLate}));

using routing::AttemptOutcome;
using routing::CancelReason;
using routing::CloseReason;
using routing::CompletionCause;
using routing::DispatchKind;
using routing::Eligibility;
using routing::PendingReason;
static_assert(Numbered({AttemptOutcome::kOk, AttemptOutcome::kError, AttemptOutcome::kOverloaded,
                        AttemptOutcome::kTimeout, AttemptOutcome::kConnectFailed, AttemptOutcome::kReset,
                        AttemptOutcome::kCancelled, AttemptOutcome::kNotSent}));
static_assert(Numbered({Eligibility::kEligible, Eligibility::kAlreadyTried, Eligibility::kSlowStartShare,
                        Eligibility::kSlowStartLimit, Eligibility::kOutlier, Eligibility::kUnresponsive,
                        Eligibility::kZoneEjected, Eligibility::kDraining, Eligibility::kRemoved}));
static_assert(Numbered({DispatchKind::kFirst, DispatchKind::kCanary, DispatchKind::kProbe,
                        DispatchKind::kRetry, DispatchKind::kStragglerHedge, DispatchKind::kOutlierHedge}));
static_assert(Numbered({CompletionCause::kUnspecified, CompletionCause::kComplete,
                        CompletionCause::kLatencyObjective, CompletionCause::kNoPendingRequests,
                        CompletionCause::kLoad, CompletionCause::kEndpointLoad,
                        CompletionCause::kNoRemainingValue, CompletionCause::kEndpointsLost,
                        CompletionCause::kCoverageUnreachable, CompletionCause::kNoLateValue,
                        CompletionCause::kExpired, CompletionCause::kUnknownClass,
                        CompletionCause::kInvalidSettings, CompletionCause::kShutdown}));
static_assert(Numbered({CancelReason::kAnswered, CancelReason::kQueryOver, CancelReason::kEndpointOutlier,
                        CancelReason::kDeadConnection}));
static_assert(Numbered({CloseReason::kDeadConnection, CloseReason::kIdleTimeout}));
static_assert(Numbered({PendingReason::kNone, PendingReason::kCutoff, PendingReason::kEndpointLoad,
                        PendingReason::kCanary, PendingReason::kNoEndpoint, PendingReason::kRetryBudget,
                        PendingReason::kAttemptLimit, PendingReason::kNotRepeatable,
                        PendingReason::kPoisonQuery, PendingReason::kDeadline}));

static_assert(kVerdictCounters + kVerdicts <= kCompletionCounters);
static_assert(kCompletionCounters + kCompletionCauses <= kIntakeCounters);
static_assert(kIntakeCounters + kIntakeResults <= kDispatchCounters);
static_assert(kDispatchCounters + kDispatchKinds <= kRetryCounters);
static_assert(kRetryCounters + kAttemptOutcomes <= kPendingCounters);
static_assert(kPendingCounters + kPendingReasons <= kEvictionCounters);
static_assert(kEvictionCounters + kRetentionGroups <= kLossCounters);
static_assert(kLossCounters + kRecordLosses <= kCloseCounters);
static_assert(kCloseCounters + kCloseReasons <= kCountersEnd);
static_assert(kCountersEnd <= kCounters, "the tables of counters have no room for a new group");

}  // namespace
}  // namespace liftrudder::decision_log
