#include "decision_log/question.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <ctime>
#include <optional>
#include <string_view>

#include "decision_log/explain.h"
#include "decision_log/wire_names.h"

namespace liftrudder::decision_log {
namespace {

constexpr std::size_t kMaxTraces = 500;
constexpr double kMaxUnixSeconds = 1e11;

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

// Parses a UTC time like 2026-12-01T09:30:00.5Z.
std::optional<std::int64_t> ParseDateTime(const std::string& text) {
  std::tm utc{};
  const char* rest = ::strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &utc);
  if (rest == nullptr) return std::nullopt;
  double fraction = 0;
  if (*rest == '.') {
    auto [end, error] = std::from_chars(rest, text.c_str() + text.size(), fraction);
    if (error != std::errc()) return std::nullopt;
    rest = end;
  }
  if (*rest == 'Z') ++rest;
  if (*rest != '\0') return std::nullopt;
  return std::int64_t{::timegm(&utc)} * 1'000'000 + static_cast<std::int64_t>(fraction * 1e6);
}

std::optional<std::int64_t> ParseTime(const std::string& text, std::int64_t now_us) {
  std::optional<double> seconds = ParseNumber(text);
  if (!seconds) return ParseDateTime(text);
  if (std::abs(*seconds) > kMaxUnixSeconds) return std::nullopt;
  return static_cast<std::int64_t>(*seconds * 1e6) + (text.starts_with('-') ? now_us : 0);
}

// Why a parameter's value is invalid, without the parameter's name; nullopt if it was accepted.
using Problem = std::optional<std::string>;

Problem ReadId(const std::string& value, std::int64_t /*now_us*/, Question& question) {
  if (value.empty()) return "names no query";
  question.filter.id = value;
  return std::nullopt;
}

Problem ReadClass(const std::string& value, std::int64_t /*now_us*/, Question& question) {
  question.filter.class_name = value;
  return std::nullopt;
}

Problem ReadEndpoint(const std::string& value, std::int64_t /*now_us*/, Question& question) {
  question.filter.endpoint = value;
  return std::nullopt;
}

Problem ReadVerdict(const std::string& value, std::int64_t /*now_us*/, Question& question) {
  question.filter.verdict = VerdictOf(value);
  if (question.filter.verdict) return std::nullopt;
  return fmt::format("'{}' is none of {}", Escaped(value), fmt::join(wire::kVerdictNames, ", "));
}

Problem ReadReason(const std::string& value, std::int64_t /*now_us*/, Question& question) {
  if (!CompletionCauseOf(value) && !IntakeResultOf(value)) {
    return fmt::format("'{}' is none that this program gives", Escaped(value));
  }
  question.filter.reason = value;
  return std::nullopt;
}

Problem InvalidTime(const std::string& value) {
  return fmt::format("'{}' is no time such as 2026-12-01T09:30:00Z, 1796117400 or -90", Escaped(value));
}

Problem ReadSince(const std::string& value, std::int64_t now_us, Question& question) {
  question.filter.from_us = ParseTime(value, now_us);
  return question.filter.from_us ? std::nullopt : InvalidTime(value);
}

Problem ReadUntil(const std::string& value, std::int64_t now_us, Question& question) {
  question.filter.to_us = ParseTime(value, now_us);
  return question.filter.to_us ? std::nullopt : InvalidTime(value);
}

Problem ReadLimit(const std::string& value, std::int64_t /*now_us*/, Question& question) {
  std::optional<double> limit = ParseNumber(value);
  if (!limit || *limit < 1 || *limit > kMaxTraces || *limit != std::floor(*limit)) {
    return fmt::format("'{}' is no whole number from 1 to {}", Escaped(value), kMaxTraces);
  }
  question.filter.limit = static_cast<std::size_t>(*limit);
  return std::nullopt;
}

Problem ReadFormat(const std::string& value, std::int64_t /*now_us*/, Question& question) {
  if (value != wire::kJsonFormat && value != wire::kTextFormat) {
    return fmt::format("'{}' is neither text nor json", Escaped(value));
  }
  question.json = value == wire::kJsonFormat;
  return std::nullopt;
}

Problem ReadSummary(const std::string& value, std::int64_t /*now_us*/, Question& question) {
  question.summary = value != "0" && value != "false";
  return std::nullopt;
}

struct Parameter {
  std::string_view name;
  Problem (*read)(const std::string& value, std::int64_t now_us, Question& question);
};

constexpr std::array<Parameter, 10> kParameters = {{
    {wire::kIdParameter, ReadId},
    {wire::kClassParameter, ReadClass},
    {wire::kVerdictParameter, ReadVerdict},
    {wire::kEndpointParameter, ReadEndpoint},
    {wire::kReasonParameter, ReadReason},
    {wire::kSinceParameter, ReadSince},
    {wire::kUntilParameter, ReadUntil},
    {wire::kLimitParameter, ReadLimit},
    {wire::kFormatParameter, ReadFormat},
    {wire::kSummaryParameter, ReadSummary},
}};

std::string UnknownParameterText(const std::string& name) {
  std::string names;
  for (const Parameter& parameter : kParameters) {
    if (!names.empty()) names += ", ";
    names += parameter.name;
  }
  return fmt::format("'{}' is no filter; there are {}", Escaped(name), names);
}

}  // namespace

tl::expected<Question, QuestionError> ParseQuestion(const Parameters& parameters, std::int64_t now_us) {
  Question question;
  for (const auto& [name, value] : parameters) {
    auto parameter = std::ranges::find(kParameters, name, &Parameter::name);
    if (parameter == kParameters.end()) {
      return tl::unexpected(QuestionError{name, UnknownParameterText(name)});
    }
    if (Problem problem = parameter->read(value, now_us, question)) {
      return tl::unexpected(QuestionError{name, fmt::format("{}: {}", name, *problem)});
    }
  }
  return question;
}

}  // namespace liftrudder::decision_log
