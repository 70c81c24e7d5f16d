#include "decision_log/explain_service.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "decision_log/explain.h"

namespace liftrudder::decision_log {
namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kTooManyRequests = 429;
constexpr std::int64_t kBusyRetryUs = 500'000;
// Reading 50 queries as JSON takes about 15 ms of CPU time.
constexpr double kReadsPerSecond = 2;
constexpr double kReadBurst = 10;
// The pause between pieces of a scan, which leaves the CPU to the coordinator. A scan has about 30 ms of
// pauses per MiB, and no query waits for it.
constexpr auto kScanPause = std::chrono::milliseconds(2);

Reply AnswerWith(const Reader& reader, const Question& question) {
  Reply reply;
  reply.json = question.json;
  if (question.summary) {
    Summary summary = reader.Summarize();
    reply.body = question.json ? JsonOf(summary, reader.origin()) : TextOf(summary, reader.origin());
    return reply;
  }
  TraceRenderer renderer(question.filter, reader.origin(), question.json);
  SearchResult result =
      reader.Find(question.filter, [&renderer](const QueryTrace& trace) { return renderer.Add(trace); });
  if (question.filter.id && result.visited == 0) reply.status = kNotFound;
  reply.body = std::move(renderer).Finish(result);
  return reply;
}

}  // namespace

Reply AnswerFrom(const RecordFile& record_file, const Question& question) {
  return AnswerWith(Reader(record_file), question);
}

void ExplainService::RefillTokens(std::int64_t now_us) {
  double refill = static_cast<double>(now_us - refilled_us_) / 1e6 * kReadsPerSecond;
  tokens_ = refilled_us_ == 0 ? kReadBurst : std::min(kReadBurst, tokens_ + refill);
  refilled_us_ = now_us;
}

Reply ExplainService::Ask(const Parameters& parameters) {
  std::unique_lock lock(mutex_, std::try_to_lock);
  if (!lock) return {kTooManyRequests, false, "another question is being answered\n", kBusyRetryUs};
  std::int64_t now_us = now_();
  RefillTokens(now_us);
  if (tokens_ < 1) {
    auto retry_after_us = static_cast<std::int64_t>(1e6 / kReadsPerSecond);
    return {kTooManyRequests, false, "too many questions a second\n", retry_after_us};
  }
  auto question = ParseQuestion(parameters, now_us);
  if (!question) return {kBadRequest, false, question.error().message + "\n", 0};
  tokens_ -= 1;
  refresh_();
  return AnswerWith(Reader(record_file_, [] { std::this_thread::sleep_for(kScanPause); }), *question);
}

}  // namespace liftrudder::decision_log
