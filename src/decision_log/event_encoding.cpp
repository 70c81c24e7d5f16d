#include "decision_log/event_encoding.h"

#include <algorithm>
#include <bit>

namespace liftrudder::decision_log {
namespace {

constexpr std::size_t kMaxLabelBytes = 48;
constexpr std::size_t kMaxEncodedShardRequests = 0xffff;  // the most that an opened event can hold

std::uint64_t FirstWord(EventKind kind, std::size_t words, std::uint32_t operand, std::uint32_t time_us) {
  return static_cast<std::uint64_t>(kind) | std::uint64_t{words} << 8 |
         std::uint64_t{operand & 0xffff} << 16 | std::uint64_t{time_us} << 32;
}

std::uint32_t ToUint32(int value) { return static_cast<std::uint32_t>(value); }

template <typename Value>
std::uint32_t Byte(Value value) {
  return std::uint32_t{static_cast<std::uint8_t>(value)};
}

std::uint64_t JoinFloatBits(float low, float high) {
  return JoinHalves(std::bit_cast<std::uint32_t>(low), std::bit_cast<std::uint32_t>(high));
}

void AddCandidates(const routing::ReplicaChoice& choice, EncodedEvent& event) {
  std::size_t next_word = event.size;
  for (std::size_t i = 0; i < choice.count; ++i) {
    const routing::Candidate& candidate = choice.endpoints[i];
    event.words[next_word++] = JoinHalves(
        candidate.endpoint.address, std::uint32_t{candidate.in_flight} | Byte(candidate.eligibility) << 16 |
                                        std::uint32_t{candidate.eligible} << 24);
  }
  event.size = next_word;
}

}  // namespace

std::uint32_t ClampMicros(std::int64_t us) {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(us, 0, 0xffffffff));
}

bool IsIdCut(std::string_view call_id) { return call_id.size() > kMaxIdBytes; }

EncodedEvent EncodeOpened(const RecordedQuery& query, std::uint8_t class_index, std::size_t shard_requests,
                          const IdHashes& hashes) {
  std::string_view id = query.call_id.substr(0, kMaxIdBytes);
  std::string_view label = query.label.substr(0, kMaxLabelBytes);
  auto count = static_cast<std::uint32_t>(std::min(shard_requests, kMaxEncodedShardRequests));
  EncodedEvent event;
  event.words[1] = static_cast<std::uint64_t>(query.arrived_us);
  event.words[2] = JoinHalves(ClampMicros(query.deadline_us - query.arrived_us),
                              count | std::uint32_t{class_index} << 16 | Byte(query.front) << 24);
  event.words[kIdHashWord] = hashes.id;
  event.words[kLabelHashWord] = hashes.label;
  event.size = kLabelHashWord + 1;
  event.size += PutText(id, event.words.data() + event.size);
  event.size += PutText(label, event.words.data() + event.size);
  event.words[0] =
      FirstWord(EventKind::kOpened, event.size, static_cast<std::uint32_t>(id.size() | label.size() << 8), 0);
  return event;
}

// The shard's number takes the place of the time in other events.
EncodedEvent EncodeShardRequest(std::size_t number, const RecordedShardRequest& shard_request) {
  EncodedEvent event;
  event.size = 2;
  event.words[0] = FirstWord(EventKind::kShardRequest, event.size, static_cast<std::uint32_t>(number),
                             ToUint32(shard_request.shard));
  event.words[1] = JoinHalves(FloatBits(shard_request.weight), ClampMicros(shard_request.work_us));
  return event;
}

EncodedEvent EncodeSent(int shard_request, int attempt, const routing::Send& send, std::uint32_t time_us) {
  const routing::ReplicaChoice& choice = send.reason.choice;
  EncodedEvent event;
  event.words[1] =
      JoinHalves(send.endpoint.address, Byte(attempt) | Byte(send.reason.kind) << 8 |
                                            static_cast<std::uint32_t>(send.reason.previous_outcome) << 16 |
                                            std::uint32_t{choice.count} << 24);
  event.words[2] = JoinHalves(ClampMicros(send.timeout_us), choice.omitted);
  event.size = 3;
  AddCandidates(choice, event);
  event.words[0] = FirstWord(EventKind::kSent, event.size, ToUint32(shard_request), time_us);
  return event;
}

EncodedEvent EncodeEnded(int shard_request, int attempt, routing::AttemptOutcome outcome, Progress progress,
                         Cause cause, std::uint32_t time_us) {
  EncodedEvent event;
  event.size = 2;
  event.words[0] = FirstWord(EventKind::kEnded, event.size, ToUint32(shard_request), time_us);
  event.words[1] =
      Byte(attempt) | static_cast<std::uint32_t>(outcome) << 8 | Byte(progress) << 16 | Byte(cause) << 24;
  return event;
}

EncodedEvent EncodeCancelled(int shard_request, const routing::Cancel& cancel, std::uint32_t time_us) {
  EncodedEvent event;
  event.size = 2;
  event.words[0] = FirstWord(EventKind::kCancelled, event.size, ToUint32(shard_request), time_us);
  event.words[1] = Byte(cancel.attempt) | Byte(cancel.reason) << 8;
  return event;
}

EncodedEvent EncodePending(int shard_request, const routing::PendingShardRequest& pending,
                           std::uint32_t time_us) {
  EncodedEvent event;
  event.words[1] = JoinFloatBits(pending.observed, pending.threshold);
  event.words[2] = JoinHalves(
      Byte(pending.reason), std::uint32_t{pending.choice.count} | std::uint32_t{pending.choice.omitted} << 8);
  event.size = 3;
  AddCandidates(pending.choice, event);
  event.words[0] = FirstWord(EventKind::kPending, event.size, ToUint32(shard_request), time_us);
  return event;
}

EncodedEvent EncodeCompleted(const RecordedCompletion& completion, std::uint32_t time_us) {
  const routing::CompletionReason& reason = completion.reason;
  EncodedEvent event;
  event.size = 4;
  event.words[0] = FirstWord(EventKind::kCompleted, event.size,
                             Byte(completion.verdict) | Byte(reason.cause) << 8, time_us);
  event.words[1] = JoinFloatBits(reason.observed, reason.threshold);
  event.words[2] = JoinHalves(reason.endpoint.address, ClampMicros(completion.retry_after_us));
  event.words[3] = JoinHalves(ToUint32(completion.shard_responses), Byte(completion.intake));
  return event;
}

EncodedEvent EncodeResponse(const FrontEvent& response, std::uint32_t time_us) {
  EncodedEvent event;
  event.size = 2;
  event.words[0] = FirstWord(EventKind::kResponse, event.size, response.status, time_us);
  event.words[1] = JoinHalves(response.bytes, std::uint32_t{response.fully_written});
  return event;
}

EncodedEvent EncodeIntake(const FrontEvent& rejection) {
  EncodedEvent event;
  event.words[1] = static_cast<std::uint64_t>(rejection.at_us);
  event.words[2] = JoinHalves(rejection.status, std::uint32_t{rejection.shard_requests} |
                                                    std::uint32_t{rejection.class_index} << 16 |
                                                    Byte(rejection.front) << 24);
  event.words[kIdHashWord] = rejection.id_hash;
  event.words[4] = JoinFloatBits(rejection.observed, rejection.threshold);
  event.size = 5;
  event.size += PutText({rejection.id.data(), rejection.id_bytes}, event.words.data() + event.size);
  event.words[0] = FirstWord(EventKind::kIntake, event.size,
                             std::uint32_t{rejection.id_bytes} | Byte(rejection.intake) << 8, 0);
  return event;
}

}  // namespace liftrudder::decision_log
