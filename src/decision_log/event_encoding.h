// Puts what happened to a query into the words of an event, as record_format.h and docs/design/why.md lay
// them out; event_decoding.h reads them back. Pure functions, any thread; nothing is allocated.
#ifndef LIFTRUDDER_DECISION_LOG_EVENT_ENCODING_H_
#define LIFTRUDDER_DECISION_LOG_EVENT_ENCODING_H_

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

#include "decision_log/counts.h"
#include "decision_log/event_queue.h"
#include "decision_log/record_format.h"
#include "routing/router.h"

namespace liftrudder::decision_log {

// A query when it is taken in.
struct RecordedQuery {
  std::uint32_t query = 0;  // its number; its shard requests are numbered from 0
  std::int64_t arrived_us = 0, deadline_us = 0;
  int class_index = 0;
  FrontKind front = FrontKind::kPlatform;
  bool is_retry = false;
  std::string_view call_id, label;  // label: the client's own name for it, where the front has such a thing
};

struct RecordedShardRequest {
  int shard = 0;
  double weight = 0;
  std::int64_t work_us = 0;
};

// How a query ended.
struct RecordedCompletion {
  Verdict verdict = Verdict::kOpen;
  routing::CompletionReason reason;
  IntakeResult intake = IntakeResult::kNone;  // where a front ended it by itself
  std::int64_t retry_after_us = 0;
  int shard_responses = 0;
};

// The hashes under which a query is found. `label`: 0 for none.
struct IdHashes {
  std::uint64_t id = 0;
  std::uint64_t label = 0;
};

struct EncodedEvent {
  std::array<std::uint64_t, kMaxEventWords> words;  // the first `size` of them
  std::size_t size = 0;

  std::span<const std::uint64_t> Words() const { return {words.data(), size}; }
};

// Times are microseconds since the query's arrival.
EncodedEvent EncodeOpened(const RecordedQuery& query, std::uint8_t class_index, std::size_t shard_requests,
                          const IdHashes& hashes);
// Whether the call id is longer than what an event keeps of it.
bool IsIdCut(std::string_view call_id);
EncodedEvent EncodeShardRequest(std::size_t number, const RecordedShardRequest& shard_request);
EncodedEvent EncodeSent(int shard_request, int attempt, const routing::Send& send, std::uint32_t time_us);
EncodedEvent EncodeEnded(int shard_request, int attempt, routing::AttemptOutcome outcome, Progress progress,
                         Cause cause, std::uint32_t time_us);
EncodedEvent EncodeCancelled(int shard_request, const routing::Cancel& cancel, std::uint32_t time_us);
EncodedEvent EncodePending(int shard_request, const routing::PendingShardRequest& pending,
                           std::uint32_t time_us);
EncodedEvent EncodeCompleted(const RecordedCompletion& completion, std::uint32_t time_us);
// Of a response that a front sent, and of a request that it rejected at intake.
EncodedEvent EncodeResponse(const FrontEvent& event, std::uint32_t time_us);
EncodedEvent EncodeIntake(const FrontEvent& event);

// A span of time as an event holds it: from 0 to some 71 minutes.
std::uint32_t ClampMicros(std::int64_t us);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EVENT_ENCODING_H_
