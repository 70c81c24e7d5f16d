#include "coordinator/in_flight_table.h"

#include <algorithm>
#include <limits>

namespace liftrudder::coordinator {

OutcomeCode OutcomeOf(Progress progress, Cause cause) {
  bool may_have_run = progress >= Progress::kWhollyWritten;
  bool begun = progress >= Progress::kPartlyWritten;
  switch (cause) {
    case Cause::kServed:
      return OutcomeCode::kOk;
    case Cause::kBroke:
      return OutcomeCode::kError;
    case Cause::kSkipped:
      return OutcomeCode::kFull;
    case Cause::kSpoilt:
      // The holder lives and has answered, if in a way of no use: an error, not the loss of its process.
      return may_have_run ? OutcomeCode::kError : OutcomeCode::kConnectFailed;
    case Cause::kConnectionLost:
      return may_have_run ? OutcomeCode::kReset : OutcomeCode::kConnectFailed;
    case Cause::kWithdrawn:
      // A frame that has begun is written to its end all the same, so it may yet run.
      return begun ? OutcomeCode::kCancelled : OutcomeCode::kMoot;
    case Cause::kExpired:
      return begun ? OutcomeCode::kTimeout : OutcomeCode::kMoot;
    case Cause::kStale:
    case Cause::kLeft:
      return OutcomeCode::kMoot;
  }
  return OutcomeCode::kError;
}

void Book::Open(Id id, const QueryRequest& request, std::shared_ptr<ClientReply> reply) {
  queries_[id] = {std::move(reply), request.deadline_us, id + 1, static_cast<int>(request.parts.size())};
  for (std::size_t i = 0; i < request.parts.size(); ++i) {
    OpenPart part;
    part.query = id;
    part.class_index = request.class_index;
    part.request = request.parts[i];
    part.payload = request.payload;
    parts_[id + 1 + static_cast<Id>(i)] = std::move(part);
  }
}

const OpenQuery* Book::Query(Id id) const {
  auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

OpenPart* Book::Part(Id id) {
  auto found = parts_.find(id);
  return found == parts_.end() ? nullptr : &found->second;
}

int Book::Begin(Id part, OpenPart& entry, const OpenAttempt& attempt) {
  int number = static_cast<int>(entry.attempts.size());
  entry.attempts.push_back(attempt);
  expiries_.insert({attempt.wait_until_us, {part, number}});
  return number;
}

std::optional<routing::AttemptEnded> Book::End(AttemptResult result, Micros now) {
  auto part = parts_.find(result.key.part);
  if (part == parts_.end()) return std::nullopt;
  auto index = static_cast<std::size_t>(result.key.attempt);
  if (index >= part->second.attempts.size() || !part->second.attempts[index].out) return std::nullopt;
  OpenAttempt& attempt = part->second.attempts[index];
  attempt.out = false;
  expiries_.erase({attempt.wait_until_us, result.key});
  routing::AttemptEnded ended;
  ended.part = result.key.part;
  ended.attempt = result.key.attempt;
  ended.replica = attempt.holder;
  ended.code = OutcomeOf(result.progress, result.cause);
  ended.spent_us = now - attempt.sent_us;
  ended.load = std::move(result.load);
  if (ended.code == OutcomeCode::kOk && !part->second.value && !part->second.over)
    part->second.value = std::move(result.value);
  ended.part_done = part->second.over || part->second.value.has_value();
  DropIfDone(part);
  return ended;
}

std::vector<std::pair<AttemptKey, ReplicaId>> Book::Expired(Micros now) {
  std::vector<std::pair<AttemptKey, ReplicaId>> due;
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    AttemptKey key = expiries_.begin()->second;
    expiries_.erase(expiries_.begin());
    due.emplace_back(key, parts_.at(key.part).attempts[static_cast<std::size_t>(key.attempt)].holder);
  }
  return due;
}

Micros Book::NextExpiry() const {
  return expiries_.empty() ? std::numeric_limits<Micros>::max() : expiries_.begin()->first;
}

std::vector<Piece> Book::Close(Id id) {
  std::vector<Piece> pieces;
  auto query = queries_.find(id);
  if (query == queries_.end()) return pieces;
  for (int i = 0; i < query->second.parts; ++i) {
    auto part = parts_.find(query->second.first_part + static_cast<Id>(i));
    if (part == parts_.end()) continue;
    if (part->second.value) pieces.push_back({part->second.request.shard, std::move(*part->second.value)});
    part->second.over = true;
    DropIfDone(part);
  }
  queries_.erase(query);
  return pieces;
}

void Book::DropIfDone(std::map<Id, OpenPart>::iterator part) {
  if (part->second.over && std::ranges::none_of(part->second.attempts, &OpenAttempt::out)) parts_.erase(part);
}

}  // namespace liftrudder::coordinator
