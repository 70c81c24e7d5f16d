#include "decision_log/counts.h"

#include <array>

#include "decision_log/record_file.h"

namespace liftrudder::decision_log {
namespace {

static_assert(kTallyEnds <= kTallies, "the tables of counts have no room for a new kind");

// A value that no name is known for, as a damaged record may hold, has a name all the same.
template <typename Value, std::size_t kCount>
std::string_view Pick(const std::array<std::string_view, kCount>& names, Value value) {
  auto place = static_cast<std::size_t>(value);
  return place < kCount ? names[place] : "unknown";
}

template <typename Value, std::size_t kCount>
std::optional<Value> Place(const std::array<std::string_view, kCount>& names, std::string_view name) {
  for (std::size_t i = 0; i < kCount; ++i) {
    if (names[i] == name) return static_cast<Value>(i);
  }
  return std::nullopt;
}

constexpr std::array<std::string_view, kVerdicts> kVerdictNames = {
    "open", "whole", "partial", "refused", "failed", "late", "gone", "turned_away"};
constexpr std::array<std::string_view, kIntakeResults> kIntakeResultNames = {
    "none", "unreadable", "malformed", "duplicate_id", "too_many_open", "too_many_connections",
    "late", "crowded",    "left"};
constexpr std::array<std::string_view, kGroups> kGroupNames = {
    "refused", "partial", "failed", "turned_away", "gone", "eventful", "ordinary"};
constexpr std::array<std::string_view, 5> kLostNames = {"no_room", "cut", "mail_full", "door_rate",
                                                        "holder_name"};
constexpr std::array<std::string_view, 5> kFrontNames = {"platform", "search", "count", "scroll", "msearch"};
constexpr std::array<std::string_view, 4> kProgressNames = {"not_connected", "partly_written",
                                                            "wholly_written", "answering"};
constexpr std::array<std::string_view, 9> kCauseNames = {
    "served", "broke", "skipped", "spoilt", "connection_lost", "withdrawn", "expired", "stale", "left"};
constexpr std::array<std::string_view, 8> kOutcomeNames = {
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};
constexpr std::array<std::string_view, 9> kStandingNames = {
    "fit", "tried", "cold_share", "cold_account", "sick", "dead", "far_zone", "draining", "gone"};
constexpr std::array<std::string_view, 6> kSendNames = {"first",  "head_start",     "trial",
                                                        "resend", "straggler_copy", "suspect_copy"};
constexpr std::array<std::string_view, 13> kEndNames = {
    "unstated",      "whole",    "aim",       "nothing_more", "pressure", "hot",         "no_worth",
    "replicas_lost", "hopeless", "worthless", "expired",      "no_class", "bad_settings"};
constexpr std::array<std::string_view, 4> kCancelNames = {"answered", "query_over", "looks_sick",
                                                          "dead_connection"};
constexpr std::array<std::string_view, 2> kCloseNames = {"dead_connection", "unused_too_long"};
constexpr std::array<std::string_view, 10> kPendingNames = {
    "none", "cut", "hot", "head_start", "no_replica", "budget", "attempts", "effect", "killer", "too_late"};

}  // namespace

std::string_view Name(Verdict value) { return Pick(kVerdictNames, value); }
std::string_view Name(IntakeResult value) { return Pick(kIntakeResultNames, value); }
std::string_view Name(Group value) { return Pick(kGroupNames, value); }
std::string_view Name(Lost value) { return Pick(kLostNames, value); }
std::string_view Name(FrontKind value) { return Pick(kFrontNames, value); }
std::string_view Name(Progress value) { return Pick(kProgressNames, value); }
std::string_view Name(Cause value) { return Pick(kCauseNames, value); }
std::string_view Name(routing::AttemptOutcome value) { return Pick(kOutcomeNames, value); }
std::string_view Name(routing::Eligibility value) { return Pick(kStandingNames, value); }
std::string_view Name(routing::DispatchKind value) { return Pick(kSendNames, value); }
std::string_view Name(routing::CompletionCause value) { return Pick(kEndNames, value); }
std::string_view Name(routing::CancelReason value) { return Pick(kCancelNames, value); }
std::string_view Name(routing::CloseReason value) { return Pick(kCloseNames, value); }
std::string_view Name(routing::PendingReason value) { return Pick(kPendingNames, value); }

std::optional<Verdict> VerdictOf(std::string_view name) { return Place<Verdict>(kVerdictNames, name); }
std::optional<routing::CompletionCause> EndCauseOf(std::string_view name) {
  return Place<routing::CompletionCause>(kEndNames, name);
}
std::optional<IntakeResult> IntakeResultOf(std::string_view name) {
  return Place<IntakeResult>(kIntakeResultNames, name);
}

}  // namespace liftrudder::decision_log
