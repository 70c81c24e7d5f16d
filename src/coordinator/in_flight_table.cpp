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
    case Cause::kEndpointError:
      return AttemptOutcome::kError;
    case Cause::kEndpointRejected:
      return AttemptOutcome::kOverloaded;
    case Cause::kInvalidResponse:
      // The holder lives and has answered, if in a way of no use: an error, not the loss of its process.
      return may_have_run ? AttemptOutcome::kError : AttemptOutcome::kConnectFailed;
    case Cause::kConnectionLost:
      return may_have_run ? AttemptOutcome::kReset : AttemptOutcome::kConnectFailed;
    case Cause::kCancelled:
      // A frame that has begun is written to its end all the same, so it may yet run.
      return begun ? AttemptOutcome::kCancelled : AttemptOutcome::kNotSent;
    case Cause::kExpired:
      return begun ? AttemptOutcome::kTimeout : AttemptOutcome::kNotSent;
    case Cause::kStale:
    case Cause::kClientDisconnected:
      return AttemptOutcome::kNotSent;
  }
  return AttemptOutcome::kError;
}

void InFlightTable::Open(Id id, const QueryRequest& request, std::shared_ptr<ClientReply> reply) {
  queries_[id] = {std::move(reply), request.deadline_us, id + 1, static_cast<int>(request.shard_requests.size())};
  for (std::size_t i = 0; i < request.shard_requests.size(); ++i) {
    InFlightShardRequest shard_request;
    shard_request.query = id;
    shard_request.class_index = request.class_index;
    shard_request.request = request.shard_requests[i];
    shard_request.payload = request.payload;
    shard_requests_[id + 1 + static_cast<Id>(i)] = std::move(shard_request);
  }
}

const InFlightQuery* InFlightTable::Query(Id id) const {
  auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

InFlightShardRequest* InFlightTable::ShardRequest(Id id) {
  auto found = shard_requests_.find(id);
  return found == shard_requests_.end() ? nullptr : &found->second;
}

int InFlightTable::Begin(Id shard_request, InFlightShardRequest& entry, const InFlightAttempt& attempt) {
  int number = static_cast<int>(entry.attempts.size());
  entry.attempts.push_back(attempt);
  expiries_.insert({attempt.attempt_deadline_us, {shard_request, number}});
  return number;
}

std::optional<routing::AttemptFinished> InFlightTable::End(AttemptResult result, Micros now) {
  auto shard_request = shard_requests_.find(result.key.shard_request);
  if (shard_request == shard_requests_.end()) return std::nullopt;
  auto index = static_cast<std::size_t>(result.key.attempt);
  if (index >= shard_request->second.attempts.size() || !shard_request->second.attempts[index].out) return std::nullopt;
  InFlightAttempt& attempt = shard_request->second.attempts[index];
  attempt.out = false;
  expiries_.erase({attempt.attempt_deadline_us, result.key});
  routing::AttemptFinished ended;
  ended.shard_request = result.key.shard_request;
  ended.attempt = result.key.attempt;
  ended.endpoint = attempt.endpoint;
  ended.code = OutcomeOf(result.progress, result.cause);
  ended.spent_us = now - attempt.sent_us;
  ended.load = std::move(result.load);
  if (ended.code == AttemptOutcome::kOk && !shard_request->second.value && !shard_request->second.over)
    shard_request->second.value = std::move(result.value);
  ended.part_done = shard_request->second.over || shard_request->second.value.has_value();
  DropIfDone(shard_request);
  return ended;
}

std::vector<std::pair<AttemptKey, EndpointId>> InFlightTable::Expired(Micros now) {
  std::vector<std::pair<AttemptKey, EndpointId>> due;
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    AttemptKey key = expiries_.begin()->second;
    expiries_.erase(expiries_.begin());
    due.emplace_back(key, shard_requests_.at(key.shard_request).attempts[static_cast<std::size_t>(key.attempt)].endpoint);
  }
  return due;
}

Micros InFlightTable::NextExpiry() const {
  return expiries_.empty() ? std::numeric_limits<Micros>::max() : expiries_.begin()->first;
}

std::vector<ShardResponse> InFlightTable::Close(Id id) {
  std::vector<ShardResponse> shard_responses;
  auto query = queries_.find(id);
  if (query == queries_.end()) return shard_responses;
  for (int i = 0; i < query->second.shard_requests; ++i) {
    auto shard_request = shard_requests_.find(query->second.first_part + static_cast<Id>(i));
    if (shard_request == shard_requests_.end()) continue;
    if (shard_request->second.value) shard_responses.push_back({shard_request->second.request.shard, std::move(*shard_request->second.value)});
    shard_request->second.over = true;
    DropIfDone(shard_request);
  }
  queries_.erase(query);
  return shard_responses;
}

void InFlightTable::DropIfDone(std::map<Id, InFlightShardRequest>::iterator shard_request) {
  if (shard_request->second.over && std::ranges::none_of(shard_request->second.attempts, &InFlightAttempt::out))
    shard_requests_.erase(shard_request);
}

}  // namespace liftrudder::coordinator
