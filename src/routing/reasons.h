// Reasons: written beside each action, for people to read. No decision reads one. All are of fixed size.
#ifndef LIFTRUDDER_ROUTING_REASONS_H_
#define LIFTRUDDER_ROUTING_REASONS_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "routing/events.h"
#include "routing/types.h"

namespace liftrudder::routing {

// What a replica of a part's shard was at the moment of a choice.
enum class Standing : std::uint8_t {
  kFit,
  kTried,        // an earlier attempt of this part went there
  kColdShare,    // cold, and its warmth's share of what warm ones get is used up
  kColdAccount,  // cold, and what it may get at all is used up
  kSick,         // slow or late
  kDead,         // answers nothing of use
  kFarZone,
  kDraining,
  kGone,
};
struct Considered {
  ReplicaId replica;
  std::uint16_t out = 0;  // parts of this aggregator out there, capped at the type's most
  Standing standing = Standing::kFit;
  bool eligible = false;  // among those the choice was made from, ties at random
};
constexpr std::size_t kMostConsidered = 8;
struct Choice {
  std::uint8_t count = 0;     // of `replicas`
  std::uint8_t unlisted = 0;  // beyond them
  std::array<Considered, kMostConsidered> replicas;
};

enum class SendKind : std::uint8_t {
  kFirst,
  kHeadStart,  // one part goes ahead of its query's others: replicas were lost of late, or the query is wide
  kTrial,      // to see whether a sick replica, or a far zone, is well again
  kResend,     // nothing of this part is out; SendWhy::after tells how the attempt before ended
  kStragglerCopy,  // the attempt before is out longer than its fellows took
  kSuspectCopy,    // the attempt before is out at a replica that looks sick or is gone
};
struct SendWhy {
  SendKind kind = SendKind::kFirst;
  OutcomeCode after = OutcomeCode::kOk;  // of kResend
  Choice choice;
};

// Why a query ended; figure and bound are what was compared, in the unit that stands beside each.
enum class EndCause : std::uint8_t {
  kUnstated,
  kWhole,        // all that a whole answer needs is in: weight in, weight needed
  kAim,          // in part: the aim has come: weight in, least weight
  kNothingMore,  // in part: no missing part can still come: weight in, least weight
  kPressure,     // refused at arrival: pressure, where refusals begin
  kHot,      // refused at arrival: slowest part's expected latency, where refusals begin; shares of the aim
  kNoWorth,  // refused at arrival: too late or over its tenant's share to be worth anything: worth left, 0
  kReplicasLost,  // given up: replicas lost under it with none of its parts answered, most that is borne
  kHopeless,      // given up: weight that can still come in, least weight
  kWorthless,     // given up: its aim has passed and this class earns nothing later: seconds over the aim, 0
  kExpired,       // given up: its time is over: seconds to the deadline, seconds kept back
  kNoClass,       // no such class
  kBadSettings,
};
struct EndWhy {
  EndCause cause = EndCause::kUnstated;
  float figure = 0, bound = 0;
  ReplicaId replica;  // of kHot: the one whose queue decided; else none
};

enum class CancelWhy : std::uint8_t { kAnswered, kQueryOver, kLooksSick, kDeadConnection };
enum class CloseWhy : std::uint8_t { kDeadConnection, kUnusedTooLong };

// Why nothing of a part is out now. Told when it changes.
enum class HeldWhy : std::uint8_t {
  kNone,
  kCut,        // light, and below the cut: cut level (0 to 1), its weight
  kHot,        // no replica would answer it in time: expected latency, bound; shares of the aim
  kHeadStart,  // waits for the part of its query that went ahead
  kNoReplica,  // none that may get it now; the choice says why
  kBudget,     // the aggregator's budget of further attempts is used up
  kAttempts,   // attempts so far, most attempts
  kEffect,     // an attempt may have run, and the class forbids a repeat, or does by now
  kKiller,     // it was out at a replica that died, and no part of its query has been answered
  kTooLate,    // seconds left, seconds kept back
};
struct PartHeld {
  Id part = 0;
  HeldWhy why = HeldWhy::kNone;
  float figure = 0, bound = 0;
  Choice choice;  // of kNoReplica
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_REASONS_H_
