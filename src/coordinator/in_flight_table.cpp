#include "coordinator/in_flight_table.h"

#include <algorithm>
#include <limits>

namespace liftrudder::coordinator {

AttemptOutcome OutcomeOf(Progress progress, Cause cause) {
  bool may_have_run = progress >= Progress::kWhollyWritten;
  bool begun = progress >= Progress::kPartlyWritten;
  switch (cause) {
    case Cause::kServed:
      return AttemptOutcome::kOk;
    case Cause::kBroke:
      return AttemptOutcome::kError;
    case Cause::kSkipped:
      return AttemptOutcome::kFull;
    case Cause::kSpoilt:
      // The holder lives and has answered, if in a way of no use: an error, not the loss of its process.
      return may_have_run ? AttemptOutcome::kError : AttemptOutcome::kConnectFailed;
    case Cause::kConnectionLost:
      return may_have_run ? AttemptOutcome::kReset : AttemptOutcome::kConnectFailed;
    case Cause::kWithdrawn:
      // A frame that has begun is written to its end all the same, so it may yet run.
      return begun ? AttemptOutcome::kCancelled : AttemptOutcome::kNotSent;
    case Cause::kExpired:
      return begun ? AttemptOutcome::kTimeout : AttemptOutcome::kNotSent;
    case Cause::kStale:
    case Cause::kLeft:
      return AttemptOutcome::kNotSent;
  }
  return AttemptOutcome::kError;
}

void InFlightTable::Open(Id id, const QueryRequest& request, std::shared_ptr<ClientReply> reply) {
  queries_[id] = {std::move(reply), request.deadline_us, id + 1, static_cast<int>(request.parts.size())};
  for (std::size_t i = 0; i < request.parts.size(); ++i) {
    InFlightShardRequest part;
    part.query = id;
    part.class_index = request.class_index;
    part.request = request.parts[i];
    part.payload = request.payload;
    parts_[id + 1 + static_cast<Id>(i)] = std::move(part);
  }
}

const InFlightQuery* InFlightTable::Query(Id id) const {
  auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

InFlightShardRequest* InFlightTable::Part(Id id) {
  auto found = parts_.find(id);
  return found == parts_.end() ? nullptr : &found->second;
}

int InFlightTable::Begin(Id part, InFlightShardRequest& entry, const InFlightAttempt& attempt) {
  int number = static_cast<int>(entry.attempts.size());
  entry.attempts.push_back(attempt);
  expiries_.insert({attempt.attempt_deadline_us, {part, number}});
  return number;
}

std::optional<routing::AttemptFinished> InFlightTable::End(AttemptResult result, Micros now) {
  auto part = parts_.find(result.key.part);
  if (part == parts_.end()) return std::nullopt;
  auto index = static_cast<std::size_t>(result.key.attempt);
  if (index >= part->second.attempts.size() || !part->second.attempts[index].out) return std::nullopt;
  InFlightAttempt& attempt = part->second.attempts[index];
  attempt.out = false;
  expiries_.erase({attempt.attempt_deadline_us, result.key});
  routing::AttemptFinished ended;
  ended.part = result.key.part;
  ended.attempt = result.key.attempt;
  ended.replica = attempt.endpoint;
  ended.code = OutcomeOf(result.progress, result.cause);
  ended.spent_us = now - attempt.sent_us;
  ended.load = std::move(result.load);
  if (ended.code == AttemptOutcome::kOk && !part->second.value && !part->second.over)
    part->second.value = std::move(result.value);
  ended.part_done = part->second.over || part->second.value.has_value();
  DropIfDone(part);
  return ended;
}

std::vector<std::pair<AttemptKey, EndpointId>> InFlightTable::Expired(Micros now) {
  std::vector<std::pair<AttemptKey, EndpointId>> due;
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    AttemptKey key = expiries_.begin()->second;
    expiries_.erase(expiries_.begin());
    due.emplace_back(key, parts_.at(key.part).attempts[static_cast<std::size_t>(key.attempt)].endpoint);
  }
  return due;
}

Micros InFlightTable::NextExpiry() const {
  return expiries_.empty() ? std::numeric_limits<Micros>::max() : expiries_.begin()->first;
}

std::vector<Piece> InFlightTable::Close(Id id) {
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

void InFlightTable::DropIfDone(std::map<Id, InFlightShardRequest>::iterator part) {
  if (part->second.over && std::ranges::none_of(part->second.attempts, &InFlightAttempt::out))
    parts_.erase(part);
}

}  // namespace liftrudder::coordinator
