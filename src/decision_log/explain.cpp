// Answers about several queries, and the summary.
#include "decision_log/explain.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace liftrudder::decision_log {
namespace {

using Json = nlohmann::ordered_json;
using routing::AttemptOutcome;
using routing::CloseReason;
using routing::CompletionCause;
using routing::DispatchKind;
using routing::PendingReason;

std::string ReasonOf(const QueryOccurrence& seen) {
  return std::string(seen.verdict == Verdict::kRejectedAtIntake ? Name(static_cast<IntakeResult>(seen.cause))
                                                        : Name(static_cast<CompletionCause>(seen.cause)));
}

std::string ClassOf(int index, const About& about) {
  auto place = static_cast<std::size_t>(index);
  return place < about.classes.size() ? Escaped(about.classes[place]) : fmt::format("class {}", index);
}

// Said where nothing is kept of what was asked for: never silence.
std::string Absent(const Found& found, const Filter& filter, const About& about) {
  if (!filter.id) return "Nothing kept fits the filter.\n";
  std::string out;
  for (const QueryOccurrence& seen : found.occurrences) {
    std::string at = WallTime(seen.second * 1'000'000), of = ClassOf(seen.class_index, about);
    // Of one that found no room even at its arrival the end is not known.
    out += seen.verdict == Verdict::kOpen
               ? fmt::format("{} came at {} as {}, when there was no room to keep it.\n", Escaped(*filter.id),
                             at, of)
               : fmt::format("{} was seen then, not kept: {} at {} ({}), {}.\n", Escaped(*filter.id),
                             Name(seen.verdict), at, ReasonOf(seen), of);
  }
  if (!out.empty()) return out;
  out = fmt::format("{} was not seen", Escaped(*filter.id));
  out += found.occurrences_from > 0
             ? fmt::format(" since {}; what came before that is not remembered.\n",
                           WallTime(found.occurrences_from * 1'000'000))
             : fmt::format(" since this gatherer started at {}.\n", WallTime(about.started_us));
  return out;
}

struct Row {
  std::string_view name;
  std::size_t kind;
};

template <typename Value>
void Rows(std::vector<Row>& rows, std::size_t from, std::size_t count) {
  for (std::size_t i = 0; i < count; ++i) rows.push_back({Name(static_cast<Value>(i)), from + i});
}

struct Section {
  const char* name;
  std::vector<Row> rows;
};

std::vector<Section> Sections() {
  std::vector<Section> out;
  auto add = [&](const char* name) -> std::vector<Row>& { return out.emplace_back(Section{name, {}}).rows; };
  Rows<Verdict>(add("verdicts"), kTallyVerdict, kVerdicts);
  Rows<CompletionCause>(add("reasons"), kTallyEnd, 13);
  Rows<IntakeResult>(add("door"), kTallyIntake, kIntakeResults);
  Rows<DispatchKind>(add("sends"), kTallySend, 6);
  Rows<AttemptOutcome>(add("resent_after"), kTallyAfter, 8);
  Rows<PendingReason>(add("held"), kTallyHeld, 10);
  Rows<Group>(add("let_go"), kTallyDropped, kGroups);
  Rows<CloseReason>(add("connections_closed"), kTallyClose, 2);
  Rows<Lost>(add("not_written"), kTallyLost, 5);
  return out;
}

}  // namespace

TraceRenderer::TraceRenderer(const Filter& filter, const About& about, bool json)
    : filter_(filter), about_(about), json_(json) {
  if (json_) {
    out_ = fmt::format("{{\"gatherer\":{},\"started\":\"{}\",\"queries\":[", Json(Escaped(about.name)).dump(),
                       WallTime(about.started_us));
  }
}

bool TraceRenderer::Add(const QueryTrace& trace) {
  std::string one = json_ ? JsonOf(trace) : TextOf(trace);
  if (out_.size() + one.size() > kMostReply) return false;
  if (told_++ > 0) out_ += json_ ? ',' : '\n';
  out_ += one;
  return true;
}

std::string TraceRenderer::Finish(const Found& found) && {
  if (json_) return std::move(out_) + "]," + Rest(found);
  if (told_ == 0) out_ = Absent(found, filter_, about_);
  if (found.more) out_ += "\nThere are more; narrow the filter.\n";
  if (found.torn > 0) out_ += fmt::format("\n{} damaged blocks were skipped.\n", found.torn);
  if (found.busy > 0) out_ += fmt::format("\n{} blocks were being written and were skipped.\n", found.busy);
  return std::move(out_);
}

// The members behind the stories, and the closing brace.
std::string TraceRenderer::Rest(const Found& found) const {
  Json rest = {{"more", found.more}, {"busy_blocks", found.busy}, {"torn_blocks", found.torn}};
  if (filter_.id) {
    rest["seen"] = Json::array();
    for (const QueryOccurrence& seen : found.occurrences) {
      rest["seen"].push_back({{"at", WallTime(seen.second * 1'000'000)},
                              {"verdict", Name(seen.verdict)},
                              {"reason", ReasonOf(seen)},
                              {"class", ClassOf(seen.class_index, about_)}});
    }
    if (found.occurrences_from > 0) rest["seen_since"] = WallTime(found.occurrences_from * 1'000'000);
  }
  if (told_ == 0) rest["text"] = Absent(found, filter_, about_);
  return rest.dump(-1, ' ', true, Json::error_handler_t::replace).substr(1);
}

std::string TextOf(const Summary& summary, const About& about) {
  std::string out =
      fmt::format("gatherer {}, up to {}; the last minute, and since the start at {}\n", Escaped(about.name),
                  WallTime(summary.now_s * 1'000'000), WallTime(about.started_us));
  for (const Section& section : Sections()) {
    bool any = false;
    for (const Row& row : section.rows) {
      if (summary.totals[row.kind] == 0) continue;
      if (!any) out += fmt::format("{}:\n", section.name);
      any = true;
      out += fmt::format("  {:<22} {:>10} {:>12}\n", row.name, summary.last_minute[row.kind],
                         summary.totals[row.kind]);
    }
  }
  if (!summary.endpoints.empty()) {
    out += fmt::format("holders, the last minute:\n  {:<30} {:>8} {:>13} {:>12} {:>8}\n", "holder", "sent",
                       "resent after", "given up for", "missing");
    for (const Summary::Endpoint& one : summary.endpoints) {
      out += fmt::format("  {:<30} {:>8} {:>13} {:>12} {:>8}\n", Escaped(one.name.id), one.sent,
                         one.resent_after, one.refused_for, one.missing);
    }
  }
  out += fmt::format("the record: {} of {} blocks in use, {} bytes\n", summary.blocks_used, summary.blocks,
                     summary.bytes);
  return out;
}

std::string JsonOf(const Summary& summary, const About& about) {
  Json out = {{"gatherer", Escaped(about.name)},
              {"up_to", WallTime(summary.now_s * 1'000'000)},
              {"started", WallTime(about.started_us)}};
  for (const Section& section : Sections()) {
    Json rows = Json::object();
    for (const Row& row : section.rows) {
      if (summary.totals[row.kind] == 0) continue;
      rows[std::string(row.name)] = {{"last_minute", summary.last_minute[row.kind]},
                                     {"total", summary.totals[row.kind]}};
    }
    out[section.name] = std::move(rows);
  }
  out["holders"] = Json::array();
  for (const Summary::Endpoint& one : summary.endpoints) {
    out["holders"].push_back({{"holder", Escaped(one.name.id)},
                              {"addr", Escaped(one.name.addr)},
                              {"sent", one.sent},
                              {"resent_after", one.resent_after},
                              {"given_up_for", one.refused_for},
                              {"missing", one.missing}});
  }
  out["not_kept_by_second"] = Json::array();
  for (const auto& [second, count] : summary.dropped)
    out["not_kept_by_second"].push_back({{"at", WallTime(second * 1'000'000)}, {"count", count}});
  out["record"] = {
      {"bytes", summary.bytes}, {"blocks", summary.blocks}, {"blocks_used", summary.blocks_used}};
  return out.dump(-1, ' ', true, Json::error_handler_t::replace);
}

}  // namespace liftrudder::decision_log
