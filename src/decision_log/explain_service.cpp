#include "decision_log/explain_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <ctime>
#include <optional>
#include <thread>

#include "decision_log/explain.h"

namespace liftrudder::decision_log {
namespace {

constexpr std::size_t kMaxTraces = 500;
constexpr double kReadsPerSecond = 2,
                 kReadBurst = 10;  // a reading of 50 queries as JSON takes some 15 ms of a core
// Between pieces of a scan the core is left to others: a scan costs some 30 ms of pauses a MiB, and no query
// waits.
constexpr auto kPause = std::chrono::milliseconds(2);

std::optional<double> Real(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::optional<std::int64_t> Time(const std::string& text, std::int64_t now_us) {
  if (auto seconds = Real(text)) {
    if (std::abs(*seconds) > 1e11) return std::nullopt;
    return static_cast<std::int64_t>(*seconds * 1e6) + (text.starts_with('-') ? now_us : 0);
  }
  std::tm shard_requests{};
  const char* rest = ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &shard_requests);
  if (rest == nullptr) return std::nullopt;
  double fraction = 0;
  if (*rest == '.') {
    auto [end, error] = std::from_chars(rest, text.c_str() + text.size(), fraction);
    if (error != std::errc()) return std::nullopt;
    rest = end;
  }
  if (*rest == 'Z') ++rest;
  if (*rest != '\0') return std::nullopt;
  return std::int64_t{::timegm(&shard_requests)} * 1'000'000 + static_cast<std::int64_t>(fraction * 1e6);
}

}  // namespace

std::variant<Question, std::string> ReadQuestion(const Parameters& parameters, std::int64_t now_us) {
  Question out;
  for (const auto& [name, value] : parameters) {
    if (name == "id") {
      if (value.empty()) return "id: names no query";
      out.filter.id = value;
    } else if (name == "class") {
      out.filter.class_name = value;
    } else if (name == "holder") {
      out.filter.endpoint = value;
    } else if (name == "verdict") {
      out.filter.verdict = VerdictOf(value);
      if (!out.filter.verdict)
        return fmt::format(
            "verdict: '{}' is none of open, whole, partial, refused, failed, late, gone, turned_away",
            Escaped(value));
    } else if (name == "reason") {
      if (!EndCauseOf(value) && !IntakeResultOf(value))
        return fmt::format("reason: '{}' is none that this program gives", Escaped(value));
      out.filter.reason = value;
    } else if (name == "since" || name == "until") {
      auto time = Time(value, now_us);
      if (!time)
        return fmt::format("{}: '{}' is no time such as 2026-12-01T09:30:00Z, 1796117400 or -90", name,
                           Escaped(value));
      (name == "since" ? out.filter.from_us : out.filter.to_us) = *time;
    } else if (name == "limit") {
      auto limit = Real(value);
      if (!limit || *limit < 1 || *limit > kMaxTraces || *limit != std::floor(*limit))
        return fmt::format("limit: '{}' is no whole number from 1 to {}", Escaped(value), kMaxTraces);
      out.filter.limit = static_cast<std::size_t>(*limit);
    } else if (name == "format") {
      if (value != "json" && value != "text")
        return fmt::format("format: '{}' is neither text nor json", Escaped(value));
      out.json = value == "json";
    } else if (name == "summary") {
      out.summary = value != "0" && value != "false";
    } else {
      return fmt::format(
          "'{}' is no filter; there are id, class, verdict, holder, reason, since, until, limit, format, "
          "summary",
          Escaped(name));
    }
  }
  return out;
}

namespace {

Reply AnswerWith(const Reader& reader, const Question& question) {
  Reply out;
  out.json = question.json;
  if (question.summary) {
    Summary summary = reader.Summarize();
    out.body = question.json ? JsonOf(summary, reader.about()) : TextOf(summary, reader.about());
    return out;
  }
  TraceRenderer renderer(question.filter, reader.about(), question.json);
  Found found =
      reader.Find(question.filter, [&renderer](const QueryTrace& trace) { return renderer.Add(trace); });
  if (question.filter.id && found.told == 0) out.status = 404;
  out.body = std::move(renderer).Finish(found);
  return out;
}

}  // namespace

Reply AnswerFrom(const RecordFile& record_file, const Question& question) {
  return AnswerWith(Reader(record_file), question);
}

Reply ExplainService::Ask(const Parameters& parameters) {
  Reply out;
  bool free = false;
  if (!busy_.compare_exchange_strong(free, true)) {
    return {429, false, "another question is being answered\n", 500'000};
  }
  struct Leave {
    std::atomic<bool>& busy;
    ~Leave() { busy = false; }
  } leave{busy_};
  std::int64_t now_us = now_();
  tokens_ = std::min(kReadBurst, filled_us_ == 0 ? kReadBurst
                                                 : tokens_ + static_cast<double>(now_us - filled_us_) / 1e6 *
                                                                 kReadsPerSecond);
  filled_us_ = now_us;
  if (tokens_ < 1)
    return {429, false, "too many questions a second\n", static_cast<std::int64_t>(1e6 / kReadsPerSecond)};
  auto question = ReadQuestion(parameters, now_us);
  if (const auto* wrong = std::get_if<std::string>(&question)) return {400, false, *wrong + "\n", 0};
  tokens_ -= 1;
  refresh_();
  return AnswerWith(Reader(record_file_, [] { std::this_thread::sleep_for(kPause); }),
                    std::get<Question>(question));
}

}  // namespace liftrudder::decision_log
