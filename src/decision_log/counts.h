// What the record speaks beside the module's own reasons: verdicts, refusals at the door, kinds of count; and
// the word for each value, the same in JSON, text and filters. Plain values, any thread.
#ifndef LIFTRUDDER_DECISION_LOG_COUNTS_H_
#define LIFTRUDDER_DECISION_LOG_COUNTS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "routing/router.h"
#include "decision_log/attempt_result.h"

namespace liftrudder::decision_log {

enum class Verdict : std::uint8_t { kOpen, kWhole, kPartial, kRefused, kFailed, kLate, kGone, kTurnedAway };
constexpr std::size_t kVerdicts = 8;

// Refusals that never reach the module, and ends that a front sets by itself.
enum class Door : std::uint8_t {
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
constexpr std::size_t kDoors = 9;
constexpr int kNoClass = 255;  // of a request that names none

// Where a count lies in the record's tables: one row a second, and the totals.
constexpr std::size_t kTallyVerdict = 0;                      // + Verdict
constexpr std::size_t kTallyEnd = kTallyVerdict + kVerdicts;  // + routing::EndCause
constexpr std::size_t kTallyDoor = kTallyEnd + 16;            // + Door
constexpr std::size_t kTallySend = kTallyDoor + 12;           // + routing::SendKind
constexpr std::size_t kTallyAfter = kTallySend + 8;           // + routing::OutcomeCode, of resends
constexpr std::size_t kTallyHeld = kTallyAfter + 8;           // + routing::HeldWhy
constexpr std::size_t kTallyDropped = kTallyHeld + 12;        // + Group: let go of to make room
constexpr std::size_t kTallyLost = kTallyDropped + 8;         // + Lost: never written
constexpr std::size_t kTallyClose = kTallyLost + 6;           // + routing::CloseWhy
constexpr std::size_t kTallyEnds = kTallyClose + 2;

// What a kept query counts as when room is short.
enum class Group : std::uint8_t { kRefused, kPartial, kFailed, kTurnedAway, kGone, kEventful, kOrdinary };
constexpr std::size_t kGroups = 7;

enum class Lost : std::uint8_t {
  kNoRoom,      // a query, as nothing could be let go of
  kCut,         // an event, as its query's share was full
  kMailFull,    // a note of a front, as the core had not emptied its mailbox
  kDoorRate,    // a refusal at the door beyond what is kept of these a second
  kHolderName,  // of a holder number whose slot a newer one has
};

// Of a holder, in buckets of kBucketSeconds.
enum class HolderTally : std::uint8_t { kSent, kResentAfter, kRefusedFor, kMissing };

enum class FrontKind : std::uint8_t { kPlatform, kSearch, kCount, kScroll, kMultiSearch };

std::string_view Name(Verdict value);
std::string_view Name(Door value);
std::string_view Name(Group value);
std::string_view Name(Lost value);
std::string_view Name(FrontKind value);
std::string_view Name(Progress value);
std::string_view Name(Cause value);
std::string_view Name(routing::OutcomeCode value);
std::string_view Name(routing::Standing value);
std::string_view Name(routing::SendKind value);
std::string_view Name(routing::EndCause value);
std::string_view Name(routing::CancelWhy value);
std::string_view Name(routing::CloseWhy value);
std::string_view Name(routing::HeldWhy value);

std::optional<Verdict> VerdictOf(std::string_view name);
// The value whose name this is, of the module's ends or of the door's.
std::optional<routing::EndCause> EndCauseOf(std::string_view name);
std::optional<Door> DoorOf(std::string_view name);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_COUNTS_H_
