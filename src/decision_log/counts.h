// What the record speaks beside the module's own reasons: verdicts, refusals at the door, kinds of count; and
// the word for each value, the same in JSON, text and filters. Plain values, any thread.
#ifndef LIFTRUDDER_DECISION_LOG_COUNTS_H_
#define LIFTRUDDER_DECISION_LOG_COUNTS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "decision_log/attempt_result.h"
#include "routing/router.h"

namespace liftrudder::decision_log {

enum class Verdict : std::uint8_t { kOpen, kComplete, kPartial, kRejected, kFailed, kLate, kGone, kRejectedAtIntake };
constexpr std::size_t kVerdicts = 8;

// Refusals that never reach the module, and ends that a front sets by itself.
enum class IntakeResult : std::uint8_t {
  kNone,
  kUnreadable,   // what came is not HTTP, or not in time
  kMalformed,    // not a query
  kDuplicateId,  // a query with this id is open
  kTooManyOpen,  // queries and parts open, most that may be
  kTooManyConnections,
  kLate,     // the core gave no answer in time, the front did
  kCrowded,  // the client wrote more before it had its answer
  kLeft,     // the client closed its connection
};
constexpr std::size_t kIntakeResults = 9;
constexpr int kUnknownClass = 255;  // of a request that names none

// Where a count lies in the record's tables: one row a second, and the totals.
constexpr std::size_t kTallyVerdict = 0;                      // + Verdict
constexpr std::size_t kTallyEnd = kTallyVerdict + kVerdicts;  // + routing::CompletionCause
constexpr std::size_t kTallyIntake = kTallyEnd + 16;          // + Door
constexpr std::size_t kTallySend = kTallyIntake + 12;         // + routing::DispatchKind
constexpr std::size_t kTallyAfter = kTallySend + 8;           // + routing::AttemptOutcome, of resends
constexpr std::size_t kTallyHeld = kTallyAfter + 8;           // + routing::PendingReason
constexpr std::size_t kTallyDropped = kTallyHeld + 12;        // + Group: let go of to make room
constexpr std::size_t kTallyLost = kTallyDropped + 8;         // + Lost: never written
constexpr std::size_t kTallyClose = kTallyLost + 6;           // + routing::CloseReason
constexpr std::size_t kTallyEnds = kTallyClose + 2;

// What a kept query counts as when room is short.
enum class Group : std::uint8_t { kRejected, kPartial, kFailed, kRejectedAtIntake, kGone, kEventful, kOrdinary };
constexpr std::size_t kGroups = 7;

enum class Lost : std::uint8_t {
  kNoRoom,        // a query, as nothing could be let go of
  kCutoff,        // an event, as its query's share was full
  kQueueFull,     // a note of a front, as the core had not emptied its mailbox
  kIntakeRate,    // a refusal at the door beyond what is kept of these a second
  kEndpointName,  // of a holder number whose slot a newer one has
};

// Of a holder, in buckets of kBucketSeconds.
enum class EndpointCount : std::uint8_t { kSent, kResentAfter, kRefusedFor, kMissing };

enum class FrontKind : std::uint8_t { kPlatform, kSearch, kCount, kScroll, kMultiSearch };

std::string_view Name(Verdict value);
std::string_view Name(IntakeResult value);
std::string_view Name(Group value);
std::string_view Name(Lost value);
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

std::optional<Verdict> VerdictOf(std::string_view name);
// The value whose name this is, of the module's ends or of the door's.
std::optional<routing::CompletionCause> EndCauseOf(std::string_view name);
std::optional<IntakeResult> IntakeResultOf(std::string_view name);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_COUNTS_H_
