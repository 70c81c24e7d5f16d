// The wire names of the explain interface (`/-/why` and the `why` sub-command): values, JSON members and
// parameters, each defined once. They are a public interface and do not change when names in the code do;
// code elsewhere uses the constants.
#ifndef LIFTRUDDER_DECISION_LOG_WIRE_NAMES_H_
#define LIFTRUDDER_DECISION_LOG_WIRE_NAMES_H_

#include <array>
#include <string_view>

#include "decision_log/counts.h"

namespace liftrudder::decision_log::wire {

// Names of values, indexed by enumerator.
inline constexpr std::array<std::string_view, kVerdicts> kVerdictNames = {
    "open", "whole", "partial", "refused", "failed", "late", "gone", "turned_away"};
inline constexpr std::array<std::string_view, kIntakeResults> kIntakeResultNames = {
    "none", "unreadable", "malformed", "duplicate_id", "too_many_open", "too_many_connections",
    "late", "crowded",    "left",      "shutdown"};
inline constexpr std::array<std::string_view, kRetentionGroups> kRetentionGroupNames = {
    "refused", "partial", "failed", "turned_away", "gone", "eventful", "ordinary"};
inline constexpr std::array<std::string_view, kRecordLosses> kRecordLossNames = {
    "no_room", "cut", "mail_full", "door_rate", "holder_name"};
inline constexpr std::array<std::string_view, 5> kFrontNames = {"platform", "search", "count", "scroll",
                                                                "msearch"};
inline constexpr std::array<std::string_view, 4> kProgressNames = {"not_connected", "partly_written",
                                                                   "wholly_written", "answering"};
inline constexpr std::array<std::string_view, 10> kCauseNames = {
    "served",    "broke",   "skipped", "spoilt", "connection_lost",
    "withdrawn", "expired", "stale",   "left",   "repeat_too_late"};
inline constexpr std::array<std::string_view, kAttemptOutcomes> kOutcomeNames = {
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};
inline constexpr std::array<std::string_view, 9> kEligibilityNames = {
    "fit", "tried", "cold_share", "cold_account", "sick", "dead", "far_zone", "draining", "gone"};
inline constexpr std::array<std::string_view, kDispatchKinds> kDispatchNames = {
    "first", "head_start", "trial", "resend", "straggler_copy", "suspect_copy"};
inline constexpr std::array<std::string_view, kCompletionCauses> kCompletionNames = {
    "unstated",      "whole",    "aim",       "nothing_more", "pressure", "hot",          "no_worth",
    "replicas_lost", "hopeless", "worthless", "expired",      "no_class", "bad_settings", "shutdown"};
inline constexpr std::array<std::string_view, 4> kCancelNames = {"answered", "query_over", "looks_sick",
                                                                 "dead_connection"};
inline constexpr std::array<std::string_view, kCloseReasons> kCloseNames = {"dead_connection",
                                                                            "unused_too_long"};
inline constexpr std::array<std::string_view, kPendingReasons> kPendingNames = {
    "none", "cut", "hot", "head_start", "no_replica", "budget", "attempts", "effect", "killer", "too_late"};

// Parameters of a question.
inline constexpr std::string_view kIdParameter = "id";
inline constexpr std::string_view kClassParameter = "class";
inline constexpr std::string_view kEndpointParameter = "holder";
inline constexpr std::string_view kVerdictParameter = "verdict";
inline constexpr std::string_view kReasonParameter = "reason";
inline constexpr std::string_view kSinceParameter = "since";
inline constexpr std::string_view kUntilParameter = "until";
inline constexpr std::string_view kLimitParameter = "limit";
inline constexpr std::string_view kFormatParameter = "format";
inline constexpr std::string_view kSummaryParameter = "summary";
inline constexpr std::string_view kJsonFormat = "json";
inline constexpr std::string_view kTextFormat = "text";

// Members of a reply about queries.
inline constexpr const char* kCoordinator = "gatherer";
inline constexpr const char* kStarted = "started";
inline constexpr const char* kQueries = "queries";
inline constexpr const char* kMore = "more";
inline constexpr const char* kBusyBlocks = "busy_blocks";
inline constexpr const char* kTornBlocks = "torn_blocks";
inline constexpr const char* kOccurrences = "seen";
inline constexpr const char* kOccurrencesSince = "seen_since";
inline constexpr const char* kText = "text";

// Members of a query.
inline constexpr const char* kId = "id";
inline constexpr const char* kVerdict = "verdict";
inline constexpr const char* kLabel = "label";
inline constexpr const char* kIdCut = "id_cut";
inline constexpr const char* kIsRetry = "repeated";
inline constexpr const char* kEventsDropped = "events_cut";
inline constexpr const char* kTorn = "torn";
inline constexpr const char* kFront = "front";
inline constexpr const char* kClass = "class";
inline constexpr const char* kArrived = "arrived";
inline constexpr const char* kArrivedUs = "arrived_us";
inline constexpr const char* kBudgetMs = "budget_ms";
inline constexpr const char* kReason = "reason";
inline constexpr const char* kObserved = "figure";
inline constexpr const char* kThreshold = "bound";
inline constexpr const char* kEndedMs = "ended_ms";
inline constexpr const char* kEndpoint = "holder";
inline constexpr const char* kRetryAfterMs = "retry_after_ms";
inline constexpr const char* kShardResponses = "pieces";
inline constexpr const char* kDeclaredShardRequests = "parts_told";
inline constexpr const char* kShardRequests = "parts";
inline constexpr const char* kResponses = "given";

// Members of a shard request, an attempt, a candidate, a pending state and a response.
inline constexpr const char* kShard = "shard";
inline constexpr const char* kWeight = "weight";
inline constexpr const char* kWorkUs = "work_us";
inline constexpr const char* kAttempts = "attempts";
inline constexpr const char* kPending = "held";
inline constexpr const char* kAttempt = "attempt";
inline constexpr const char* kAddress = "addr";
inline constexpr const char* kAtMs = "at_ms";
inline constexpr const char* kTimeoutMs = "timeout_ms";
inline constexpr const char* kWhy = "why";
inline constexpr const char* kAfter = "after";
inline constexpr const char* kCandidates = "considered";
inline constexpr const char* kUnlisted = "unlisted";
inline constexpr const char* kCancelled = "cancelled";
inline constexpr const char* kEnded = "ended";
inline constexpr const char* kOutcome = "outcome";
inline constexpr const char* kProgress = "progress";
inline constexpr const char* kCause = "cause";
inline constexpr const char* kMayHaveRun = "may_have_run";
inline constexpr const char* kInFlight = "out";
inline constexpr const char* kEligibility = "standing";
inline constexpr const char* kEligible = "eligible";
inline constexpr const char* kStatus = "status";
inline constexpr const char* kBytes = "bytes";
inline constexpr const char* kFullyWritten = "whole";

// Members of a summary.
inline constexpr const char* kUpTo = "up_to";
inline constexpr const char* kVerdictSection = "verdicts";
inline constexpr const char* kReasonSection = "reasons";
inline constexpr const char* kIntakeSection = "door";
inline constexpr const char* kDispatchSection = "sends";
inline constexpr const char* kRetrySection = "resent_after";
inline constexpr const char* kPendingSection = "held";
inline constexpr const char* kEvictionSection = "let_go";
inline constexpr const char* kCloseSection = "connections_closed";
inline constexpr const char* kLossSection = "not_written";
inline constexpr const char* kLastMinute = "last_minute";
inline constexpr const char* kTotal = "total";
inline constexpr const char* kEndpoints = "holders";
inline constexpr const char* kSent = "sent";
inline constexpr const char* kRetriedAfter = "resent_after";
inline constexpr const char* kRejectedFor = "given_up_for";
inline constexpr const char* kMissing = "missing";
inline constexpr const char* kNotKeptBySecond = "not_kept_by_second";
inline constexpr const char* kAt = "at";
inline constexpr const char* kCount = "count";
inline constexpr const char* kRecord = "record";
inline constexpr const char* kBlocks = "blocks";
inline constexpr const char* kBlocksUsed = "blocks_used";

}  // namespace liftrudder::decision_log::wire

#endif  // LIFTRUDDER_DECISION_LOG_WIRE_NAMES_H_
