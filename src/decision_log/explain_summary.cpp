// Renders the summary as a table or as JSON.
#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <string_view>
#include <vector>

#include "decision_log/explain.h"
#include "decision_log/wire_names.h"

namespace liftrudder::decision_log {
namespace {

using Json = nlohmann::ordered_json;
using routing::AttemptOutcome;
using routing::CloseReason;
using routing::CompletionCause;
using routing::DispatchKind;
using routing::PendingReason;

// A counter and the name of the value that it counts.
struct Row {
  std::string_view name;
  std::size_t counter = 0;
};

struct Section {
  const char* wire_name;
  const char* title;
  std::vector<Row> rows;
};

template <typename Value>
std::vector<Row> RowsOf(std::size_t value_count) {
  std::vector<Row> rows;
  for (std::size_t i = 0; i < value_count; ++i) {
    auto value = static_cast<Value>(i);
    rows.push_back({Name(value), CounterOf(value)});
  }
  return rows;
}

std::vector<Section> Sections() {
  return {
      {wire::kVerdictSection, "verdicts", RowsOf<Verdict>(kVerdicts)},
      {wire::kReasonSection, "reasons", RowsOf<CompletionCause>(kCompletionCauses)},
      {wire::kIntakeSection, "rejected at intake", RowsOf<IntakeResult>(kIntakeResults)},
      {wire::kDispatchSection, "attempts sent", RowsOf<DispatchKind>(kDispatchKinds)},
      {wire::kRetrySection, "retries, by the outcome before", RowsOf<AttemptOutcome>(kAttemptOutcomes)},
      {wire::kPendingSection, "pending shard requests", RowsOf<PendingReason>(kPendingReasons)},
      {wire::kEvictionSection, "evicted from the record", RowsOf<RetentionGroup>(kRetentionGroups)},
      {wire::kCloseSection, "connections closed", RowsOf<CloseReason>(kCloseReasons)},
      {wire::kLossSection, "lost to the record", RowsOf<RecordLoss>(kRecordLosses)},
  };
}

std::string EndpointTable(const std::vector<Summary::Endpoint>& endpoints) {
  if (endpoints.empty()) return "";
  std::string out = fmt::format("endpoints, the last minute:\n  {:<30} {:>8} {:>13} {:>12} {:>8}\n",
                                "endpoint", "sent", "retried after", "rejected for", "missing");
  for (const Summary::Endpoint& endpoint : endpoints) {
    out += fmt::format("  {:<30} {:>8} {:>13} {:>12} {:>8}\n", Escaped(endpoint.name.id), endpoint.sent,
                       endpoint.retried_after, endpoint.unanswered_for, endpoint.missing);
  }
  return out;
}

Json EndpointsJson(const std::vector<Summary::Endpoint>& endpoints) {
  Json out = Json::array();
  for (const Summary::Endpoint& endpoint : endpoints) {
    out.push_back({{wire::kEndpoint, Escaped(endpoint.name.id)},
                   {wire::kAddress, Escaped(endpoint.name.addr)},
                   {wire::kSent, endpoint.sent},
                   {wire::kRetriedAfter, endpoint.retried_after},
                   {wire::kRejectedFor, endpoint.unanswered_for},
                   {wire::kMissing, endpoint.missing}});
  }
  return out;
}

Json SectionJson(const Section& section, const Summary& summary) {
  Json out = Json::object();
  for (const Row& row : section.rows) {
    if (summary.totals[row.counter] == 0) continue;
    out[std::string(row.name)] = {{wire::kLastMinute, summary.last_minute[row.counter]},
                                  {wire::kTotal, summary.totals[row.counter]}};
  }
  return out;
}

}  // namespace

std::string TextOf(const Summary& summary, const RecordOrigin& origin) {
  std::string out =
      fmt::format("coordinator {}, up to {}; the last minute, and since the start at {}\n",
                  Escaped(origin.name), WallTime(summary.now_s * 1'000'000), WallTime(origin.started_us));
  for (const Section& section : Sections()) {
    std::string rows;
    for (const Row& row : section.rows) {
      if (summary.totals[row.counter] == 0) continue;
      rows += fmt::format("  {:<22} {:>10} {:>12}\n", row.name, summary.last_minute[row.counter],
                          summary.totals[row.counter]);
    }
    if (!rows.empty()) out += fmt::format("{}:\n{}", section.title, rows);
  }
  out += EndpointTable(summary.endpoints);
  out += fmt::format("the record: {} of {} blocks in use, {} bytes\n", summary.blocks_used, summary.blocks,
                     summary.bytes);
  return out;
}

std::string JsonOf(const Summary& summary, const RecordOrigin& origin) {
  Json out = {{wire::kCoordinator, Escaped(origin.name)},
              {wire::kUpTo, WallTime(summary.now_s * 1'000'000)},
              {wire::kStarted, WallTime(origin.started_us)}};
  for (const Section& section : Sections()) out[section.wire_name] = SectionJson(section, summary);
  out[wire::kEndpoints] = EndpointsJson(summary.endpoints);
  Json& not_kept = out[wire::kNotKeptBySecond] = Json::array();
  for (const Summary::SecondCount& entry : summary.not_kept) {
    not_kept.push_back({{wire::kAt, WallTime(entry.second * 1'000'000)}, {wire::kCount, entry.count}});
  }
  out[wire::kRecord] = {{wire::kBytes, summary.bytes},
                        {wire::kBlocks, summary.blocks},
                        {wire::kBlocksUsed, summary.blocks_used}};
  return out.dump(-1, ' ', true, Json::error_handler_t::replace);
}

}  // namespace liftrudder::decision_log
