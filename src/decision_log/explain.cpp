// Renders replies about several queries.
#include "decision_log/explain.h"

#include <fmt/format.h>

#include <ctime>
#include <iterator>
#include <nlohmann/json.hpp>

#include "decision_log/wire_names.h"

namespace liftrudder::decision_log {
namespace {

using Json = nlohmann::ordered_json;
using routing::AttemptOutcome;

std::string_view ReasonOf(const QueryOccurrence& occurrence) {
  if (occurrence.verdict == Verdict::kRejectedAtIntake) {
    return Name(static_cast<IntakeResult>(occurrence.cause));
  }
  return Name(static_cast<routing::CompletionCause>(occurrence.cause));
}

std::string ClassNameOf(int class_index, const RecordOrigin& origin) {
  auto index = static_cast<std::size_t>(class_index);
  return index < origin.classes.size() ? Escaped(origin.classes[index])
                                       : fmt::format("class {}", class_index);
}

std::string OccurrenceText(const QueryOccurrence& occurrence, const std::string& id,
                           const RecordOrigin& origin) {
  std::string at = WallTime(occurrence.second * 1'000'000);
  std::string class_name = ClassNameOf(occurrence.class_index, origin);
  // For a query that found no space at its arrival, the record does not know the end.
  if (occurrence.verdict == Verdict::kOpen) {
    return fmt::format("{} came at {} as {}, when the record had no space for it.\n", Escaped(id), at,
                       class_name);
  }
  return fmt::format("{} was seen but is no longer in the record: {} at {} ({}), {}.\n", Escaped(id),
                     Name(occurrence.verdict), at, ReasonOf(occurrence), class_name);
}

// What is known if no query in the record fits the filter.
std::string AbsenceText(const SearchResult& result, const Filter& filter, const RecordOrigin& origin) {
  if (!filter.id) return "No query in the record fits the filter.\n";
  std::string out;
  for (const QueryOccurrence& occurrence : result.occurrences) {
    out += OccurrenceText(occurrence, *filter.id, origin);
  }
  if (!out.empty()) return out;
  if (result.occurrences_since_s > 0) {
    return fmt::format("{} was not seen since {}; the record does not reach further back.\n",
                       Escaped(*filter.id), WallTime(result.occurrences_since_s * 1'000'000));
  }
  return fmt::format("{} was not seen since this coordinator started at {}.\n", Escaped(*filter.id),
                     WallTime(origin.started_us));
}

}  // namespace

TraceRenderer::TraceRenderer(const Filter& filter, const RecordOrigin& origin, bool json)
    : filter_(filter), origin_(origin), json_(json) {
  if (!json_) return;
  out_ = fmt::format(R"({{"{}":{},"{}":"{}","{}":[)", wire::kCoordinator, Json(Escaped(origin.name)).dump(),
                     wire::kStarted, WallTime(origin.started_us), wire::kQueries);
}

bool TraceRenderer::Add(const QueryTrace& trace) {
  std::string query = json_ ? JsonOf(trace) : TextOf(trace);
  if (out_.size() + query.size() > kMaxReplyBytes) return false;
  if (rendered_ > 0) out_ += json_ ? ',' : '\n';
  ++rendered_;
  out_ += query;
  return true;
}

std::string TraceRenderer::Finish(const SearchResult& result) && {
  if (json_) return std::move(out_) + "]," + JsonTail(result);
  if (rendered_ == 0) out_ = AbsenceText(result, filter_, origin_);
  if (result.more) out_ += "\nThere are more; narrow the filter.\n";
  if (result.torn_blocks > 0) out_ += fmt::format("\n{} damaged blocks were skipped.\n", result.torn_blocks);
  if (result.busy_blocks > 0) {
    out_ += fmt::format("\n{} blocks were being written and were skipped.\n", result.busy_blocks);
  }
  return std::move(out_);
}

// The members after the queries, and the closing brace.
std::string TraceRenderer::JsonTail(const SearchResult& result) const {
  Json tail = {{wire::kMore, result.more},
               {wire::kBusyBlocks, result.busy_blocks},
               {wire::kTornBlocks, result.torn_blocks}};
  if (filter_.id) {
    Json& occurrences = tail[wire::kOccurrences] = Json::array();
    for (const QueryOccurrence& occurrence : result.occurrences) {
      occurrences.push_back({{wire::kAt, WallTime(occurrence.second * 1'000'000)},
                             {wire::kVerdict, Name(occurrence.verdict)},
                             {wire::kReason, ReasonOf(occurrence)},
                             {wire::kClass, ClassNameOf(occurrence.class_index, origin_)}});
    }
    if (result.occurrences_since_s > 0) {
      tail[wire::kOccurrencesSince] = WallTime(result.occurrences_since_s * 1'000'000);
    }
  }
  if (rendered_ == 0) tail[wire::kText] = AbsenceText(result, filter_, origin_);
  return tail.dump(-1, ' ', true, Json::error_handler_t::replace).substr(1);
}

std::string Escaped(std::string_view text) {
  std::string out;
  for (char c : text) {
    if (c >= ' ' && c < 0x7f && c != '\\') {
      out += c;
    } else {
      fmt::format_to(std::back_inserter(out), "\\x{:02x}", static_cast<unsigned char>(c));
    }
  }
  return out;
}

std::string WallTime(std::int64_t us) {
  std::time_t seconds = us / 1'000'000;
  std::tm utc{};
  ::gmtime_r(&seconds, &utc);
  return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", utc.tm_year + 1900, utc.tm_mon + 1,
                     utc.tm_mday, utc.tm_hour, utc.tm_min, utc.tm_sec, us / 1000 % 1000);
}

std::string Seconds(std::int64_t us) { return fmt::format("{:.3f} s", static_cast<double>(us) / 1e6); }

bool MayHaveRun(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::kOverloaded && outcome != AttemptOutcome::kConnectFailed &&
         outcome != AttemptOutcome::kNotSent;
}

}  // namespace liftrudder::decision_log
