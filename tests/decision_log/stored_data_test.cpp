// Compares the current program with data that an earlier version wrote (tests/fixtures): a decision log, its
// explanations as JSON, the names of figures, key sets and permissions.
#define CATCH_CONFIG_MAIN
#include <fmt/format.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "decision_log/explain_service.h"
#include "decision_log/recorder.h"
#include "identity/permissions.h"
#include "test_support/coordinator_process.h"
#include "test_support/fake_discovery.h"
#include "test_support/temporary_directory.h"
#include "test_support/test_fleet.h"

using namespace liftrudder;
using decision_log::Cause;
using decision_log::FrontKind;
using decision_log::IntakeResult;
using decision_log::Progress;
using decision_log::Verdict;
using routing::AttemptOutcome;
using routing::CompletionCause;
using routing::DispatchKind;
using routing::Eligibility;
using routing::PendingReason;
using Json = nlohmann::ordered_json;

namespace {

constexpr std::int64_t kSecondUs = 1'000'000;
constexpr std::int64_t kStartUs = 1'700'000'000 * kSecondUs;
constexpr std::size_t kRecordBytes = 512 * 1024;

std::string FixturePath(const std::string& name) { return std::string(LIFTRUDDER_FIXTURES) + "/" + name; }

std::string ReadBytes(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  REQUIRE(file.good());
  return {std::istreambuf_iterator<char>(file), {}};
}

std::string Fixture(const std::string& name) { return ReadBytes(FixturePath(name)); }

std::string WithoutLastNewline(std::string text) {
  if (text.ends_with('\n')) text.pop_back();
  return text;
}

// ---- Writing the record again ----

// Writes the events of decision_log/record_v2.bin again, at the same times.
class RecordWriter {
 public:
  explicit RecordWriter(const std::string& path)
      : recorder_(kRecordBytes, path, {"fixture-1", kStartUs, {"teacher-search", "term-report"}}, 7) {
    recorder_.SetTime(now_us_);
    for (std::uint32_t endpoint = 1; endpoint <= 3; ++endpoint) {
      recorder_.SetEndpointName(endpoint, "s-" + std::to_string(endpoint),
                                "127.0.0.1:" + std::to_string(9000 + endpoint));
    }
  }

  void RecordEveryEvent() {
    RecordDispatchKinds();
    RecordOutcomes();
    RecordPendingReasons();
    RecordCompletionCauses();
    RecordIntakeResults();
    RecordUnusualIds();
    RecordWideQuery();
    recorder_.Flush();
  }

 private:
  void Advance(std::int64_t us) {
    now_us_ += us;
    recorder_.SetTime(now_us_);
  }

  std::uint32_t Open(const std::string& id, int class_index, int shard_requests,
                     const std::string& label = "", FrontKind front = FrontKind::kPlatform,
                     bool is_retry = false) {
    std::uint32_t query = next_query_;
    next_query_ += static_cast<std::uint32_t>(shard_requests) + 1;
    std::vector<decision_log::RecordedShardRequest> recorded;
    recorded.reserve(static_cast<std::size_t>(shard_requests));
    for (int i = 0; i < shard_requests; ++i) recorded.push_back({3 + i, 1.0 / shard_requests, i * 250});
    recorder_.RecordArrival(
        {query, now_us_, now_us_ + 4 * kSecondUs, class_index, front, is_retry, id, label}, recorded);
    return query;
  }

  void Send(std::uint32_t query, int shard_request, int attempt, int endpoint, DispatchKind kind,
            AttemptOutcome after, Eligibility other) {
    auto number = static_cast<std::uint32_t>(endpoint);
    routing::Send send{0, {number, 1}, kSecondUs, {kind, after, {}}};
    send.reason.choice.count = 2;
    send.reason.choice.omitted = 1;
    send.reason.choice.endpoints[0] = {{number, 1}, 1, Eligibility::kEligible, true};
    send.reason.choice.endpoints[1] = {{number % 3 + 1, 1}, 2, other, false};
    recorder_.RecordSend(query, shard_request, attempt, send);
  }

  void Respond(std::uint32_t query, std::uint32_t bytes, bool fully_written) {
    decision_log::FrontEvent event;
    event.query = query;
    event.status = 200;
    event.bytes = bytes;
    event.fully_written = fully_written;
    event.at_us = now_us_ + 500;
    recorder_.Post(event);
    recorder_.Flush();
  }

  void RecordDispatchKinds() {
    for (int kind = 0; kind < 6; ++kind) {
      Advance(20'000);
      auto dispatch = static_cast<DispatchKind>(kind);
      bool retry = dispatch == DispatchKind::kRetry;
      std::uint32_t query =
          Open("send-" + std::to_string(kind), kind % 2, 1, "", static_cast<FrontKind>(kind % 5), retry);
      Send(query, 0, 0, 1, dispatch, retry ? AttemptOutcome::kReset : AttemptOutcome::kOk,
           Eligibility::kOutlier);
      Advance(3'000);
      recorder_.RecordAttemptEnd(query, 0, 0, 1, AttemptOutcome::kOk, Progress::kAnswering, Cause::kServed);
      recorder_.RecordCompletion(
          query, {Verdict::kComplete, {CompletionCause::kComplete, 1, 1, {}}, IntakeResult::kNone, 0, 1});
      Respond(query, 1234, true);
    }
  }

  void RecordOutcomes() {
    Advance(20'000);
    std::uint32_t query = Open("outcomes", 0, 9, "client-label");
    for (int i = 0; i < 9; ++i) {
      Send(query, i, 0, 1 + i % 3, DispatchKind::kFirst, AttemptOutcome::kOk, static_cast<Eligibility>(i));
      Advance(1'000);
      recorder_.RecordAttemptEnd(query, i, 0, static_cast<std::uint32_t>(1 + i % 3),
                                 static_cast<AttemptOutcome>(i % 8), static_cast<Progress>(i % 4),
                                 static_cast<Cause>(i));
    }
    for (int i = 0; i < 8; ++i) {
      Send(query, i, 1, 2, DispatchKind::kRetry, static_cast<AttemptOutcome>(i), Eligibility::kAlreadyTried);
    }
    for (int i = 0; i < 4; ++i) {
      Advance(500);
      recorder_.RecordCancellation(query, i, {0, 1, static_cast<routing::CancelReason>(i)});
    }
    recorder_.RecordCompletion(
        query,
        {Verdict::kPartial, {CompletionCause::kLatencyObjective, 0.5f, 0.4f, {}}, IntakeResult::kNone, 0, 4});
    Respond(query, 99, false);
  }

  void RecordPendingReasons() {
    Advance(20'000);
    std::uint32_t query = Open("held", 1, 10);
    for (int i = 0; i < 10; ++i) {
      routing::PendingShardRequest pending;
      pending.reason = static_cast<PendingReason>(i);
      pending.observed = 0.5f + static_cast<float>(i);
      pending.threshold = 0.25f;
      if (pending.reason == PendingReason::kNoEndpoint) {
        pending.choice.count = 1;
        pending.choice.endpoints[0] = {{2, 1}, 3, Eligibility::kDraining, false};
      }
      recorder_.RecordPending(query, i, pending);
    }
    recorder_.RecordCompletion(query, {Verdict::kFailed,
                                       {CompletionCause::kCoverageUnreachable, 0.1f, 0.4f, {}},
                                       IntakeResult::kNone,
                                       0,
                                       0});
  }

  void RecordCompletionCauses() {
    for (int cause = 0; cause < 13; ++cause) {
      Advance(20'000);
      std::uint32_t query = Open("cause-" + std::to_string(cause), cause % 2, 1);
      routing::CompletionReason reason{static_cast<CompletionCause>(cause), 1.5f, 1.25f, {}};
      if (reason.cause == CompletionCause::kEndpointLoad) reason.endpoint = {3, 1};
      Advance(2'000);
      bool expired = reason.cause == CompletionCause::kExpired;
      bool load = reason.cause == CompletionCause::kLoad;
      recorder_.RecordCompletion(
          query, {static_cast<Verdict>(1 + cause % 6), reason,
                  expired ? IntakeResult::kAnswerTimeout : IntakeResult::kNone, load ? 250'000 : 0, 0});
    }
    recorder_.RecordClose({{1, 1}, routing::CloseReason::kDeadConnection});
    recorder_.RecordClose({{1, 1}, routing::CloseReason::kIdleTimeout});
  }

  void RecordIntakeResults() {
    for (int result = 1; result < 9; ++result) {
      Advance(1'000);
      decision_log::FrontEvent event;
      event.intake = static_cast<IntakeResult>(result);
      event.status = static_cast<std::uint16_t>(400 + result);
      event.shard_requests = 2;
      event.class_index = 1;
      event.at_us = now_us_;
      event.observed = 801;
      event.threshold = 800;
      event.SetId("door-" + std::to_string(result));
      recorder_.Post(event);
    }
    recorder_.Flush();
  }

  void RecordUnusualIds() {
    Advance(20'000);
    Open(std::string("q\xff\x00\n\"\\", 6), 0, 1);
    Open(std::string(300, 'x'), 0, 1);
  }

  // More events than one query may have in the record.
  void RecordWideQuery() {
    std::uint32_t query = Open("wide", 0, 400);
    for (int i = 0; i < 400; ++i) {
      Send(query, i, 0, 1, DispatchKind::kFirst, AttemptOutcome::kOk, Eligibility::kOutlier);
    }
    recorder_.RecordCompletion(query, {Verdict::kPartial,
                                       {CompletionCause::kNoPendingRequests, 0.9f, 0.4f, {}},
                                       IntakeResult::kNone,
                                       0,
                                       300});
  }

  decision_log::Recorder recorder_;
  std::int64_t now_us_ = kStartUs;
  std::uint32_t next_query_ = 1;
};

decision_log::Reply AskRecord(const std::function<void(decision_log::Question&)>& ask) {
  auto record = decision_log::RecordFile::Open(FixturePath("decision_log/record_v2.bin"));
  decision_log::Question question;
  question.json = true;
  ask(question);
  return decision_log::AnswerFrom(record, question);
}

// ---- A running coordinator ----

constexpr int kEndpoints = 3;

std::string CoordinatorConfig(const test_support::FakeDiscovery& discovery) {
  return fmt::format(
      R"({{"name":"n1","seed":"8c1f30d27a5be964","listen":"127.0.0.1:0","mgmt":"127.0.0.1:0","discovery":"{}","limits":{{"cores":1,"sockets":256,"memory_mb":64}},
"known":{},"settings":{{"az":0,"groupSize":1,"ordinal":0,"resolutionUs":1000,"dcs":[],"kinds":["k"],
"registryMode":"automatic","loadInfo":{{"how":"inline","names":["queue","inflight"]}},
"grades":[{{"name":"search","aimUs":5000000,"giveUpUs":9000000,"lateShare":0.3,"value":5.0,"effect":"idempotent","repeatWindowUs":5000000,"dedupScope":"all"}},
{{"name":"report","aimUs":5000000,"giveUpUs":9000000,"lateShare":0.3,"value":5.0,"effect":"idempotent","repeatWindowUs":5000000,"dedupScope":"all"}}],
"familyInfo":{{"cells":{},"reach":1,"slices":{},"perCall":1,"classFetch":[0,0],"classFloor":[1.0,1.0],"wholeAt":[1.0,1.0],"incompleteWorth":[0.95,0.95]}},
"bounds":{{"attemptsCap":3,"cancelling":true,"connectTimeoutUs":250000,"idleCloseUs":30000000,"maxOpen":500,"maxRetryAfterUs":500000,"probes":true,"retryAfter":true,"secondCopies":false,"streamsPerConn":100}},
"rules":{{"graceToAnswerUs":5000,"stopSendingWithinUs":1000000}}}}}})",
      discovery.addr(), discovery.List(), kEndpoints, kEndpoints);
}

// A coordinator and its endpoints, after one query that was answered and one that was rejected at intake.
class RunningCoordinator {
 public:
  RunningCoordinator() : fleet_(kEndpoints, 2'000) {
    std::vector<test_support::FakeDiscovery::Entry> entries;
    entries.reserve(kEndpoints);
    for (int i = 0; i < kEndpoints; ++i) entries.push_back({fmt::format("h{}", i), fleet_.addr(i), i});
    discovery_.UpdateEndpoints(entries);
    process_ = std::make_unique<test_support::CoordinatorProcess>(LIFTRUDDER_PROGRAM, directory_.path(),
                                                                  CoordinatorConfig(discovery_));
    INFO(process_->Log());
    REQUIRE(!process_->addr().empty());
    auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (Admin("/healthcheck").status != 200) {
      REQUIRE(std::chrono::steady_clock::now() < deadline);
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    CHECK(Query("search", "live-1") == 200);
    CHECK(Query("none", "live-2") == 400);
  }

  net::HttpMessage Get(const std::string& target) const {
    return test_support::Get(process_->addr(), target);
  }
  net::HttpMessage Admin(const std::string& path) const {
    return test_support::Fetch(process_->LoggedTextAfter("are answered at "),
                               fmt::format("GET {} HTTP/1.1\r\nHost: g\r\n\r\n", path));
  }

 private:
  int Query(const std::string& class_name, const std::string& id) const {
    const std::string body =
        R"({"tablets":[{"tablet":0,"fraction":0.5},{"tablet":1,"fraction":0.5}],"statement":"s"})";
    return test_support::Fetch(
               process_->addr(),
               fmt::format("POST /api HTTP/1.1\r\nHost: g\r\nX-Call-Id: {}\r\nX-Call-Class: {}\r\n"
                           "X-Budget: 8\r\nContent-Length: {}\r\n\r\n{}",
                           id, class_name, body.size(), body))
        .status;
  }

  test_support::TestFleet fleet_;
  test_support::FakeDiscovery discovery_;
  test_support::TemporaryDirectory directory_;
  std::unique_ptr<test_support::CoordinatorProcess> process_;
};

// The document with the values that differ from run to run, times and ports, replaced by their types.
Json WithoutVariables(const Json& value) {
  static constexpr std::array kVariableMembers = {"started", "arrived",  "arrived_us", "at",          "up_to",
                                                  "at_ms",   "ended_ms", "timeout_ms", "last_minute", "addr"};
  if (value.is_array()) {
    Json out = Json::array();
    for (const Json& element : value) out.push_back(WithoutVariables(element));
    return out;
  }
  if (!value.is_object()) return value;
  Json out = Json::object();
  for (const auto& [key, member] : value.items()) {
    bool variable =
        std::ranges::find(kVariableMembers, key) != kVariableMembers.end() && member.is_primitive();
    out[key] = variable ? Json(member.type_name()) : WithoutVariables(member);
  }
  return out;
}

std::string NamesOf(const std::string& figures) {
  std::istringstream lines(figures);
  std::string names;
  for (std::string line; std::getline(lines, line);) names += line.substr(0, line.find(' ')) + "\n";
  return names;
}

}  // namespace

TEST_CASE("a record of an earlier version is explained with the same JSON") {
  decision_log::Reply all = AskRecord([](auto& question) { question.filter.limit = 500; });
  CHECK(all.status == 200);
  CHECK(all.body == WithoutLastNewline(Fixture("decision_log/explain_all.json")));
  decision_log::Reply labelled = AskRecord([](auto& question) { question.filter.id = "client-label"; });
  CHECK(labelled.status == 200);
  CHECK(labelled.body == WithoutLastNewline(Fixture("decision_log/explain_by_label.json")));
  decision_log::Reply unknown = AskRecord([](auto& question) { question.filter.id = "never-seen"; });
  CHECK(unknown.status == 404);
  // Its `text` is for people, and its wording may change.
  Json unknown_before = Json::parse(Fixture("decision_log/explain_unknown_id.json"));
  Json unknown_now = Json::parse(unknown.body);
  CHECK(unknown_now["text"].get<std::string>().starts_with("never-seen was not seen since "));
  unknown_before["text"] = unknown_now["text"];
  CHECK(unknown_now == unknown_before);
  decision_log::Reply summary = AskRecord([](auto& question) { question.summary = true; });
  CHECK(summary.status == 200);
  CHECK(summary.body == WithoutLastNewline(Fixture("decision_log/summary.json")));
}

TEST_CASE("the why sub-command prints the same JSON for a record of an earlier version") {
  const std::string file = FixturePath("decision_log/record_v2.bin");
  auto [all_code, all] =
      test_support::RunProgram(LIFTRUDDER_PROGRAM, {"why", "--file", file, "--json", "--limit", "500"});
  CHECK(all_code == 0);
  CHECK(all == Fixture("decision_log/explain_all.json"));
  auto [label_code, label] =
      test_support::RunProgram(LIFTRUDDER_PROGRAM, {"why", "--file", file, "--json", "client-label"});
  CHECK(label_code == 0);
  CHECK(label == Fixture("decision_log/explain_by_label.json"));
  auto [summary_code, summary] =
      test_support::RunProgram(LIFTRUDDER_PROGRAM, {"why", "--file", file, "--json", "--summary"});
  CHECK(summary_code == 0);
  CHECK(summary == Fixture("decision_log/summary.json"));
  auto [unknown_code, unknown] =
      test_support::RunProgram(LIFTRUDDER_PROGRAM, {"why", "--file", file, "--json", "never-seen"});
  CHECK(unknown_code == 1);
}

TEST_CASE("the same events are written as the same bytes") {
  test_support::TemporaryDirectory directory;
  const std::string path = directory.path() + "/record";
  RecordWriter(path).RecordEveryEvent();
  const std::string now = ReadBytes(path);
  const std::string before = Fixture("decision_log/record_v2.bin");
  REQUIRE(now.size() == before.size());
  auto [first, second] = std::ranges::mismatch(now, before);
  INFO("the first byte that differs: " << first - now.begin());
  CHECK(now == before);
}

TEST_CASE("a running coordinator explains queries with the same JSON members") {
  RunningCoordinator coordinator;
  auto check_unchanged = [&coordinator](const std::string& target, const std::string& fixture) {
    net::HttpMessage reply = coordinator.Get(target);
    CHECK(reply.status == 200);
    // Compared as text, since the order of members counts too.
    CHECK(WithoutVariables(Json::parse(reply.body)).dump(1) ==
          WithoutVariables(Json::parse(Fixture(fixture))).dump(1));
  };
  check_unchanged("/-/why?format=json&limit=500", "live/explain.json");
  check_unchanged("/-/why?format=json&id=live-1", "live/explain_by_id.json");
  check_unchanged("/-/why?format=json&summary=1", "live/summary.json");
}

TEST_CASE("figures keep their names and order") {
  RunningCoordinator coordinator;
  CHECK(NamesOf(coordinator.Get("/-/metrics").body) ==
        Fixture("live/metrics_names.txt") + Fixture("live/metrics_names_added.txt"));
  CHECK(NamesOf(coordinator.Admin("/stats").body) == Fixture("live/admin_stats_names.txt"));
}

TEST_CASE("key sets are accepted and rejected as before") {
  auto [accepted_code, accepted_output] =
      test_support::RunProgram(LIFTRUDDER_PROGRAM, {"keys", "check", FixturePath("identity/keys.json")});
  CHECK(accepted_code == 0);
  CHECK(accepted_output == Fixture("identity/keys_check.txt"));
  auto [private_code, private_output] = test_support::RunProgram(
      LIFTRUDDER_PROGRAM, {"keys", "check", FixturePath("identity/keys_private.json")});
  CHECK(private_code == 1);
  CHECK(private_output.find("private member 'd'") != std::string::npos);
}

TEST_CASE("permissions are read as before") {
  auto parsed = identity::PermissionTable::Parse(Fixture("identity/permissions.json"));
  REQUIRE(parsed);
  const identity::PermissionTable& table = *parsed;
  Json now = {{"keys", table.keys_file},
              {"issuer", table.issuer},
              {"audience", table.audience},
              {"skew_us", table.clock_skew_us},
              {"cached", table.max_cached_tokens},
              {"work_per_s", table.work_per_s},
              {"most_open", table.max_open_queries}};
  for (const auto& [name, permissions] : table.tenants) {
    Json tenant = {{"indices", permissions->indices},
                   {"partial", permissions->partial},
                   {"scrolls", permissions->scrolls},
                   {"pages", permissions->pages},
                   {"weight", permissions->weight},
                   {"filter", permissions->filter},
                   {"any_network", permissions->networks.empty()},
                   {"certificates", permissions->certificates}};
    for (const char* address : {"10.1.2.3", "192.0.2.7", "::ffff:10.1.2.3", "fd00::1", "2001:db8::1"}) {
      tenant["contains"][address] = permissions->networks.Contains(address);
    }
    now["tenants"][name] = std::move(tenant);
  }
  for (const auto& [certificate, tenant] : table.tenant_by_certificate) {
    now["by_certificate"][certificate] = tenant;
  }
  CHECK(now == Json::parse(Fixture("identity/permissions_as_read.json")));
}
