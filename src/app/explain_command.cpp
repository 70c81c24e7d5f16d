#include "app/explain_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

#include "app/wire_names.h"
#include "decision_log/explain_service.h"
#include "net/http.h"
#include "net/socket.h"

namespace liftrudder::app {
namespace {

constexpr coordinator::Micros kTimeoutUs = 10'000'000;
constexpr std::size_t kMaxAnswerBytes = 4 * 1024 * 1024;
constexpr int kDefaultLimit = 20;
constexpr int kMaxLimit = 500;

// The command line's options; an empty string is no filter.
struct Options {
  std::string coordinator_address = "127.0.0.1:8080";
  std::string record_file;
  std::string id;
  std::string class_name;
  std::string verdict;
  std::string endpoint;
  std::string reason;
  std::string since;
  std::string until;
  int limit = kDefaultLimit;
  bool summary = false;
  bool json = false;

  decision_log::Parameters Parameters() const {
    decision_log::Parameters parameters;
    auto add = [&parameters](const char* name, const std::string& value) {
      if (!value.empty()) parameters.emplace_back(name, value);
    };
    add(wire::kExplainId, id);
    add(wire::kExplainClass, class_name);
    add(wire::kExplainVerdict, verdict);
    add(wire::kExplainEndpoint, endpoint);
    add(wire::kExplainReason, reason);
    add(wire::kExplainSince, since);
    add(wire::kExplainUntil, until);
    add(wire::kExplainLimit, std::to_string(limit));
    add(wire::kExplainFormat, json ? "json" : "text");
    add(wire::kExplainSummary, summary ? "1" : "");
    return parameters;
  }
};

std::string PercentEncoded(std::string_view text) {
  std::string encoded;
  for (unsigned char c : text) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool plain = letter || (c >= '0' && c <= '9') || c == '-' || c == '_';
    encoded += plain ? std::string(1, static_cast<char>(c)) : fmt::format("%{:02x}", c);
  }
  return encoded;
}

int ExitCode(int status) {
  switch (status) {
    case 200:
      return kFound;
    case 404:
      return kNotFound;
    case 400:
      return kBadUsage;
    default:
      return kNoAnswer;
  }
}

int Print(int status, const std::string& body) {
  const bool answered = status == 200 || status == 404;
  std::fwrite(body.data(), 1, body.size(), answered ? stdout : stderr);
  if (!body.ends_with('\n')) std::fputc('\n', stdout);
  return ExitCode(status);
}

std::int64_t UnixTimeUs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(now).count();
}

int ExplainFromRecordFile(const Options& options) try {
  auto question = decision_log::ParseQuestion(options.Parameters(), UnixTimeUs());
  if (!question) return Print(400, question.error().message);
  const decision_log::Reply reply =
      decision_log::AnswerFrom(decision_log::RecordFile::Open(options.record_file), *question);
  return Print(reply.status, reply.body);
} catch (const std::runtime_error& error) {
  fmt::print(stderr, "{}\n", error.what());
  return kBadUsage;
}

// Returns whether the response was read completely.
bool ReadResponse(const net::Fd& fd, net::HttpParser& parser) {
  std::string pending;
  auto state = net::HttpParser::State::kHead;
  while (state != net::HttpParser::State::kDone && state != net::HttpParser::State::kBad) {
    const net::IoStatus got = net::ReadSome(fd, pending, kTimeoutUs);
    state = parser.Feed(pending);
    if (got == net::IoStatus::kEnd && state != net::HttpParser::State::kDone) state = parser.End();
    if (got != net::IoStatus::kOk) break;
  }
  return state == net::HttpParser::State::kDone;
}

int ExplainFromCoordinator(const Options& options) {
  const std::string& address = options.coordinator_address;
  std::string target = wire::kExplainPath;
  char separator = '?';
  for (const auto& [name, value] : options.Parameters()) {
    target += fmt::format("{}{}={}", separator, name, PercentEncoded(value));
    separator = '&';
  }
  net::Fd fd = net::Connect(address, kTimeoutUs);
  if (!fd.Valid()) {
    fmt::print(stderr, "cannot connect to a coordinator at {}\n", address);
    return kNoAnswer;
  }
  const std::string request =
      fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", target, address);
  net::HttpParser parser(net::HttpParser::Kind::kResponse, kMaxAnswerBytes);
  const bool written = net::WriteAll(fd, request, kTimeoutUs).status == net::IoStatus::kOk;
  if (!written || !ReadResponse(fd, parser)) {
    fmt::print(stderr, "the coordinator at {} sent no complete response\n", address);
    return kNoAnswer;
  }
  return Print(parser.message().status, parser.message().body);
}

}  // namespace

void AddExplainCommand(CLI::App& app, std::function<int()>& run) {
  auto options = std::make_shared<Options>();
  CLI::App* command = app.add_subcommand(
      wire::kExplainCommand, "Explain why queries were sent where they were, and why they ended as they did");
  command->add_option("id", options->id, "A call id, or the client's X-Opaque-Id");
  auto* address =
      command
          ->add_option("--at", options->coordinator_address, "Address of the coordinator: numeric HOST:PORT")
          ->capture_default_str();
  command
      ->add_option("--file", options->record_file,
                   "Read a record file in place of asking a running coordinator")
      ->excludes(address);
  command->add_option("--class", options->class_name, "Only queries of this class");
  command->add_option("--verdict", options->verdict, wire::kExplainVerdicts);
  command->add_option(wire::kExplainEndpointOption, options->endpoint,
                      "Only queries of which a shard request went to this endpoint (id or address)");
  command->add_option(
      "--reason", options->reason,
      fmt::format("Only queries that ended for this reason, such as {}", wire::kExplainReasonExample));
  command->add_option("--since", options->since,
                      "Only queries received since this time: as 2026-12-01T09:30:00Z, Unix seconds, or -90 "
                      "(90 seconds ago)");
  command->add_option("--until", options->until,
                      "Only queries received until this time; formats as for --since");
  command->add_option("--limit", options->limit, "Maximum number of queries, newest first")
      ->check(CLI::Range(1, kMaxLimit))
      ->capture_default_str();
  command->add_flag("--summary", options->summary,
                    "Counts for the last minute and since the start, by reason and endpoint");
  command->add_flag("--json", options->json, "Print JSON in place of text");
  command->footer(
      "Exit codes: 0: found; 1: no record of the query; 2: invalid usage, filter or file; 3: no answer.");
  command->callback([options, &run] {
    run = [options] {
      return options->record_file.empty() ? ExplainFromCoordinator(*options)
                                          : ExplainFromRecordFile(*options);
    };
  });
}

}  // namespace liftrudder::app
