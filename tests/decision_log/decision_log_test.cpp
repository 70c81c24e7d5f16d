// Tests of the decision log: what it keeps, what it evicts, and what it reports of damaged files. Without a
// running program or sockets.
#define CATCH_CONFIG_MAIN
#include <rapidcheck.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <thread>

#include "decision_log/explain.h"
#include "decision_log/explain_service.h"
#include "decision_log/recorder.h"
#include "support/explain_reading.h"
#include "test_support/allocation_counter.h"
#include "test_support/temporary_directory.h"

using namespace liftrudder;
using decision_log::IntakeResult;
using decision_log::Recorder;
using decision_log::Verdict;
using liftrudder::routing::AttemptOutcome;
using liftrudder::routing::CompletionCause;
using tests::ReadAll;
using tests::ReadResult;

namespace {

constexpr std::size_t kRecordBytes = 1024 * 1024;  // the minimum that the configuration accepts

constexpr std::int64_t kSecondUs = 1'000'000;
constexpr std::int64_t kStartUs = 1'700'000'000 * kSecondUs;
const decision_log::RecordOrigin kOrigin{"n1", kStartUs, {"teacher-search", "term-report", "book-lesson"}};

struct Fixture {
  explicit Fixture(std::size_t bytes = kRecordBytes, const std::string& path = "")
      : recorder(bytes, path, kOrigin, 7) {
    recorder.SetTime(now_us);
    for (std::uint32_t endpoint = 1; endpoint <= 3; ++endpoint) {
      recorder.SetEndpointName(endpoint, "s-" + std::to_string(endpoint),
                               "127.0.0.1:" + std::to_string(9000 + endpoint));
    }
  }

  void Advance(std::int64_t us) {
    now_us += us;
    recorder.SetTime(now_us);
  }

  std::uint32_t Open(const std::string& id, int class_index, int shard_requests = 2,
                     const std::string& label = "") {
    std::uint32_t query = next_query;
    next_query += static_cast<std::uint32_t>(shard_requests) + 1;
    std::vector<decision_log::RecordedShardRequest> recorded(static_cast<std::size_t>(shard_requests),
                                                             {3, 1.0 / shard_requests, 0});
    recorder.RecordArrival({query, now_us, now_us + 4 * kSecondUs, class_index,
                            decision_log::FrontKind::kPlatform, false, id, label},
                           recorded);
    return query;
  }
  void Send(std::uint32_t query, int shard_request, int attempt, std::uint32_t endpoint,
            liftrudder::routing::DispatchKind kind = liftrudder::routing::DispatchKind::kFirst,
            AttemptOutcome after = AttemptOutcome::kOk) {
    liftrudder::routing::Send send{0, {endpoint, 1}, kSecondUs, {kind, after, {}}};
    send.reason.choice.count = 2;
    send.reason.choice.endpoints[0] = {{endpoint, 1}, 1, liftrudder::routing::Eligibility::kEligible, true};
    send.reason.choice.endpoints[1] = {
        {endpoint % 3 + 1, 1}, 0, liftrudder::routing::Eligibility::kOutlier, false};
    recorder.RecordSend(query, shard_request, attempt, send);
  }
  void End(std::uint32_t query, Verdict verdict, CompletionCause cause = CompletionCause::kComplete) {
    recorder.RecordCompletion(query, {verdict, {cause, 1, 1, {}}, IntakeResult::kNone, 0, 2});
  }
  void RecordQuery(const std::string& id, int class_index, Verdict verdict = Verdict::kComplete,
                   CompletionCause cause = CompletionCause::kComplete) {
    std::uint32_t query = Open(id, class_index);
    for (int shard_request = 0; shard_request < 2; ++shard_request) {
      Send(query, shard_request, 0, 1);
      recorder.RecordAttemptEnd(query, shard_request, 0, 1, AttemptOutcome::kOk,
                                decision_log::Progress::kAnswering, decision_log::Cause::kServed);
    }
    End(query, verdict, cause);
  }
  ReadResult FindById(const std::string& id) {
    recorder.Flush();
    decision_log::Filter filter;
    filter.id = id;
    return ReadAll(recorder.record_file(), filter);
  }

  std::int64_t now_us = kStartUs;
  std::uint32_t next_query = 1;
  Recorder recorder;
};

std::string Render(const ReadResult& found, const decision_log::Filter& filter, bool json) {
  decision_log::TraceRenderer renderer(filter, kOrigin, json);
  for (const decision_log::QueryTrace& trace : found.traces) renderer.Add(trace);
  return std::move(renderer).Finish(found);
}

std::string ErrorOf(const std::string& path) {
  try {
    decision_log::RecordFile::Open(path);
  } catch (const std::runtime_error& error) {
    return error.what();
  }
  return "";
}

}  // namespace

TEST_CASE("a query retried across three endpoints, and a slower attempt that ends after the query") {
  Fixture f;
  std::uint32_t query = f.Open("q-1", 1);
  f.Send(query, 0, 0, 1);
  f.Send(query, 1, 0, 2);
  f.Advance(10'000);
  f.recorder.RecordAttemptEnd(query, 0, 0, 1, AttemptOutcome::kOverloaded, decision_log::Progress::kAnswering,
                              decision_log::Cause::kEndpointRejected);
  f.Send(query, 0, 1, 2, liftrudder::routing::DispatchKind::kRetry, AttemptOutcome::kOverloaded);
  f.Advance(10'000);
  f.recorder.RecordAttemptEnd(query, 0, 1, 2, AttemptOutcome::kReset, decision_log::Progress::kFullyWritten,
                              decision_log::Cause::kConnectionLost);
  f.Send(query, 0, 2, 3, liftrudder::routing::DispatchKind::kRetry, AttemptOutcome::kReset);
  f.Send(query, 1, 1, 3, liftrudder::routing::DispatchKind::kStragglerHedge);
  f.recorder.RecordAttemptEnd(query, 0, 2, 3, AttemptOutcome::kOk, decision_log::Progress::kAnswering,
                              decision_log::Cause::kServed);
  f.recorder.RecordAttemptEnd(query, 1, 1, 3, AttemptOutcome::kOk, decision_log::Progress::kAnswering,
                              decision_log::Cause::kServed);
  f.recorder.RecordCancellation(query, 1, {0, 0, liftrudder::routing::CancelReason::kAnswered});
  f.End(query, Verdict::kComplete);
  f.Advance(10'000);
  f.recorder.RecordAttemptEnd(query, 1, 0, 2, AttemptOutcome::kCancelled,
                              decision_log::Progress::kFullyWritten, decision_log::Cause::kCancelled);
  auto found = f.FindById("q-1");
  REQUIRE(found.traces.size() == 1);
  const decision_log::QueryTrace& trace = found.traces[0];
  CHECK(trace.class_name == "term-report");
  REQUIRE(trace.shard_requests.size() == 2);
  REQUIRE(trace.shard_requests[0].attempts.size() == 3);
  REQUIRE(trace.shard_requests[1].attempts.size() == 2);
  CHECK(trace.shard_requests[0].attempts[1].endpoint.id == "s-2");
  CHECK(trace.shard_requests[0].attempts[1].outcome == AttemptOutcome::kReset);
  CHECK(trace.shard_requests[0].attempts[2].previous_outcome == AttemptOutcome::kReset);
  CHECK(trace.shard_requests[1].attempts[0].ended_us == 30'000);
  CHECK(trace.shard_requests[1].attempts[0].cause == decision_log::Cause::kCancelled);
  std::string text = decision_log::TextOf(trace);
  CHECK(text.find("was retried, since the attempt before lost its connection, at s-3") != std::string::npos);
  CHECK(text.find("the connection was lost after the request was written, so it may have run") !=
        std::string::npos);
  CHECK(text.find("(after the query's end)") != std::string::npos);
}

TEST_CASE("an id that a hostile client chose is truncated and escaped, and its query is still found") {
  Fixture f;
  std::string long_id(5000, 'x'), binary_id("q\xff\x00\n\"\\", 6);
  f.RecordQuery(long_id, 0);
  f.RecordQuery(binary_id, 0);
  f.RecordQuery(binary_id, 0);
  auto found = f.FindById(long_id);
  REQUIRE(found.traces.size() == 1);
  CHECK(found.traces[0].call_id.size() == decision_log::kMaxIdBytes);
  CHECK(found.traces[0].id_cut);
  found = f.FindById(binary_id);
  CHECK(found.traces.size() == 2);  // an id that was used twice finds both queries
  decision_log::Filter filter;
  filter.id = binary_id;
  std::string json = Render(found, filter, true);
  CHECK(json.find(R"(q\\xff\\x00\\x0a\"\\x5c)") != std::string::npos);
  CHECK(std::ranges::all_of(json, [](char c) { return c >= ' ' && c < 0x7f; }));
}

TEST_CASE(
    "a client's own label finds kept and evicted queries, and the occurrences of a reused id are limited") {
  Fixture f;
  std::string label = "week-1 " + std::string(200, 'x');
  std::uint32_t query = f.Open("s1", 0, 2, label.substr(0, decision_log::kMaxIdBytes));
  f.End(query, Verdict::kComplete);
  REQUIRE(f.FindById(label).traces.size() == 1);
  CHECK(f.FindById(label).traces[0].call_id == "s1");
  for (int i = 0; i < 20'000; ++i) {
    f.RecordQuery("same", 0);
    f.recorder.Flush();
    if (i % 100 == 0 && f.FindById(label).traces.empty()) break;
  }
  CHECK(f.FindById(label).traces.empty());
  REQUIRE(f.FindById(label).occurrences.size() == 1);
  CHECK(f.FindById(label).occurrences[0].verdict == Verdict::kComplete);
  CHECK(f.FindById("same").occurrences.size() == decision_log::kMaxOccurrences);
}

TEST_CASE("a reader holds one query in memory at a time, however many fit the filter") {
  Fixture f(4 * 1024 * 1024);
  std::uint32_t wide = f.Open("wide", 0, 1000);
  for (int shard_request = 0; shard_request < 1000; ++shard_request) f.Send(wide, shard_request, 0, 1);
  f.End(wide, Verdict::kPartial, CompletionCause::kLatencyObjective);
  for (int i = 0; i < 8000; ++i) f.RecordQuery("q-" + std::to_string(i), i % 3);
  f.recorder.Flush();
  for (bool json : {false, true}) {
    decision_log::Question question;
    question.filter.limit = 500;
    question.json = json;
    test_support::ResetPeakAllocatedBytes();
    std::size_t base = test_support::AllocatedBytes();
    CHECK(decision_log::AnswerFrom(f.recorder.record_file(), question).body.size() > 100'000);
    // The reply, whose capacity doubles as it grows, and one decoded query of the largest kind.
    if (test_support::kAllocationsCounted) {
      CHECK(test_support::PeakAllocatedBytes() - base < 3 * decision_log::kMaxReplyBytes);
    }
    question.filter.id = "wide";
    test_support::ResetPeakAllocatedBytes();
    CHECK(decision_log::AnswerFrom(f.recorder.record_file(), question).status == 200);
    if (test_support::kAllocationsCounted) CHECK(test_support::PeakAllocatedBytes() - base < 8 * 1024 * 1024);
  }
}

TEST_CASE("property: the reader survives arbitrary words in a block") {
  test_support::TemporaryDirectory directory;
  const std::string path = directory.path() + "/why.record";
  { Fixture f(kRecordBytes, path); }
  decision_log::RecordFile record_file = decision_log::RecordFile::Open(path);
  bool ok = rc::check("random events", [&record_file] {
    std::size_t at = record_file.layout().block_start;
    record_file.BeginCell(at);
    auto used = *rc::gen::inRange<std::uint64_t>(0, 40);
    record_file.Store(at + 1, 1 | used << 48);
    record_file.Store(at + 2, *rc::gen::element<std::uint64_t>(decision_log::kNoBlock, 0, 5));
    for (std::size_t i = 3; i < decision_log::kBlockWords; ++i) {
      auto word = *rc::gen::arbitrary<std::uint64_t>();
      // Most words begin like the first word of an event.
      if (*rc::gen::inRange(0, 4) > 0) {
        word = (word & ~std::uint64_t{0xffff}) | *rc::gen::inRange<std::uint64_t>(0, 11) |
               *rc::gen::inRange<std::uint64_t>(0, 8) << 8;
      }
      record_file.Store(at + i, word);
    }
    record_file.EndCell(at, decision_log::kBlockWords);
    decision_log::Question question;
    for (bool json : {false, true}) {
      question.json = json;
      RC_ASSERT(!decision_log::AnswerFrom(record_file, question).body.empty());
    }
  });
  CHECK(ok);
}

TEST_CASE(
    "a query with very many shard requests is limited to its share, and its missing events are reported") {
  Fixture f;
  std::uint32_t query = f.Open("wide", 0, 1000);
  for (int shard_request = 0; shard_request < 1000; ++shard_request) f.Send(query, shard_request, 0, 1);
  f.End(query, Verdict::kPartial, CompletionCause::kLatencyObjective);
  auto found = f.FindById("wide");
  REQUIRE(found.traces.size() == 1);
  CHECK(found.traces[0].events_dropped);
  CHECK(found.traces[0].verdict == Verdict::kPartial);
  CHECK(decision_log::Reader(f.recorder.record_file()).Summarize().blocks_used <=
        f.recorder.record_file().layout().blocks / 16);
}

TEST_CASE("recording a query allocates nothing, and the number of allocated bytes stays the same") {
  Fixture f;
  std::vector<std::string> ids;
  ids.reserve(20'000);
  for (int i = 0; i < 20'000; ++i) ids.push_back("query-" + std::to_string(i));
  std::vector<decision_log::RecordedShardRequest> shard_requests(6, {1, 0.1, 100});
  std::size_t allocated = f.recorder.AllocatedBytes();
  std::size_t before = test_support::AllocationCount();
  for (int i = 0; i < 20'000; ++i) {
    f.Advance(7'000);
    std::uint32_t query = f.next_query;
    f.next_query += 7;
    f.recorder.RecordArrival(
        {query, f.now_us, f.now_us + kSecondUs, i % 3, decision_log::FrontKind::kPlatform, false,
         ids[static_cast<std::size_t>(i)], ""},
        shard_requests);
    for (int shard_request = 0; shard_request < 6; ++shard_request) f.Send(query, shard_request, 0, 1);
    for (int shard_request = 0; shard_request < 6; ++shard_request) {
      f.recorder.RecordAttemptEnd(query, shard_request, 0, 1, AttemptOutcome::kOk,
                                  decision_log::Progress::kAnswering, decision_log::Cause::kServed);
    }
    f.End(query, i % 50 == 0 ? Verdict::kRejected : Verdict::kComplete);
    f.recorder.Flush();
  }
  if (test_support::kAllocationsCounted) {
    CHECK(before > 0);  // allocations are counted at all
    CHECK(test_support::AllocationCount() == before);
  }
  CHECK(f.recorder.AllocatedBytes() == allocated);
  CHECK(allocated <= kRecordBytes);
  CHECK(allocated > 400 * 1024);  // most of the requested memory is used
}

TEST_CASE("a burst does not evict the rejected and partial queries of the minute before it") {
  Fixture f;
  // A minute at 20 queries a second with a rejected or partial one every four seconds, then about 8 s at 37 a
  // second, half of them rejected.
  std::set<std::string> rejected_or_partial, ordinary;
  for (int i = 0; i < 1200; ++i) {
    f.Advance(50'000);
    std::string id = "before-" + std::to_string(i);
    if (i % 80 == 0) {
      f.RecordQuery(id, 1, i % 160 == 0 ? Verdict::kRejected : Verdict::kPartial, CompletionCause::kLoad);
      rejected_or_partial.insert(id);
    } else {
      f.RecordQuery(id, i % 3);
      ordinary.insert(id);
    }
    f.recorder.Flush();
  }
  std::size_t ordinary_before = 0;
  for (const std::string& id : ordinary) ordinary_before += f.FindById(id).traces.size();
  for (int burst = 0; burst < 20; ++burst) {  // 20 such bursts, of which the first fills the record
    for (int i = 0; i < 8 * 36; ++i) {
      f.Advance(27'000);
      bool rejected = i % 2 == 0;
      f.RecordQuery("burst-" + std::to_string(burst) + "-" + std::to_string(i), i % 3,
                    rejected ? Verdict::kRejected : Verdict::kComplete,
                    rejected ? CompletionCause::kLoad : CompletionCause::kComplete);
      f.recorder.Flush();
    }
  }
  std::size_t kept = 0;
  for (const std::string& id : rejected_or_partial) kept += f.FindById(id).traces.size();
  INFO("rejected or partial queries kept: " << kept << " of " << rejected_or_partial.size());
  CHECK(kept >= rejected_or_partial.size() * 2 / 3);
  std::size_t ordinary_kept = 0;
  for (const std::string& id : ordinary) ordinary_kept += f.FindById(id).traces.size();
  INFO("ordinary queries kept: " << ordinary_kept << " of " << ordinary_before << " before");
  CHECK(ordinary_kept >= 30);
  // Something is known of every query that was seen recently.
  for (const std::string& id : ordinary) {
    auto found = f.FindById(id);
    REQUIRE((!found.traces.empty() || !found.occurrences.empty() || found.occurrences_since_s > 0));
  }
}

TEST_CASE("a query that was evicted is reported as seen") {
  Fixture f;
  f.RecordQuery("evicted", 0);
  // All in one second, so that every query is equally likely to be evicted.
  for (int i = 0; i < 20'000; ++i) {
    f.RecordQuery("other-" + std::to_string(i), 0);
    f.recorder.Flush();
    if (i % 100 == 0 && f.FindById("evicted").traces.empty()) break;
  }
  auto found = f.FindById("evicted");
  REQUIRE(found.traces.empty());
  REQUIRE(found.occurrences.size() == 1);
  decision_log::Filter filter;
  filter.id = "evicted";
  CHECK(Render(found, filter, false).find("evicted was seen but is no longer in the record: whole at") == 0);
  auto last_minute = decision_log::Reader(f.recorder.record_file()).Summarize().last_minute;
  CHECK(last_minute[decision_log::CounterOf(decision_log::RetentionGroup::kOrdinary)] > 0);
}

TEST_CASE("open queries beyond the capacity of the record are counted, and those in it stay complete") {
  Fixture f(kRecordBytes);
  std::vector<std::uint32_t> open;
  open.reserve(6000);
  for (int i = 0; i < 6000; ++i) open.push_back(f.Open("open-" + std::to_string(i), 0));
  f.recorder.Flush();
  auto summary = decision_log::Reader(f.recorder.record_file()).Summarize();
  CHECK(summary.totals[decision_log::CounterOf(decision_log::RecordLoss::kNoSpace)] > 0);
  CHECK(summary.blocks_used == summary.blocks);
  for (std::uint32_t query : open) f.End(query, Verdict::kComplete);
  auto found = f.FindById("open-0");
  REQUIRE(found.traces.size() == 1);
  CHECK(found.traces[0].verdict == Verdict::kComplete);
}

TEST_CASE("a flood of rejections at intake is counted, and recorded only at a limited rate") {
  Fixture f;
  f.RecordQuery("mine", 1, Verdict::kRejected, CompletionCause::kLoad);
  decision_log::FrontEvent event;
  event.intake = IntakeResult::kMalformed;
  event.status = 400;
  event.SetId("bad");
  std::size_t posted = 0;
  for (int i = 0; i < 10'000; ++i) {
    event.at_us = f.now_us;
    f.recorder.Post(event);
    ++posted;
    if (i % 100 == 99) f.recorder.Flush();
  }
  f.recorder.Flush();
  auto summary = decision_log::Reader(f.recorder.record_file()).Summarize();
  std::size_t counted = summary.totals[decision_log::CounterOf(IntakeResult::kMalformed)] +
                        summary.totals[decision_log::CounterOf(decision_log::RecordLoss::kQueueFull)];
  CHECK(counted == posted);
  CHECK(f.FindById("bad").traces.size() <= 40);
  CHECK(f.FindById("mine").traces.size() == 1);
  // Events that find the queue full are counted.
  for (int i = 0; i < 1000; ++i) f.recorder.Post(event);
  f.recorder.Flush();
  summary = decision_log::Reader(f.recorder.record_file()).Summarize();
  CHECK(summary.totals[decision_log::CounterOf(decision_log::RecordLoss::kQueueFull)] == 1000 - 256);
}

TEST_CASE("the record of a killed program can be read, and damage is skipped and counted, or reported") {
  test_support::TemporaryDirectory temporary_directory;
  const std::string& directory = temporary_directory.path();
  const std::string path = directory + "/why.record";
  {
    Fixture f(kRecordBytes, path);
    for (int i = 0; i < 100; ++i) f.RecordQuery("q-" + std::to_string(i), 0);
    f.recorder.Flush();
    f.Open("midway", 0);  // not flushed, as if the program was killed during a round
  }
  decision_log::Filter all;
  all.limit = 500;
  {
    decision_log::RecordFile left_record = decision_log::RecordFile::Open(path);
    auto found = ReadAll(left_record, all);
    CHECK(found.traces.size() == 100);
    CHECK(found.busy_blocks == 1);
    CHECK(decision_log::Reader(left_record).origin().name == "n1");
  }
  auto layout = decision_log::Layout::Of(std::filesystem::file_size(path));
  auto patch = [&](std::size_t at, char byte) {
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(at));
    file.put(byte);
  };
  patch(layout.block_start * 8 + 100, 'x');  // in the first block's events
  {
    decision_log::RecordFile left_record = decision_log::RecordFile::Open(path);
    auto found = ReadAll(left_record, all);
    CHECK(found.traces.size() == 99);
    CHECK(found.torn_blocks == 1);
  }
  std::filesystem::copy_file(path, path + ".short");
  std::filesystem::resize_file(path + ".short", 300'000);
  CHECK(ErrorOf(path + ".short").find("truncated: 300000 of") != std::string::npos);
  std::filesystem::resize_file(path + ".short", 100);
  CHECK(ErrorOf(path + ".short").find("truncated: 100 bytes") != std::string::npos);
  std::ofstream(path + ".long", std::ios::binary) << std::ifstream(path, std::ios::binary).rdbuf() << "more";
  CHECK(ErrorOf(path + ".long").find("wrong size") != std::string::npos);
  CHECK(ErrorOf(directory).find("not a regular file") != std::string::npos);
  CHECK(ErrorOf(path + ".none").find("cannot be opened") != std::string::npos);
  patch(8, 9);
  CHECK(ErrorOf(path).find("format version 9; this program reads version 2") != std::string::npos);
  patch(0, 'x');
  CHECK(ErrorOf(path).find("not a decision log") != std::string::npos);
  {
    Fixture restarted(kRecordBytes, path);  // a restart keeps the file of the killed program
    CHECK(std::filesystem::exists(path + ".old"));
  }
}

TEST_CASE("readers see complete queries or none during concurrent writes") {
  Fixture f(kRecordBytes);
  std::atomic<bool> done{false};
  std::atomic<std::size_t> read{0}, wrong{0};
  std::vector<std::thread> readers;
  readers.reserve(2);
  for (int i = 0; i < 2; ++i) {
    readers.emplace_back([&] {
      while (!done) {
        decision_log::Filter filter;
        filter.limit = 200;
        for (const decision_log::QueryTrace& trace : ReadAll(f.recorder.record_file(), filter).traces) {
          ++read;
          bool ended = trace.verdict == Verdict::kComplete;
          bool all = trace.shard_requests.size() == 2 && trace.shard_requests[0].attempts.size() == 1 &&
                     trace.shard_requests[1].attempts.size() == 1;
          if (!trace.torn && ended && !all) ++wrong;
        }
      }
    });
  }
  for (int i = 0; i < 30'000 || read < 1000; ++i) {
    f.Advance(1000);
    f.RecordQuery("q-" + std::to_string(i), i % 3);
    f.recorder.Flush();
  }
  done = true;
  for (std::thread& reader : readers) reader.join();
  CHECK(read >= 1000);
  CHECK(wrong == 0);
}

TEST_CASE("no query is lost when the clock steps back") {
  Fixture f;
  f.RecordQuery("first", 0);
  f.now_us -= 3600 * kSecondUs;
  f.recorder.SetTime(f.now_us);
  std::uint32_t query = f.Open("second", 0);
  f.now_us -= kSecondUs;
  f.recorder.SetTime(f.now_us);
  f.End(query, Verdict::kComplete);
  CHECK(f.FindById("first").traces.size() == 1);
  REQUIRE(f.FindById("second").traces.size() == 1);
  CHECK(f.FindById("second").traces[0].ended_us == 0);
}

TEST_CASE("property: retention keeps its sums of blocks, and evicts only queries that it holds") {
  bool ok = rc::check("random keeps, grows and evictions", [] {
    decision_log::RetentionPolicy retention(400, *rc::gen::arbitrary<std::uint64_t>());
    std::map<std::uint32_t, std::pair<std::size_t, std::uint32_t>> kept;  // by entry: stratum and blocks
    std::set<std::uint32_t> free;
    for (std::uint32_t i = 0; i < 400; ++i) free.insert(i);
    std::int64_t now_us = 0;
    int steps = *rc::gen::inRange(1, 3000);
    std::uint64_t random_state = *rc::gen::arbitrary<std::uint64_t>() | 1;
    auto random_below = [&random_state](std::uint64_t limit) {
      random_state ^= random_state << 13;
      random_state ^= random_state >> 7;
      random_state ^= random_state << 17;
      return random_state % limit;
    };
    for (int step = 0; step < steps; ++step) {
      now_us += static_cast<std::int64_t>(random_below(3'000'000));
      if (random_below(10) == 0 && !kept.empty()) {
        auto one = std::next(kept.begin(), static_cast<std::ptrdiff_t>(random_below(kept.size())));
        retention.Grow(one->first);
        ++one->second.second;
        continue;
      }
      if (free.empty()) {
        auto evicted = retention.NextEviction(now_us);
        RC_ASSERT(evicted.has_value());
        RC_ASSERT(kept.contains(*evicted));
        // Does not check that the evicted query comes from the stratum furthest over its share.
        retention.Drop(*evicted);
        free.insert(*evicted);
        kept.erase(*evicted);
      }
      std::uint32_t entry = *free.begin();
      free.erase(free.begin());
      auto stratum = static_cast<std::size_t>(random_below(4) == 0 ? random_below(decision_log::kStrata)
                                                                   : 6 * decision_log::kClassStrata);
      auto blocks = static_cast<std::uint32_t>(1 + random_below(4));
      retention.Keep(entry, stratum, now_us, blocks);
      kept[entry] = {stratum, blocks};
    }
    std::vector<std::uint64_t> sums(decision_log::kStrata);
    for (const auto& [entry, what] : kept) sums[what.first] += what.second;
    for (std::size_t s = 0; s < decision_log::kStrata; ++s) RC_ASSERT(retention.Blocks(s) == sums[s]);
    while (auto evicted = retention.NextEviction(now_us)) {
      RC_ASSERT(kept.erase(*evicted) == 1);
      retention.Drop(*evicted);
    }
    RC_ASSERT(kept.empty());
  });
  CHECK(ok);
}

TEST_CASE("invalid questions get an error that names the parameter") {
  auto wrong = [](const decision_log::Parameters& parameters) {
    auto question = decision_log::ParseQuestion(parameters, kStartUs);
    return question ? "" : question.error().message;
  };
  CHECK(wrong({{"verdict", "great"}}).find("verdict: 'great' is none of") == 0);
  CHECK(wrong({{"reason", "x\n"}}).find("reason: 'x\\x0a'") == 0);
  CHECK(wrong({{"limit", "0"}}).find("limit:") == 0);
  CHECK(wrong({{"limit", "1e9"}}).find("limit:") == 0);
  CHECK(wrong({{"since", "2026-13-01T00:00:00Z"}}).find("since:") == 0);
  CHECK(wrong({{"id", ""}}).find("id:") == 0);
  auto question =
      decision_log::ParseQuestion({{"since", "2023-11-14T22:13:20.5Z"}, {"until", "-90"}}, kStartUs);
  REQUIRE(question.has_value());
  CHECK(question->filter.from_us == kStartUs + kSecondUs / 2);
  CHECK(question->filter.to_us == kStartUs - 90 * kSecondUs);
}

TEST_CASE("the explain service limits how often it reads") {
  Fixture f;
  std::int64_t now_us = kStartUs;
  int refreshed = 0;
  decision_log::ExplainService explain_service(
      f.recorder.record_file(), [&] { ++refreshed; }, [&] { return now_us; });
  int answered = 0;
  for (int i = 0; i < 50; ++i) answered += explain_service.Ask({{"summary", "1"}}).status == 200 ? 1 : 0;
  CHECK(answered == 10);
  CHECK(refreshed == 10);
  CHECK(explain_service.Ask({}).retry_after_us > 0);
  now_us += kSecondUs;
  CHECK(explain_service.Ask({}).status == 200);
}
