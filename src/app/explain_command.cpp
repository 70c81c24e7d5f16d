#include "app/explain_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <stdexcept>

#include "decision_log/explain_service.h"
#include "net/http.h"
#include "net/socket.h"

namespace liftrudder::app {
namespace {

constexpr coordinator::Micros kPatience = 10'000'000;
constexpr std::size_t kMostAnswer = 4 * 1024 * 1024;

struct Options {
  std::string at = "127.0.0.1:8080", file;
  std::string id, class_name, verdict, endpoint, reason, since, until;
  int limit = 20;
  bool summary = false, json = false;

  decision_log::Parameters Parameters() const {
    decision_log::Parameters out;
    auto add = [&out](const char* name, const std::string& value) {
      if (!value.empty()) out.emplace_back(name, value);
    };
    add("id", id);
    add("class", class_name);
    add("verdict", verdict);
    add("holder", endpoint);
    add("reason", reason);
    add("since", since);
    add("until", until);
    out.emplace_back("limit", std::to_string(limit));
    out.emplace_back("format", json ? "json" : "text");
    if (summary) out.emplace_back("summary", "1");
    return out;
  }
};

std::string Escaped(std::string_view text) {
  std::string out;
  for (unsigned char c : text) {
    bool plain =
        (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
    out += plain ? std::string(1, static_cast<char>(c)) : fmt::format("%{:02x}", c);
  }
  return out;
}

int ExitCode(int status) {
  if (status == 200) return kFoundIt;
  return status == 404 ? kNotFound : status == 400 ? kBadUsage : kNoAnswer;
}

int Print(int status, const std::string& body) {
  std::fwrite(body.data(), 1, body.size(), status == 200 || status == 404 ? stdout : stderr);
  if (!body.ends_with('\n')) std::fputc('\n', stdout);
  return ExitCode(status);
}

int AskFile(const Options& options) try {
  std::int64_t now_us = std::chrono::duration_cast<std::chrono::microseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
  auto question = decision_log::ReadQuestion(options.Parameters(), now_us);
  if (!question) return Print(400, question.error().message);
  decision_log::Reply reply = decision_log::AnswerFrom(decision_log::RecordFile::Open(options.file), *question);
  return Print(reply.status, reply.body);
} catch (const std::runtime_error& error) {
  fmt::print(stderr, "{}\n", error.what());
  return kBadUsage;
}

int AskCoordinator(const Options& options) {
  std::string target = "/-/why";
  for (const auto& [name, value] : options.Parameters())
    target += fmt::format("{}{}={}", target.find('?') == std::string::npos ? '?' : '&', name, Escaped(value));
  net::Fd fd = net::Connect(options.at, kPatience);
  if (!fd.Valid()) {
    fmt::print(stderr, "no gatherer at {}\n", options.at);
    return kNoAnswer;
  }
  std::string request =
      fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", target, options.at);
  net::HttpParser parser(net::HttpParser::Kind::kResponse, kMostAnswer);
  std::string in;
  auto state = net::HttpParser::State::kHead;
  if (net::WriteAll(fd, request, kPatience).status == net::Io::kOk) {
    while (state != net::HttpParser::State::kDone && state != net::HttpParser::State::kBad) {
      net::Io got = net::ReadSome(fd, in, kPatience);
      state = parser.Feed(in);
      if (got == net::Io::kEnd && state != net::HttpParser::State::kDone) state = parser.End();
      if (got != net::Io::kOk) break;
    }
  }
  if (state != net::HttpParser::State::kDone) {
    fmt::print(stderr, "the gatherer at {} gave no whole answer\n", options.at);
    return kNoAnswer;
  }
  return Print(parser.message().status, parser.message().body);
}

}  // namespace

void AddExplainCommand(CLI::App& app, std::function<int()>& run) {
  auto options = std::make_shared<Options>();
  CLI::App* reason =
      app.add_subcommand("why", "Why queries went where they went, and why they ended as they did");
  reason->add_option("id", options->id, "A call id, or the client's own X-Opaque-Id");
  auto* at = reason->add_option("--at", options->at, "Where the gatherer listens, HOST:PORT in numbers")
                 ->capture_default_str();
  reason->add_option("--file", options->file, "A record's file in place of a running gatherer")->excludes(at);
  reason->add_option("--class", options->class_name, "Only queries of this class");
  reason->add_option("--verdict", options->verdict,
                     "open, whole, partial, refused, failed, late, gone or turned_away");
  reason->add_option("--holder", options->endpoint,
                     "Only queries of which a part went to this holder (id or address)");
  reason->add_option("--reason", options->reason,
                     "Only queries that ended for this reason, such as pressure");
  reason->add_option("--since", options->since,
                     "Came no earlier: 2026-12-01T09:30:00Z, Unix seconds, or -90 (seconds ago)");
  reason->add_option("--until", options->until, "Came no later");
  reason->add_option("--limit", options->limit, "At most so many, newest first")
      ->check(CLI::Range(1, 500))
      ->capture_default_str();
  reason->add_flag("--summary", options->summary,
                   "Counts of the last minute and since the start, by reason and holder");
  reason->add_flag("--json", options->json, "JSON in place of text");
  reason->footer(
      "Ends with 0; 1: nothing is kept of that id; 2: a filter or file that cannot be used; 3: no answer.");
  reason->callback([options, &run] {
    run = [options] { return options->file.empty() ? AskCoordinator(*options) : AskFile(*options); };
  });
}

}  // namespace liftrudder::app
