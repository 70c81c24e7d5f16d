#include "coordinator/in_flight_table.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace liftrudder::coordinator {

void InFlightTable::AddQuery(Id id, const QueryRequest& request, std::shared_ptr<ClientReply> reply) {
  Id first_shard_request = id + 1;
  queries_[id] = {std::move(reply), first_shard_request, static_cast<int>(request.shard_requests.size())};
  for (std::size_t i = 0; i < request.shard_requests.size(); ++i) {
    InFlightShardRequest shard_request;
    shard_request.id = first_shard_request + static_cast<Id>(i);
    shard_request.query = id;
    shard_request.index = static_cast<int>(i);
    shard_request.class_index = request.class_index;
    shard_request.request = request.shard_requests[i];
    shard_request.payload = request.payload;
    shard_requests_[shard_request.id] = std::move(shard_request);
  }
}

const InFlightQuery* InFlightTable::FindQuery(Id id) const {
  auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

InFlightShardRequest* InFlightTable::FindShardRequest(Id id) {
  auto found = shard_requests_.find(id);
  return found == shard_requests_.end() ? nullptr : &found->second;
}

int InFlightTable::AddAttempt(InFlightShardRequest& shard_request, const InFlightAttempt& attempt) {
  int number = static_cast<int>(shard_request.attempts.size());
  shard_request.attempts.push_back(attempt);
  expiries_.insert({attempt.attempt_deadline_us, {shard_request.id, number}});
  if (attempt.latest_send_us < attempt.attempt_deadline_us) {
    latest_sends_.insert({attempt.latest_send_us, {shard_request.id, number}});
  }
  return number;
}

std::optional<routing::AttemptFinished> InFlightTable::FinishAttempt(AttemptResult result, Micros now_us) {
  auto found = shard_requests_.find(result.key.shard_request);
  if (found == shard_requests_.end()) return std::nullopt;
  InFlightShardRequest& shard_request = found->second;
  auto number = static_cast<std::size_t>(result.key.attempt);
  if (number >= shard_request.attempts.size() || !shard_request.attempts[number].in_flight) {
    return std::nullopt;
  }
  InFlightAttempt& attempt = shard_request.attempts[number];
  attempt.in_flight = false;
  expiries_.erase({attempt.attempt_deadline_us, result.key});
  latest_sends_.erase({attempt.latest_send_us, result.key});

  routing::AttemptFinished finished;
  finished.shard_request = result.key.shard_request;
  finished.attempt = result.key.attempt;
  finished.endpoint = attempt.endpoint;
  finished.outcome = OutcomeOf(result.progress, result.cause);
  finished.spent_us = now_us - attempt.sent_us;
  finished.load = std::move(result.load);
  if (finished.outcome == AttemptOutcome::kOk && !shard_request.response && !shard_request.query_removed) {
    shard_request.response = std::move(result.value);
  }
  finished.shard_request_done = shard_request.query_removed || shard_request.response.has_value();
  DropIfFinished(found);
  return finished;
}

std::vector<ExpiredAttempt> InFlightTable::TakeExpired(Micros now_us) {
  std::vector<ExpiredAttempt> expired;
  while (!expiries_.empty() && expiries_.begin()->deadline_us <= now_us) {
    AttemptKey key = expiries_.begin()->key;
    expiries_.erase(expiries_.begin());
    const InFlightShardRequest& shard_request = shard_requests_.at(key.shard_request);
    expired.push_back({key, shard_request.attempts[static_cast<std::size_t>(key.attempt)].endpoint});
  }
  return expired;
}

std::vector<AttemptKey> InFlightTable::TakePastLatestSend(Micros now_us) {
  std::vector<AttemptKey> keys;
  while (!latest_sends_.empty() && latest_sends_.begin()->deadline_us <= now_us) {
    keys.push_back(latest_sends_.begin()->key);
    latest_sends_.erase(latest_sends_.begin());
  }
  return keys;
}

Micros InFlightTable::NextExpiry() const {
  Micros next_us = std::numeric_limits<Micros>::max();
  if (!expiries_.empty()) next_us = expiries_.begin()->deadline_us;
  if (!latest_sends_.empty()) next_us = std::min(next_us, latest_sends_.begin()->deadline_us);
  return next_us;
}

std::vector<ShardResponse> InFlightTable::RemoveQuery(Id id) {
  std::vector<ShardResponse> responses;
  auto query = queries_.find(id);
  if (query == queries_.end()) return responses;
  for (int i = 0; i < query->second.shard_requests; ++i) {
    auto found = shard_requests_.find(query->second.first_shard_request + static_cast<Id>(i));
    if (found == shard_requests_.end()) continue;
    InFlightShardRequest& shard_request = found->second;
    if (shard_request.response) {
      responses.push_back({shard_request.request.shard, std::move(*shard_request.response)});
    }
    shard_request.query_removed = true;
    DropIfFinished(found);
  }
  queries_.erase(query);
  return responses;
}

void InFlightTable::DropIfFinished(std::map<Id, InFlightShardRequest>::iterator shard_request) {
  bool attempts_finished = std::ranges::none_of(shard_request->second.attempts, &InFlightAttempt::in_flight);
  if (shard_request->second.query_removed && attempts_finished) shard_requests_.erase(shard_request);
}

}  // namespace liftrudder::coordinator
