// The decision record: what it keeps, what it evicts, and what it says of damaged files. No program, no
// socket.
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

constexpr std::size_t kBytes = 1024 * 1024;  // the least that the configuration takes

constexpr std::int64_t kSecond = 1'000'000;
constexpr std::int64_t kStart = 1'700'000'000 * kSecond;
const decision_log::RecordOrigin kOrigin{"n1", kStart, {"teacher-search", "term-report", "book-lesson"}};

struct Fixture {
  explicit Fixture(std::size_t bytes = kBytes, const std::string& path = "")
      : record(bytes, path, kOrigin, 7) {
    record.SetTime(now);
    for (std::uint32_t endpoint = 1; endpoint <= 3; ++endpoint) {
      record.NameEndpoint(endpoint, "s-" + std::to_string(endpoint),
                          "127.0.0.1:" + std::to_string(9000 + endpoint));
    }
  }

  void Advance(std::int64_t us) {
    now += us;
    record.SetTime(now);
  }

  std::uint32_t Open(const std::string& id, int class_index, int shard_requests = 2,
                     const std::string& label = "") {
    std::uint32_t query = next;
    next += static_cast<std::uint32_t>(shard_requests) + 1;
    std::vector<decision_log::RecordedShardRequest> recorded(static_cast<std::size_t>(shard_requests),
                                                             {3, 1.0 / shard_requests, 0});
    record.Opened(
        {query, now, now + 4 * kSecond, class_index, decision_log::FrontKind::kPlatform, false, id, label},
        recorded);
    return query;
  }
  void Send(std::uint32_t query, int shard_request, int attempt, std::uint32_t endpoint,
            liftrudder::routing::DispatchKind kind = liftrudder::routing::DispatchKind::kFirst,
            AttemptOutcome after = AttemptOutcome::kOk) {
    liftrudder::routing::Send send{0, {endpoint, 1}, kSecond, {kind, after, {}}};
    send.reason.choice.count = 2;
    send.reason.choice.endpoints[0] = {{endpoint, 1}, 1, liftrudder::routing::Eligibility::kEligible, true};
    send.reason.choice.endpoints[1] = {
        {endpoint % 3 + 1, 1}, 0, liftrudder::routing::Eligibility::kOutlier, false};
    record.Sent(query, shard_request, attempt, send);
  }
  void End(std::uint32_t query, Verdict verdict, CompletionCause cause = CompletionCause::kComplete) {
    record.Completed(query, {verdict, {cause, 1, 1, {}}, IntakeResult::kNone, 0, 2});
  }
  void Whole(const std::string& id, int class_index, Verdict verdict = Verdict::kComplete,
             CompletionCause cause = CompletionCause::kComplete) {
    std::uint32_t query = Open(id, class_index);
    for (int shard_request = 0; shard_request < 2; ++shard_request) {
      Send(query, shard_request, 0, 1);
      record.Ended(query, shard_request, 0, 1, AttemptOutcome::kOk, decision_log::Progress::kAnswering,
                   decision_log::Cause::kServed);
    }
    End(query, verdict, cause);
  }
  ReadResult Find(const std::string& id) {
    record.Flush();
    decision_log::Filter filter;
    filter.id = id;
    return ReadAll(record.record_file(), filter);
  }

  std::int64_t now = kStart;
  std::uint32_t next = 1;
  Recorder record;
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
  f.record.Ended(query, 0, 0, 1, AttemptOutcome::kOverloaded, decision_log::Progress::kAnswering,
                 decision_log::Cause::kEndpointRejected);
  f.Send(query, 0, 1, 2, liftrudder::routing::DispatchKind::kRetry, AttemptOutcome::kOverloaded);
  f.Advance(10'000);
  f.record.Ended(query, 0, 1, 2, AttemptOutcome::kReset, decision_log::Progress::kWhollyWritten,
                 decision_log::Cause::kConnectionLost);
  f.Send(query, 0, 2, 3, liftrudder::routing::DispatchKind::kRetry, AttemptOutcome::kReset);
  f.Send(query, 1, 1, 3, liftrudder::routing::DispatchKind::kStragglerHedge);
  f.record.Ended(query, 0, 2, 3, AttemptOutcome::kOk, decision_log::Progress::kAnswering,
                 decision_log::Cause::kServed);
  f.record.Ended(query, 1, 1, 3, AttemptOutcome::kOk, decision_log::Progress::kAnswering,
                 decision_log::Cause::kServed);
  f.record.Cancelled(query, 1, {0, 0, liftrudder::routing::CancelReason::kAnswered});
  f.End(query, Verdict::kComplete);
  f.Advance(10'000);
  f.record.Ended(query, 1, 0, 2, AttemptOutcome::kCancelled, decision_log::Progress::kWhollyWritten,
                 decision_log::Cause::kCancelled);
  auto found = f.Find("q-1");
  REQUIRE(found.traces.size() == 1);
  const decision_log::QueryTrace& trace = found.traces[0];
  CHECK(trace.class_name == "term-report");
  REQUIRE(trace.shard_requests.size() == 2);
  REQUIRE(trace.shard_requests[0].attempts.size() == 3);
  REQUIRE(trace.shard_requests[1].attempts.size() == 2);
  CHECK(trace.shard_requests[0].attempts[1].endpoint.id == "s-2");
  CHECK(trace.shard_requests[0].attempts[1].outcome == AttemptOutcome::kReset);
  CHECK(trace.shard_requests[0].attempts[2].after == AttemptOutcome::kReset);
  CHECK(trace.shard_requests[1].attempts[0].ended_us == 30'000);
  CHECK(trace.shard_requests[1].attempts[0].cause == decision_log::Cause::kCancelled);
  std::string text = decision_log::TextOf(trace);
  CHECK(text.find("was retried, since the attempt before lost its connection, at s-3") != std::string::npos);
  CHECK(text.find("the connection was lost after the request was written, so it may have run") !=
        std::string::npos);
  CHECK(text.find("(after the query's end)") != std::string::npos);
}

TEST_CASE("what a hostile client chose as an id is bounded and escaped, and still found") {
  Fixture f;
  std::string longest(5000, 'x'), odd("q\xff\x00\n\"\\", 6);
  f.Whole(longest, 0);
  f.Whole(odd, 0);
  f.Whole(odd, 0);
  auto found = f.Find(longest);
  REQUIRE(found.traces.size() == 1);
  CHECK(found.traces[0].call_id.size() == decision_log::kMaxIdBytes);
  CHECK(found.traces[0].id_cut);
  found = f.Find(odd);
  CHECK(found.traces.size() == 2);  // the same id twice: both are given
  decision_log::Filter filter;
  filter.id = odd;
  std::string json = Render(found, filter, true);
  CHECK(json.find(R"(q\\xff\\x00\\x0a\"\\x5c)") != std::string::npos);
  CHECK(std::ranges::all_of(json, [](char c) { return c >= ' ' && c < 0x7f; }));
}

TEST_CASE(
    "a client's own label finds its queries, kept or not, and an id used for ever is given a few times") {
  Fixture f;
  std::string label = "week-1 " + std::string(200, 'x');
  std::uint32_t query = f.Open("s1", 0, 2, label.substr(0, decision_log::kMaxIdBytes));
  f.End(query, Verdict::kComplete);
  REQUIRE(f.Find(label).traces.size() == 1);
  CHECK(f.Find(label).traces[0].call_id == "s1");
  for (int i = 0; i < 20'000; ++i) {
    f.Whole("same", 0);
    f.record.Flush();
    if (i % 100 == 0 && f.Find(label).traces.empty()) break;
  }
  CHECK(f.Find(label).traces.empty());
  REQUIRE(f.Find(label).occurrences.size() == 1);
  CHECK(f.Find(label).occurrences[0].verdict == Verdict::kComplete);
  CHECK(f.Find("same").occurrences.size() == decision_log::kMaxOccurrences);
}

TEST_CASE("a reading holds one query at a time, however many fit") {
  Fixture f(4 * 1024 * 1024);
  std::uint32_t wide = f.Open("wide", 0, 1000);
  for (int shard_request = 0; shard_request < 1000; ++shard_request) f.Send(wide, shard_request, 0, 1);
  f.End(wide, Verdict::kPartial, CompletionCause::kLatencyObjective);
  for (int i = 0; i < 8000; ++i) f.Whole("q-" + std::to_string(i), i % 3);
  f.record.Flush();
  for (bool json : {false, true}) {
    decision_log::Question question;
    question.filter.limit = 500;
    question.json = json;
    test_support::ForgetMost();
    std::size_t before = test_support::BytesHeld();
    CHECK(decision_log::AnswerFrom(f.record.record_file(), question).body.size() > 100'000);
    // The reply, which doubles as it grows, and one query of the largest kind, unpacked.
    if (test_support::kCounted) {
      CHECK(test_support::MostBytesHeld() - before < 3 * decision_log::kMaxReplyBytes);
    }
    question.filter.id = "wide";
    test_support::ForgetMost();
    CHECK(decision_log::AnswerFrom(f.record.record_file(), question).status == 200);
    if (test_support::kCounted) CHECK(test_support::MostBytesHeld() - before < 8 * 1024 * 1024);
  }
}

TEST_CASE("property: no words that a block may hold end the reader") {
  test_support::TemporaryDirectory directory;
  const std::string path = directory.path() + "/why.record";
  { Fixture f(kBytes, path); }
  decision_log::RecordFile record_file = decision_log::RecordFile::Open(path);
  bool ok = rc::check("random events", [&record_file] {
    std::size_t at = record_file.layout().block_start;
    record_file.BeginCell(at);
    auto used = *rc::gen::inRange<std::uint64_t>(0, 40);
    record_file.Store(at + 1, 1 | used << 48);
    record_file.Store(at + 2, *rc::gen::element<std::uint64_t>(decision_log::kNoBlock, 0, 5));
    for (std::size_t i = 3; i < decision_log::kBlockWords; ++i) {
      auto word = *rc::gen::arbitrary<std::uint64_t>();
      // Most begin as events do.
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
    "one query of very many shard requests holds its share and no more, and says that events are missing") {
  Fixture f;
  std::uint32_t query = f.Open("wide", 0, 1000);
  for (int shard_request = 0; shard_request < 1000; ++shard_request) f.Send(query, shard_request, 0, 1);
  f.End(query, Verdict::kPartial, CompletionCause::kLatencyObjective);
  auto found = f.Find("wide");
  REQUIRE(found.traces.size() == 1);
  CHECK(found.traces[0].events_dropped);
  CHECK(found.traces[0].verdict == Verdict::kPartial);
  CHECK(decision_log::Reader(f.record.record_file()).Summarize().blocks_used <=
        f.record.record_file().layout().blocks / 16);
}

TEST_CASE("no allocation a query once running, and the bytes claimed stay the same") {
  Fixture f;
  std::vector<std::string> ids;
  ids.reserve(20'000);
  for (int i = 0; i < 20'000; ++i) ids.push_back("query-" + std::to_string(i));
  std::vector<decision_log::RecordedShardRequest> shard_requests(6, {1, 0.1, 100});
  std::size_t claimed = f.record.ClaimedBytes();
  std::size_t before = test_support::Allocations();
  for (int i = 0; i < 20'000; ++i) {
    f.Advance(7'000);
    std::uint32_t query = f.next;
    f.next += 7;
    f.record.Opened({query, f.now, f.now + kSecond, i % 3, decision_log::FrontKind::kPlatform, false,
                     ids[static_cast<std::size_t>(i)], ""},
                    shard_requests);
    for (int shard_request = 0; shard_request < 6; ++shard_request) f.Send(query, shard_request, 0, 1);
    for (int shard_request = 0; shard_request < 6; ++shard_request) {
      f.record.Ended(query, shard_request, 0, 1, AttemptOutcome::kOk, decision_log::Progress::kAnswering,
                     decision_log::Cause::kServed);
    }
    f.End(query, i % 50 == 0 ? Verdict::kRejected : Verdict::kComplete);
    f.record.Flush();
  }
  if (test_support::kCounted) {
    CHECK(before > 0);  // they are counted at all
    CHECK(test_support::Allocations() == before);
  }
  CHECK(f.record.ClaimedBytes() == claimed);
  CHECK(claimed <= kBytes);
  CHECK(claimed > 400 * 1024);  // and it uses what it is given
}

TEST_CASE("a burst does not push out what people ask about") {
  Fixture f;
  // A minute at 20 queries a second with a rejection every two seconds, then 8 s of 36 a second, half of them
  // rejected.
  std::set<std::string> reports, ordinary;
  for (int i = 0; i < 1200; ++i) {
    f.Advance(50'000);
    std::string id = "before-" + std::to_string(i);
    if (i % 80 == 0) {
      f.Whole(id, 1, i % 160 == 0 ? Verdict::kRejected : Verdict::kPartial, CompletionCause::kLoad);
      reports.insert(id);
    } else {
      f.Whole(id, i % 3);
      ordinary.insert(id);
    }
    f.record.Flush();
  }
  std::size_t ordinary_before = 0;
  for (const std::string& id : ordinary) ordinary_before += f.Find(id).traces.size();
  for (int burst = 0; burst < 20; ++burst) {  // 20 such bursts: no room is left by the first
    for (int i = 0; i < 8 * 36; ++i) {
      f.Advance(27'000);
      bool rejected = i % 2 == 0;
      f.Whole("burst-" + std::to_string(burst) + "-" + std::to_string(i), i % 3,
              rejected ? Verdict::kRejected : Verdict::kComplete,
              rejected ? CompletionCause::kLoad : CompletionCause::kComplete);
      f.record.Flush();
    }
  }
  std::size_t kept = 0;
  for (const std::string& id : reports) kept += f.Find(id).traces.size();
  INFO("rejected or partial reports kept: " << kept << " of " << reports.size());
  CHECK(kept >= reports.size() * 2 / 3);
  std::size_t sample = 0;
  for (const std::string& id : ordinary) sample += f.Find(id).traces.size();
  INFO("ordinary ones kept: " << sample << " of " << ordinary_before << " before");
  CHECK(sample >= 30);
  // Of every query that was seen lately something is known.
  for (const std::string& id : ordinary) {
    auto found = f.Find(id);
    REQUIRE((!found.traces.empty() || !found.occurrences.empty() || found.occurrences_since_s > 0));
  }
}

TEST_CASE("a query that was evicted is said to have been seen") {
  Fixture f;
  f.Whole("evicted", 0);
  for (int i = 0; i < 20'000; ++i) {  // all in one second, so that it is as likely to be evicted as any
    f.Whole("other-" + std::to_string(i), 0);
    f.record.Flush();
    if (i % 100 == 0 && f.Find("evicted").traces.empty()) break;
  }
  auto found = f.Find("evicted");
  REQUIRE(found.traces.empty());
  REQUIRE(found.occurrences.size() == 1);
  decision_log::Filter filter;
  filter.id = "evicted";
  CHECK(Render(found, filter, false).find("evicted was seen but is no longer in the record: whole at") == 0);
  auto last_minute = decision_log::Reader(f.record.record_file()).Summarize().last_minute;
  CHECK(last_minute[decision_log::CounterOf(decision_log::RetentionGroup::kOrdinary)] > 0);
}

TEST_CASE("more open queries than the record holds: the others are counted, those in it stay whole") {
  Fixture f(kBytes);
  std::vector<std::uint32_t> open;
  open.reserve(6000);
  for (int i = 0; i < 6000; ++i) open.push_back(f.Open("open-" + std::to_string(i), 0));
  f.record.Flush();
  auto summary = decision_log::Reader(f.record.record_file()).Summarize();
  CHECK(summary.totals[decision_log::CounterOf(decision_log::RecordLoss::kNoSpace)] > 0);
  CHECK(summary.blocks_used == summary.blocks);
  for (std::uint32_t query : open) f.End(query, Verdict::kComplete);
  auto found = f.Find("open-0");
  REQUIRE(found.traces.size() == 1);
  CHECK(found.traces[0].verdict == Verdict::kComplete);
}

TEST_CASE("a flood of rejections at intake is counted, and only so much of it is recorded") {
  Fixture f;
  f.Whole("mine", 1, Verdict::kRejected, CompletionCause::kLoad);
  decision_log::FrontEvent event;
  event.intake = IntakeResult::kMalformed;
  event.status = 400;
  event.SetId("bad");
  std::size_t posted = 0;
  for (int i = 0; i < 10'000; ++i) {
    event.at_us = f.now;
    f.record.Post(event);
    ++posted;
    if (i % 100 == 99) f.record.Flush();
  }
  f.record.Flush();
  auto summary = decision_log::Reader(f.record.record_file()).Summarize();
  std::size_t counted = summary.totals[decision_log::CounterOf(IntakeResult::kMalformed)] +
                        summary.totals[decision_log::CounterOf(decision_log::RecordLoss::kQueueFull)];
  CHECK(counted == posted);
  CHECK(f.Find("bad").traces.size() <= 40);
  CHECK(f.Find("mine").traces.size() == 1);
  // What finds the queue full is counted.
  for (int i = 0; i < 1000; ++i) f.record.Post(event);
  f.record.Flush();
  summary = decision_log::Reader(f.record.record_file()).Summarize();
  CHECK(summary.totals[decision_log::CounterOf(decision_log::RecordLoss::kQueueFull)] == 1000 - 256);
}

TEST_CASE("what a killed program left can be read; damage is skipped and counted, or named") {
  test_support::TemporaryDirectory own;
  const std::string& directory = own.path();
  const std::string path = directory + "/why.record";
  {
    Fixture f(kBytes, path);
    for (int i = 0; i < 100; ++i) f.Whole("q-" + std::to_string(i), 0);
    f.record.Flush();
    f.Open("midway", 0);  // not flushed: as if killed in the middle of a round
  }
  decision_log::Filter all;
  all.limit = 500;
  {
    decision_log::RecordFile left = decision_log::RecordFile::Open(path);
    auto found = ReadAll(left, all);
    CHECK(found.traces.size() == 100);
    CHECK(found.busy_blocks == 1);
    CHECK(decision_log::Reader(left).origin().name == "n1");
  }
  auto layout = decision_log::Layout::Of(std::filesystem::file_size(path));
  auto patch = [&](std::size_t at, char byte) {
    std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(at));
    file.put(byte);
  };
  patch(layout.block_start * 8 + 100, 'x');  // in the first block's events
  {
    decision_log::RecordFile left = decision_log::RecordFile::Open(path);
    auto found = ReadAll(left, all);
    CHECK(found.traces.size() == 99);
    CHECK(found.torn_blocks == 1);
  }
  std::filesystem::copy_file(path, path + ".short");
  std::filesystem::resize_file(path + ".short", 300'000);
  CHECK(ErrorOf(path + ".short").find("cut short: 300000 of") != std::string::npos);
  std::filesystem::resize_file(path + ".short", 100);
  CHECK(ErrorOf(path + ".short").find("cut short: 100 bytes") != std::string::npos);
  std::ofstream(path + ".long", std::ios::binary) << std::ifstream(path, std::ios::binary).rdbuf() << "more";
  CHECK(ErrorOf(path + ".long").find("of another size") != std::string::npos);
  CHECK(ErrorOf(directory).find("not a file") != std::string::npos);
  CHECK(ErrorOf(path + ".none").find("cannot be opened") != std::string::npos);
  patch(8, 9);
  CHECK(ErrorOf(path).find("of version 9; this program reads version 2") != std::string::npos);
  patch(0, 'x');
  CHECK(ErrorOf(path).find("not a record of decisions") != std::string::npos);
  {
    Fixture again(kBytes, path);  // a restart keeps what the kill left
    CHECK(std::filesystem::exists(path + ".old"));
  }
}

TEST_CASE("readers see whole queries or none while the writer goes on") {
  Fixture f(kBytes);
  std::atomic<bool> done{false};
  std::atomic<std::size_t> read{0}, wrong{0};
  std::vector<std::thread> readers;
  readers.reserve(2);
  for (int i = 0; i < 2; ++i) {
    readers.emplace_back([&] {
      while (!done) {
        decision_log::Filter filter;
        filter.limit = 200;
        for (const decision_log::QueryTrace& trace : ReadAll(f.record.record_file(), filter).traces) {
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
    f.Whole("q-" + std::to_string(i), i % 3);
    f.record.Flush();
  }
  done = true;
  for (std::thread& reader : readers) reader.join();
  CHECK(read >= 1000);
  CHECK(wrong == 0);
}

TEST_CASE("a clock that steps back loses nothing") {
  Fixture f;
  f.Whole("first", 0);
  f.now -= 3600 * kSecond;
  f.record.SetTime(f.now);
  std::uint32_t query = f.Open("second", 0);
  f.now -= kSecond;
  f.record.SetTime(f.now);
  f.End(query, Verdict::kComplete);
  CHECK(f.Find("first").traces.size() == 1);
  REQUIRE(f.Find("second").traces.size() == 1);
  CHECK(f.Find("second").traces[0].ended_us == 0);
}

TEST_CASE("property: retention keeps its sums, and only what is over its share is evicted") {
  bool ok = rc::check("random keeps, grows and evictions", [] {
    decision_log::RetentionPolicy retention(400, *rc::gen::arbitrary<std::uint64_t>());
    std::map<std::uint32_t, std::pair<std::size_t, std::uint32_t>> kept;  // entry: stratum, blocks
    std::set<std::uint32_t> free;
    for (std::uint32_t i = 0; i < 400; ++i) free.insert(i);
    std::int64_t now = 0;
    int steps = *rc::gen::inRange(1, 3000);
    std::uint64_t dice = *rc::gen::arbitrary<std::uint64_t>() | 1;
    auto next = [&dice](std::uint64_t most) {
      dice ^= dice << 13;
      dice ^= dice >> 7;
      dice ^= dice << 17;
      return dice % most;
    };
    for (int step = 0; step < steps; ++step) {
      now += static_cast<std::int64_t>(next(3'000'000));
      if (next(10) == 0 && !kept.empty()) {
        auto one = std::next(kept.begin(), static_cast<std::ptrdiff_t>(next(kept.size())));
        retention.Grow(one->first);
        ++one->second.second;
        continue;
      }
      if (free.empty()) {
        auto evicted = retention.NextEviction(now);
        RC_ASSERT(evicted.has_value());
        RC_ASSERT(kept.contains(*evicted));
        // A stratum that holds one query alone is evicted only where no other holds more for its share.
        retention.Drop(*evicted);
        free.insert(*evicted);
        kept.erase(*evicted);
      }
      std::uint32_t entry = *free.begin();
      free.erase(free.begin());
      auto stratum = static_cast<std::size_t>(next(4) == 0 ? next(decision_log::kStrata)
                                                           : 6 * decision_log::kClassStrata);
      auto blocks = static_cast<std::uint32_t>(1 + next(4));
      retention.Keep(entry, stratum, now, blocks);
      kept[entry] = {stratum, blocks};
    }
    std::vector<std::uint64_t> sums(decision_log::kStrata);
    for (const auto& [entry, what] : kept) sums[what.first] += what.second;
    for (std::size_t s = 0; s < decision_log::kStrata; ++s) RC_ASSERT(retention.Blocks(s) == sums[s]);
    while (auto evicted = retention.NextEviction(now)) {
      RC_ASSERT(kept.erase(*evicted) == 1);
      retention.Drop(*evicted);
    }
    RC_ASSERT(kept.empty());
  });
  CHECK(ok);
}

TEST_CASE("questions that cannot be read are answered with what is wrong") {
  auto wrong = [](const decision_log::Parameters& parameters) {
    auto question = decision_log::ReadQuestion(parameters, kStart);
    return question ? "" : question.error().message;
  };
  CHECK(wrong({{"verdict", "great"}}).find("verdict: 'great' is none of") == 0);
  CHECK(wrong({{"reason", "x\n"}}).find("reason: 'x\\x0a'") == 0);
  CHECK(wrong({{"limit", "0"}}).find("limit:") == 0);
  CHECK(wrong({{"limit", "1e9"}}).find("limit:") == 0);
  CHECK(wrong({{"since", "2026-13-01T00:00:00Z"}}).find("since:") == 0);
  CHECK(wrong({{"id", ""}}).find("id:") == 0);
  auto question = decision_log::ReadQuestion({{"since", "2023-11-14T22:13:20.5Z"}, {"until", "-90"}}, kStart);
  REQUIRE(question.has_value());
  CHECK(question->filter.from_us == kStart + kSecond / 2);
  CHECK(question->filter.to_us == kStart - 90 * kSecond);
}

TEST_CASE("the explain service bounds how often it reads") {
  Fixture f;
  std::int64_t now = kStart;
  int refreshed = 0;
  decision_log::ExplainService explain_service(
      f.record.record_file(), [&] { ++refreshed; }, [&] { return now; });
  int answered = 0;
  for (int i = 0; i < 50; ++i) answered += explain_service.Ask({{"summary", "1"}}).status == 200 ? 1 : 0;
  CHECK(answered == 10);
  CHECK(refreshed == 10);
  CHECK(explain_service.Ask({}).retry_after_us > 0);
  now += kSecond;
  CHECK(explain_service.Ask({}).status == 200);
}
