#include "decision_log/counts.h"

#include <algorithm>
#include <array>

#include "decision_log/wire_names.h"

namespace liftrudder::decision_log {
namespace {

template <typename Value, std::size_t kCount>
std::string_view NameIn(const std::array<std::string_view, kCount>& names, Value value) {
  auto index = static_cast<std::size_t>(value);
  return index < kCount ? names[index] : "unknown";
}

template <typename Value, std::size_t kCount>
std::optional<Value> ValueNamed(const std::array<std::string_view, kCount>& names, std::string_view name) {
  auto found = std::ranges::find(names, name);
  if (found == names.end()) return std::nullopt;
  return static_cast<Value>(found - names.begin());
}

}  // namespace

std::string_view Name(Verdict value) { return NameIn(wire::kVerdictNames, value); }
std::string_view Name(IntakeResult value) { return NameIn(wire::kIntakeResultNames, value); }
std::string_view Name(RetentionGroup value) { return NameIn(wire::kRetentionGroupNames, value); }
std::string_view Name(RecordLoss value) { return NameIn(wire::kRecordLossNames, value); }
std::string_view Name(FrontKind value) { return NameIn(wire::kFrontNames, value); }
std::string_view Name(Progress value) { return NameIn(wire::kProgressNames, value); }
std::string_view Name(Cause value) { return NameIn(wire::kCauseNames, value); }
std::string_view Name(routing::AttemptOutcome value) { return NameIn(wire::kOutcomeNames, value); }
std::string_view Name(routing::Eligibility value) { return NameIn(wire::kEligibilityNames, value); }
std::string_view Name(routing::DispatchKind value) { return NameIn(wire::kDispatchNames, value); }
std::string_view Name(routing::CompletionCause value) { return NameIn(wire::kCompletionNames, value); }
std::string_view Name(routing::CancelReason value) { return NameIn(wire::kCancelNames, value); }
std::string_view Name(routing::CloseReason value) { return NameIn(wire::kCloseNames, value); }
std::string_view Name(routing::PendingReason value) { return NameIn(wire::kPendingNames, value); }

std::optional<Verdict> VerdictOf(std::string_view name) {
  return ValueNamed<Verdict>(wire::kVerdictNames, name);
}
std::optional<routing::CompletionCause> CompletionCauseOf(std::string_view name) {
  return ValueNamed<routing::CompletionCause>(wire::kCompletionNames, name);
}
std::optional<IntakeResult> IntakeResultOf(std::string_view name) {
  return ValueNamed<IntakeResult>(wire::kIntakeResultNames, name);
}

}  // namespace liftrudder::decision_log
