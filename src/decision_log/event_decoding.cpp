#include "decision_log/event_decoding.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <string>

#include "decision_log/record_format.h"

namespace liftrudder::decision_log {
namespace {

// More shard requests than any front accepts. Bounds the memory that a damaged record can claim.
constexpr std::uint32_t kMaxDecodedShardRequests = 4096;

// The minimum number of words of each kind of event, indexed by EventKind.
constexpr std::array<std::size_t, 10> kMinWords = {1, 5, 2, 3, 2, 2, 3, 4, 2, 5};
constexpr std::size_t kCandidatesWord = 3;  // of sent and pending events
constexpr std::size_t kIdWord = 5;          // of opened and intake events

std::string TextAt(const std::uint64_t* words, std::size_t size) {
  std::string out(size, '\0');
  std::memcpy(out.data(), words, size);
  return out;
}

// An event whose number of words has been validated.
struct Event {
  EventKind kind = EventKind::kNone;
  std::uint32_t operand = 0;
  std::uint32_t time_us = 0;
  std::span<const std::uint64_t> words;
};

bool BelongsToShardRequest(EventKind kind) {
  switch (kind) {
    case EventKind::kShardRequest:
    case EventKind::kSent:
    case EventKind::kEnded:
    case EventKind::kCancelled:
    case EventKind::kPending:
      return true;
    default:
      return false;
  }
}

// The event at the start of the words; nullopt if they do not start with a valid event.
std::optional<Event> FirstEvent(std::span<const std::uint64_t> words) {
  Event event;
  event.kind = static_cast<EventKind>(ByteAt(words[0], 0));
  event.operand = words[0] >> 16 & 0xffff;
  event.time_us = HighHalf(words[0]);
  std::size_t size = ByteAt(words[0], 1);
  if (event.kind == EventKind::kNone || event.kind > EventKind::kIntake) return std::nullopt;
  if (size < kMinWords[static_cast<std::size_t>(event.kind)] || size > words.size()) return std::nullopt;
  if (BelongsToShardRequest(event.kind) && event.operand >= kMaxDecodedShardRequests) return std::nullopt;
  event.words = words.first(size);
  return event;
}

class EventDecoder {
 public:
  EventDecoder(const RecordFile& record_file, QueryTrace& trace) : record_file_(record_file), trace_(trace) {}

  // False if the event is inconsistent.
  bool Decode(const Event& event);

 private:
  bool Opened(const Event& event);
  void Sent(const Event& event);
  void Ended(const Event& event);
  void Cancelled(const Event& event);
  void Pending(const Event& event);
  void Completed(const Event& event);
  void Intake(const Event& event);

  ShardRequestTrace& ShardRequestOf(const Event& event);
  // Null if the record has no sent event of the attempt.
  AttemptTrace* AttemptOf(const Event& event);
  // The event's candidates: the declared number of them, or fewer if the event has fewer words.
  std::vector<CandidateTrace> Candidates(const Event& event, std::size_t declared) const;

  const RecordFile& record_file_;
  QueryTrace& trace_;
};

ShardRequestTrace& EventDecoder::ShardRequestOf(const Event& event) {
  if (event.operand >= trace_.shard_requests.size()) trace_.shard_requests.resize(event.operand + 1);
  return trace_.shard_requests[event.operand];
}

AttemptTrace* EventDecoder::AttemptOf(const Event& event) {
  int number = ByteAt(event.words[1], 0);
  auto& attempts = ShardRequestOf(event).attempts;
  auto found = std::ranges::find(attempts, number, &AttemptTrace::number);
  return found == attempts.end() ? nullptr : &*found;
}

std::vector<CandidateTrace> EventDecoder::Candidates(const Event& event, std::size_t declared) const {
  std::vector<CandidateTrace> out;
  std::size_t count = std::min(declared, event.words.size() - kCandidatesWord);
  for (std::uint64_t word : event.words.subspan(kCandidatesWord, count)) {
    std::uint32_t state = HighHalf(word);
    out.push_back({ReadEndpointName(record_file_, LowHalf(word)), static_cast<int>(state & 0xffff),
                   static_cast<routing::Eligibility>(state >> 16 & 0xff), (state >> 24) != 0});
  }
  return out;
}

bool EventDecoder::Opened(const Event& event) {
  const auto& words = event.words;
  std::size_t id_bytes = event.operand & 0xff;
  std::size_t label_bytes = event.operand >> 8;
  std::size_t label_word = kIdWord + (id_bytes + 7) / 8;
  if (label_word + (label_bytes + 7) / 8 > words.size()) return false;
  trace_.arrived_us = static_cast<std::int64_t>(words[1]);
  trace_.budget_us = LowHalf(words[2]);
  trace_.declared_shard_requests = static_cast<int>(HighHalf(words[2]) & 0xffff);
  trace_.class_index = ByteAt(words[2], 6);
  trace_.front = static_cast<FrontKind>(ByteAt(words[2], 7));
  trace_.id_hash = words[kIdHashWord];
  trace_.label_hash = words[kLabelHashWord];
  trace_.call_id = TextAt(words.data() + kIdWord, id_bytes);
  trace_.label = TextAt(words.data() + label_word, label_bytes);
  return true;
}

void EventDecoder::Sent(const Event& event) {
  std::uint32_t dispatch_bits = HighHalf(event.words[1]);
  AttemptTrace attempt;
  attempt.number = static_cast<int>(dispatch_bits & 0xff);
  attempt.kind = static_cast<routing::DispatchKind>(dispatch_bits >> 8 & 0xff);
  attempt.previous_outcome = static_cast<routing::AttemptOutcome>(dispatch_bits >> 16 & 0xff);
  attempt.endpoint = ReadEndpointName(record_file_, LowHalf(event.words[1]));
  attempt.at_us = event.time_us;
  attempt.timeout_us = LowHalf(event.words[2]);
  attempt.omitted = static_cast<int>(HighHalf(event.words[2]));
  attempt.candidates = Candidates(event, dispatch_bits >> 24);
  ShardRequestOf(event).attempts.push_back(std::move(attempt));
}

void EventDecoder::Ended(const Event& event) {
  AttemptTrace* attempt = AttemptOf(event);
  if (attempt == nullptr) return;
  attempt->ended_us = event.time_us;
  attempt->outcome = static_cast<routing::AttemptOutcome>(ByteAt(event.words[1], 1));
  attempt->progress = static_cast<Progress>(ByteAt(event.words[1], 2));
  attempt->cause = static_cast<Cause>(ByteAt(event.words[1], 3));
}

void EventDecoder::Cancelled(const Event& event) {
  AttemptTrace* attempt = AttemptOf(event);
  if (attempt == nullptr) return;
  attempt->cancelled_us = event.time_us;
  attempt->cancel_reason = static_cast<routing::CancelReason>(ByteAt(event.words[1], 1));
}

void EventDecoder::Pending(const Event& event) {
  PendingTrace pending;
  pending.at_us = event.time_us;
  pending.reason = static_cast<routing::PendingReason>(ByteAt(event.words[2], 0));
  pending.observed = FloatOf(LowHalf(event.words[1]));
  pending.threshold = FloatOf(HighHalf(event.words[1]));
  pending.candidates = Candidates(event, ByteAt(event.words[2], 4));
  ShardRequestOf(event).pending.push_back(std::move(pending));
}

void EventDecoder::Completed(const Event& event) {
  const auto& words = event.words;
  trace_.verdict = static_cast<Verdict>(event.operand & 0xff);
  trace_.cause = static_cast<routing::CompletionCause>(event.operand >> 8);
  trace_.ended_us = event.time_us;
  trace_.observed = FloatOf(LowHalf(words[1]));
  trace_.threshold = FloatOf(HighHalf(words[1]));
  trace_.overloaded_endpoint = ReadEndpointName(record_file_, LowHalf(words[2]));
  trace_.retry_after_us = HighHalf(words[2]);
  trace_.shard_responses = static_cast<int>(LowHalf(words[3]));
  trace_.intake = static_cast<IntakeResult>(ByteAt(words[3], 4));
}

void EventDecoder::Intake(const Event& event) {
  const auto& words = event.words;
  trace_.arrived_us = static_cast<std::int64_t>(words[1]);
  trace_.responses.push_back({0, static_cast<int>(LowHalf(words[2])), 0, true});
  trace_.declared_shard_requests = static_cast<int>(HighHalf(words[2]) & 0xffff);
  trace_.class_index = ByteAt(words[2], 6);
  trace_.front = static_cast<FrontKind>(ByteAt(words[2], 7));
  trace_.id_hash = words[kIdHashWord];
  trace_.observed = FloatOf(LowHalf(words[4]));
  trace_.threshold = FloatOf(HighHalf(words[4]));
  trace_.intake = static_cast<IntakeResult>(event.operand >> 8);
  std::size_t id_bytes = std::min<std::size_t>(event.operand & 0xff, (words.size() - kIdWord) * 8);
  trace_.call_id = TextAt(words.data() + kIdWord, id_bytes);
}

bool EventDecoder::Decode(const Event& event) {
  switch (event.kind) {
    case EventKind::kNone:
      break;
    case EventKind::kOpened:
      return Opened(event);
    case EventKind::kShardRequest: {
      ShardRequestTrace& shard_request = ShardRequestOf(event);
      shard_request.shard = static_cast<int>(event.time_us);  // this event has the shard in place of the time
      shard_request.weight = FloatOf(LowHalf(event.words[1]));
      shard_request.work_us = HighHalf(event.words[1]);
      break;
    }
    case EventKind::kSent:
      Sent(event);
      break;
    case EventKind::kEnded:
      Ended(event);
      break;
    case EventKind::kCancelled:
      Cancelled(event);
      break;
    case EventKind::kPending:
      Pending(event);
      break;
    case EventKind::kCompleted:
      Completed(event);
      break;
    case EventKind::kResponse:
      trace_.responses.push_back({event.time_us, static_cast<int>(event.operand), LowHalf(event.words[1]),
                                  HighHalf(event.words[1]) != 0});
      break;
    case EventKind::kIntake:
      Intake(event);
      break;
  }
  return true;
}

}  // namespace

EndpointName ReadEndpointName(const RecordFile& record_file, std::uint32_t number) {
  if (number == 0) return {};
  EndpointName name{number, "#" + std::to_string(number), ""};
  std::array<std::uint64_t, kEndpointWords> words;
  auto state = record_file.ReadCell(record_file.layout().EndpointWord(number), words);
  if (state != RecordFile::CellState::kGood || LowHalf(words[1]) != number) return name;
  name.id =
      TextAt(words.data() + kEndpointIdWord, std::min<std::size_t>(ByteAt(words[1], 4), kMaxEndpointIdBytes));
  name.addr = TextAt(words.data() + kEndpointAddressWord,
                     std::min<std::size_t>(ByteAt(words[1], 5), kMaxEndpointAddressBytes));
  return name;
}

bool DecodeEvents(const RecordFile& record_file, std::span<const std::uint64_t> words, QueryTrace& trace) {
  EventDecoder decoder(record_file, trace);
  while (!words.empty()) {
    std::optional<Event> event = FirstEvent(words);
    if (!event || !decoder.Decode(*event)) return false;
    words = words.subspan(event->words.size());
  }
  return true;
}

}  // namespace liftrudder::decision_log
