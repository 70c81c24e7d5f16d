#include "decision_log/recorder.h"

#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace liftrudder::decision_log {
namespace {

constexpr std::size_t kQueueCapacity = 256;         // events from the fronts
constexpr int kWakeThreshold = kQueueCapacity / 2;  // the coordinator is woken at this many queued events
constexpr double kIntakeRate = 20;                  // rejections at intake recorded per second on average
constexpr double kIntakeBurst = 40;
constexpr int kMaxClassIndex = 255;

// Bytes allocated in addition to a record of `blocks` blocks.
std::size_t BytesBesideRecord(std::size_t blocks) {
  return QueryStore::BytesFor(blocks) + kQueueCapacity * EventQueue::BytesPerEvent();
}

// The size of the largest record that fits into `bytes` together with the memory beside it; at least
// kMinRecordBytes.
std::size_t RecordBytesWithin(std::size_t bytes) {
  constexpr std::size_t kStep = 4096;
  std::size_t low = kMinRecordBytes / kStep;
  std::size_t high = std::max(bytes, kMinRecordBytes) / kStep;
  while (low < high) {
    std::size_t middle = (low + high + 1) / 2;
    Layout layout = Layout::Of(middle * kStep);
    if (layout.bytes + BytesBesideRecord(layout.blocks) <= bytes) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low * kStep;
}

RecordFile MakeRecordFile(std::size_t bytes, const std::string& path, const RecordOrigin& origin) {
  std::size_t record_bytes = RecordBytesWithin(bytes);
  return path.empty() ? RecordFile::InMemory(record_bytes, origin)
                      : RecordFile::InFile(path, record_bytes, origin);
}

RetentionGroup GroupOf(const StoredQuery& query, Verdict verdict) {
  switch (verdict) {
    case Verdict::kRejected:
      return RetentionGroup::kRejected;
    case Verdict::kPartial:
      return RetentionGroup::kPartial;
    case Verdict::kFailed:
    case Verdict::kExpired:
      return RetentionGroup::kFailed;
    case Verdict::kClientDisconnected:
      return RetentionGroup::kClientDisconnected;
    case Verdict::kOpen:
    case Verdict::kComplete:
    case Verdict::kRejectedAtIntake:
      break;
  }
  return query.eventful ? RetentionGroup::kEventful : RetentionGroup::kOrdinary;
}

}  // namespace

std::uint64_t HashLabel(std::string_view label) { return HashId(label.substr(0, kMaxIdBytes)); }

std::uint64_t HashId(std::string_view id) { return XXH3_64bits(id.data(), id.size()); }

void FrontEvent::SetId(std::string_view text) {
  id_cut = text.size() > id.size();
  id_bytes = static_cast<std::uint8_t>(std::min(text.size(), id.size()));
  std::memcpy(id.data(), text.data(), id_bytes);
  id_hash = HashId(text);
}

bool Recorder::IntakeRateLimiter::Admit(std::int64_t now_us) {
  double elapsed_s = static_cast<double>(now_us - refilled_us_) / 1e6;
  tokens_ = std::min(kIntakeBurst, tokens_ + std::max(elapsed_s, 0.0) * kIntakeRate);
  refilled_us_ = now_us;
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

Recorder::Recorder(std::size_t bytes, const std::string& path, const RecordOrigin& origin, std::uint64_t seed)
    : record_file_(MakeRecordFile(bytes, path, origin)),
      counters_(record_file_),
      store_(record_file_, counters_, seed),
      queue_(kQueueCapacity) {
  allocated_bytes_ =
      record_file_.layout().bytes + store_.BytesHeld() + queue_.Capacity() * EventQueue::BytesPerEvent();
}

bool Recorder::Post(const FrontEvent& event) {
  if (!queue_.Push(event)) return true;
  return posted_events_.fetch_add(1, std::memory_order_relaxed) + 1 >= kWakeThreshold;
}

void Recorder::SetTime(std::int64_t now_us) {
  now_us_ = now_us;
  counters_.SetTime(now_us);
  store_.SetTime(now_us);
}

std::uint32_t Recorder::MicrosSinceArrival(const StoredQuery& query) const {
  return ClampMicros(now_us_ - query.arrived_us);
}

void Recorder::SetEndpointName(std::uint32_t number, std::string_view id, std::string_view address) {
  counters_.SetEndpointName(number, id, address);
}

void Recorder::RecordArrival(const RecordedQuery& query,
                             std::span<const RecordedShardRequest> shard_requests) {
  // Query numbers wrap around after 2^32: an old query with the same number is no longer found by it.
  if (StoredQuery* old = store_.Find(query.query)) store_.Unindex(*old);
  IdHashes hashes{HashId(query.call_id), query.label.empty() ? 0 : HashLabel(query.label)};
  auto class_index = static_cast<std::uint8_t>(std::clamp(query.class_index, 0, kMaxClassIndex));
  StoredQuery* stored = store_.Add(query.query, query.arrived_us);
  if (stored == nullptr) {
    counters_.AddOccurrence(hashes.id, Verdict::kOpen, class_index, 0);
    if (hashes.label != 0) counters_.AddOccurrence(hashes.label, Verdict::kOpen, class_index, 0);
    return;
  }
  stored->class_index = class_index;
  store_.Append(*stored, EncodeOpened(query, class_index, shard_requests.size(), hashes));
  std::uint8_t cut_flag = IsIdCut(query.call_id) ? kIdCutFlag : 0;
  std::uint8_t retry_flag = query.is_retry ? kRetryFlag : 0;
  store_.SetVerdict(*stored, Verdict::kOpen, 0, cut_flag | retry_flag);
  for (std::size_t i = 0; i < shard_requests.size(); ++i) {
    store_.Append(*stored, EncodeShardRequest(i, shard_requests[i]));
  }
}

void Recorder::RecordSend(std::uint32_t query, int shard_request, int attempt, const routing::Send& send) {
  bool is_retry = send.reason.kind == routing::DispatchKind::kRetry;
  counters_.AddEndpoint(send.endpoint.address, EndpointCount::kSent);
  counters_.Add(CounterOf(send.reason.kind));
  if (is_retry) counters_.Add(CounterOf(send.reason.previous_outcome));
  StoredQuery* stored = store_.Find(query);
  if (stored == nullptr) return;
  if (attempt > 0) {
    stored->eventful = true;
    if (stored->last_failed_endpoint != 0 && is_retry) {
      counters_.AddEndpoint(stored->last_failed_endpoint, EndpointCount::kRetriedAfter);
    }
  }
  store_.Append(*stored, EncodeSent(shard_request, attempt, send, MicrosSinceArrival(*stored)));
}

void Recorder::RecordAttemptEnd(std::uint32_t query, int shard_request, int attempt, std::uint32_t endpoint,
                                routing::AttemptOutcome outcome, Progress progress, Cause cause) {
  using routing::AttemptOutcome;
  StoredQuery* stored = store_.Find(query);
  if (stored == nullptr) return;
  bool failed = outcome != AttemptOutcome::kOk && outcome != AttemptOutcome::kCancelled &&
                outcome != AttemptOutcome::kNotSent;
  if (failed) stored->last_failed_endpoint = endpoint;
  store_.Append(*stored,
                EncodeEnded(shard_request, attempt, outcome, progress, cause, MicrosSinceArrival(*stored)));
}

void Recorder::RecordCancellation(std::uint32_t query, int shard_request, const routing::Cancel& cancel) {
  using routing::CancelReason;
  StoredQuery* stored = store_.Find(query);
  if (stored == nullptr) return;
  stored->eventful |=
      cancel.reason == CancelReason::kEndpointOutlier || cancel.reason == CancelReason::kDeadConnection;
  store_.Append(*stored, EncodeCancelled(shard_request, cancel, MicrosSinceArrival(*stored)));
}

void Recorder::RecordClose(const routing::Close& close) { counters_.Add(CounterOf(close.reason)); }

void Recorder::RecordPending(std::uint32_t query, int shard_request,
                             const routing::PendingShardRequest& pending) {
  using routing::PendingReason;
  counters_.Add(CounterOf(pending.reason));
  StoredQuery* stored = store_.Find(query);
  if (stored == nullptr) return;
  stored->eventful |= pending.reason != PendingReason::kCutoff && pending.reason != PendingReason::kCanary;
  store_.Append(*stored, EncodePending(shard_request, pending, MicrosSinceArrival(*stored)));
}

void Recorder::RecordCompletion(std::uint32_t query, const RecordedCompletion& completion) {
  counters_.Add(CounterOf(completion.verdict));
  counters_.Add(CounterOf(completion.reason.cause));
  if (completion.intake != IntakeResult::kNone) counters_.Add(CounterOf(completion.intake));
  StoredQuery* stored = store_.Find(query);
  if (stored == nullptr || stored->ended) return;
  stored->ended = true;
  CountEndpointsAtFault(*stored, completion);
  if (!store_.Append(*stored, EncodeCompleted(completion, MicrosSinceArrival(*stored)))) return;
  auto cause = static_cast<std::uint8_t>(completion.reason.cause);
  store_.SetVerdict(*stored, completion.verdict, cause, 0);
  store_.Retain(*stored, GroupOf(*stored, completion.verdict));
  IdHashes hashes = store_.HashesOf(*stored);
  counters_.AddOccurrence(hashes.id, completion.verdict, stored->class_index, cause);
  if (hashes.label != 0) {
    counters_.AddOccurrence(hashes.label, completion.verdict, stored->class_index, cause);
  }
}

void Recorder::CountEndpointsAtFault(const StoredQuery& query, const RecordedCompletion& completion) {
  Verdict verdict = completion.verdict;
  bool unanswered =
      verdict == Verdict::kRejected || verdict == Verdict::kFailed || verdict == Verdict::kExpired;
  std::uint32_t reason_endpoint = completion.reason.endpoint.address;
  std::uint32_t at_fault = reason_endpoint != 0 ? reason_endpoint : query.last_failed_endpoint;
  if (unanswered && at_fault != 0 && completion.reason.cause != routing::CompletionCause::kLoad) {
    counters_.AddEndpoint(at_fault, EndpointCount::kUnansweredFor);
  }
  if (verdict == Verdict::kPartial && query.last_failed_endpoint != 0) {
    counters_.AddEndpoint(query.last_failed_endpoint, EndpointCount::kMissing);
  }
}

void Recorder::Flush() {
  posted_events_.store(0, std::memory_order_relaxed);
  FrontEvent event;
  for (std::size_t i = 0; i < queue_.Capacity() && queue_.Pop(event); ++i) ProcessFrontEvent(event);
  if (std::uint64_t lost = queue_.TakeLostCount()) counters_.Add(CounterOf(RecordLoss::kQueueFull), lost);
  store_.Flush();
  flush_count_.fetch_add(1, std::memory_order_release);
}

void Recorder::ProcessFrontEvent(const FrontEvent& event) {
  if (event.intake != IntakeResult::kNone) {
    ProcessIntakeRejection(event);
    return;
  }
  StoredQuery* stored = store_.Find(event.query);
  if (stored == nullptr) return;
  store_.Append(*stored, EncodeResponse(event, ClampMicros(event.at_us - stored->arrived_us)));
}

void Recorder::ProcessIntakeRejection(const FrontEvent& event) {
  auto cause = static_cast<std::uint8_t>(event.intake);
  counters_.Add(CounterOf(event.intake));
  counters_.Add(CounterOf(Verdict::kRejectedAtIntake));
  if (event.id_bytes > 0) {
    counters_.AddOccurrence(event.id_hash, Verdict::kRejectedAtIntake, event.class_index, cause);
  }
  if (!intake_limiter_.Admit(now_us_)) {
    counters_.Add(CounterOf(RecordLoss::kIntakeRateLimit));
    return;
  }
  StoredQuery* stored = store_.Add(0, event.at_us);
  if (stored == nullptr) return;
  stored->class_index = event.class_index;
  store_.Append(*stored, EncodeIntake(event));
  store_.SetVerdict(*stored, Verdict::kRejectedAtIntake, cause, event.id_cut ? kIdCutFlag : 0);
  store_.Retain(*stored, RetentionGroup::kRejectedAtIntake);
}

}  // namespace liftrudder::decision_log
