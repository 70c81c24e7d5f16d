// tinsail: the decisions of a query router in front of a sharded, replicated store.
//
// This file is the whole interface: plain settings, events and actions, and the class that turns the one
// into the other. It holds no decision; all of them are in src/rules.cpp.
#ifndef TINSAIL_TINSAIL_H_
#define TINSAIL_TINSAIL_H_

#include <array>
#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace tinsail {

using Micros = std::int64_t;  // times and spans; the clock has no particular origin
using Id = std::uint32_t;     // a query or a part

struct ReplicaId {
  std::uint32_t address = 0;
  std::uint16_t port = 0;
  auto operator<=>(const ReplicaId&) const = default;
};

// What repeating a part does: nothing, nothing within a window, or it must not happen.
enum class Effect { kIdempotent, kDeduplicated, kAtMostOnce };

struct ClassSettings {
  Micros aim_us = 0;      // full worth until then
  Micros give_up_us = 0;  // the client's total patience
  double late_share = 0;  // share of the worth between aim and give-up
  double worth = 1;
  Effect effect = Effect::kIdempotent;
  Micros repeat_window_us = 0;  // for kDeduplicated
  double aim_stretch = 0;       // the aim grows by this multiple of the told work
  int fetch_parts = 0;          // parts of the second step; 0: one step only
  double floor = 1;             // least weight for an answer
  double whole_at = 1;          // weight that makes a whole answer
  double incomplete_worth = 1;  // an incomplete answer earns this x its share
};

struct TenantSettings {
  double allowance_per_s = 0;  // of all aggregators together
  double fraction = 0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  int zone = 0;
  int group_size = 1;  // aggregators in the tier
  int ordinal = 0;
  int cells = 1;  // shard s lies in cells (s + j) mod cells, j < reach
  int reach = 1;
  int shards = 1;
  int parts_per_call = 1;  // that share a call, sent in one round to one replica
  bool warm_keys = false;  // a replica that met a part's key of late does less work for it
  int max_attempts = 1;    // for one part
  int max_open = 0;        // queries and parts held; told for completeness
  bool may_cancel = false;
  bool may_probe = false;
  bool may_copy = false;  // two attempts of a part at once
  bool may_retry_after = false;
  bool must_subscribe = false;  // changes of the list come only when asked for
  Micros max_retry_after_us = 0;
  Micros resolution_us = 1000;  // shortest gap between calls of Handle
  Micros grace_to_answer_us = 0;
  Micros stop_sending_within_us = 0;
  Micros ask_within_us = 0;
  double start_capacity = 1;    // a started replica has at least this share of its capacity
  Micros cold_us = 0;           // and is warm after this
  double fall_multiple = 0;     // sent more than this multiple of its capacity
  Micros fall_us = 0;           // for this long it falls over; 0: no such rule
  double over_share_worth = 1;  // worth of traffic beyond a tenant's share
  bool has_retry_budget = false;
  double free_resends = 0;
  double further_ratio = 0;
  Micros resend_span_us = 0;
};

enum class Availability { kGone, kReady, kDraining };

struct Replica {
  ReplicaId id;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  Availability availability = Availability::kReady;
  double weight = 1;
  Micros launched_us = 0;  // 0: long ago
};

// ---- Events ----

enum class ListKind { kDelta, kFull, kCached, kFailed };
struct ListNews {
  ListKind kind = ListKind::kFull;
  std::uint64_t version = 0;
  std::vector<Replica> replicas;
};

// A query; its parts follow in the same span of events. Parts of a second step come later, alone.
struct QueryArrived {
  Id id = 0;
  std::int64_t number = 0;  // its parts carry the same
  int parts = 0;
  int class_index = 0;
  int tenant = 0;
  bool repeated = false;  // the client marks it as a further try
  std::uint64_t key = 0;
  Micros patience_us = 0;
  Micros work_us = 0;  // 0: not told
};

struct PartArrived {
  Id id = 0;
  std::int64_t number = 0;  // of its query
  int shard = 0;
  double weight = 0;
  std::uint64_t key = 0;
  Micros work_us = 0;  // 0: not told
};

enum class OutcomeCode { kOk, kError, kFull, kTimeout, kConnectFailed, kReset, kCancelled, kMoot };

struct AttemptEnded {
  Id part = 0;
  int attempt = 0;
  ReplicaId replica;
  OutcomeCode code = OutcomeCode::kOk;
  Micros spent_us = 0;
  bool part_done = false;
  std::vector<double> load;  // as the settings of the site name them; empty: none
};

struct ProbeEnded {
  ReplicaId replica;
  OutcomeCode code = OutcomeCode::kOk;
  Micros spent_us = 0;
  std::vector<double> load;
};

struct ClientGone {
  Id id = 0;
};
struct TimerFired {
  std::uint64_t label = 0;
};
struct PeerMessage {
  std::uint32_t from = 0;
  std::string text;
};

using Event = std::variant<ListNews, QueryArrived, PartArrived, AttemptEnded, ProbeEnded, ClientGone,
                           TimerFired, PeerMessage>;

// ---- Reasons: written beside each action, for people to read. No decision reads one. All are of fixed size.
// ----

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

// ---- Actions ----

struct Send {
  Id part = 0;
  ReplicaId replica;
  Micros timeout_us = 0;
  SendWhy why = {};
};
struct Answer {
  Id query = 0;
  bool full = false;
  EndWhy why = {};
};
struct Refuse {
  Id query = 0;
  Micros retry_after_us = 0;
  EndWhy why = {};
};
struct Fail {
  Id query = 0;
  EndWhy why = {};
};
struct Cancel {
  Id part = 0;
  int attempt = 0;
  CancelWhy why = CancelWhy::kAnswered;
};
struct Close {  // the idle connections to a replica
  ReplicaId replica;
  CloseWhy why = CloseWhy::kDeadConnection;
};
struct SetTimer {
  Micros span_us = 0;
  std::uint64_t label = 0;
};
struct Subscribe {};

using Action = std::variant<Send, Answer, Refuse, Fail, Cancel, Close, SetTimer, Subscribe>;

// Says what is impossible in the settings; nothing when they can be used.
std::optional<std::string> CheckSettings(const Settings& settings);

// One aggregator. Not thread-safe; instances share nothing. Same settings, seed and events: same actions.
// With settings that CheckSettings turns down it fails every query at once and does nothing else.
class Aggregator {
 public:
  Aggregator(const Settings& settings, std::uint64_t seed);
  ~Aggregator();
  Aggregator(Aggregator&&) noexcept;
  Aggregator& operator=(Aggregator&&) noexcept;

  // All events happen at `now`; the actions appended take effect at `now`, in order. `held`, where given,
  // gets a line for each part that is not sent, or not sent again, whenever the reason changes.
  void Handle(Micros now, std::span<const Event> events, std::vector<Action>& actions,
              std::vector<PartHeld>* held = nullptr);
  // Replicas listed that got nothing new of their own accord in the last round: they drain, look sick or are far.
  int Avoided() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace tinsail

#endif  // TINSAIL_TINSAIL_H_
