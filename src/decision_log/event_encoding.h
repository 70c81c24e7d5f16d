// Encodes what happened to a query as events of the record; event_decoding.h decodes them. record_format.h
// and docs/design/decision_log.md describe the layout. Pure functions that allocate nothing; usable from any
// thread.
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

// A query at its arrival.
struct RecordedQuery {
  std::uint32_t query = 0;  // its number; its shard requests are numbered from 0
  std::int64_t arrived_us = 0, deadline_us = 0;
  int class_index = 0;
  FrontKind front = FrontKind::kPlatform;
  bool is_retry = false;
  std::string_view call_id, label;  // label: the client's own name for it, where the front supports one
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
  IntakeResult intake = IntakeResult::kNone;  // set if a front ended the query by itself
  std::int64_t retry_after_us = 0;
  int shard_responses = 0;
};

// The hashes by which a query is looked up. `label` is 0 for a query without a label.
struct IdHashes {
  std::uint64_t id = 0;
  std::uint64_t label = 0;
};

struct EncodedEvent {
  std::array<std::uint64_t, kMaxEventWords> words;  // only the first `size` are set
  std::size_t size = 0;

  std::span<const std::uint64_t> Words() const { return {words.data(), size}; }
};

// `time_us` is the time since the query's arrival.
EncodedEvent EncodeOpened(const RecordedQuery& query, std::uint8_t class_index, std::size_t shard_requests,
                          const IdHashes& hashes);
// Whether the call id is longer than the kMaxIdBytes that an event stores.
bool IsIdCut(std::string_view call_id);
EncodedEvent EncodeShardRequest(std::size_t number, const RecordedShardRequest& shard_request);
EncodedEvent EncodeSent(int shard_request, int attempt, const routing::Send& send, std::uint32_t time_us);
EncodedEvent EncodeEnded(int shard_request, int attempt, routing::AttemptOutcome outcome, Progress progress,
                         Cause cause, std::uint32_t time_us);
EncodedEvent EncodeCancelled(int shard_request, const routing::Cancel& cancel, std::uint32_t time_us);
EncodedEvent EncodePending(int shard_request, const routing::PendingShardRequest& pending,
                           std::uint32_t time_us);
EncodedEvent EncodeCompleted(const RecordedCompletion& completion, std::uint32_t time_us);
// A response that a front sent, and a request that it rejected at intake.
EncodedEvent EncodeResponse(const FrontEvent& event, std::uint32_t time_us);
EncodedEvent EncodeIntake(const FrontEvent& event);

// Clamps a duration to what an event can hold: 0 to about 71 minutes.
std::uint32_t ClampMicros(std::int64_t us);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EVENT_ENCODING_H_
