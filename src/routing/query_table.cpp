#include "routing/query_table.h"

#include <algorithm>
#include <utility>

namespace liftrudder::routing {

int ShardRequest::InFlight() const {
  return static_cast<int>(std::ranges::count_if(attempts, &Attempt::in_flight));
}

void Query::LimitDeadline(Micros latest_us) {
  deadline_us = std::min(deadline_us, latest_us);
  objective_at_us = std::min(objective_at_us, deadline_us);
}

Query& QueryTable::Add(Query query) {
  ids_by_number_[query.number] = query.id;
  Query& entry = queries_[query.id];
  entry = std::move(query);
  return entry;
}

void QueryTable::AddShardRequest(Query& query, ShardRequest shard_request) {
  Id id = shard_request.id;
  shard_requests_[id] = std::move(shard_request);
  query.shard_requests.push_back(id);
}

Query* QueryTable::Find(Id id) {
  auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

const Query* QueryTable::Find(Id id) const {
  auto found = queries_.find(id);
  return found == queries_.end() ? nullptr : &found->second;
}

Query* QueryTable::FindByNumber(std::int64_t number) {
  auto found = ids_by_number_.find(number);
  return found == ids_by_number_.end() ? nullptr : &queries_.at(found->second);
}

ShardRequest* QueryTable::FindShardRequest(Id id) {
  auto found = shard_requests_.find(id);
  return found == shard_requests_.end() ? nullptr : &found->second;
}

void QueryTable::MarkEnded(const Query& query) {
  ids_by_number_.erase(query.number);
  ended_.insert(query.id);
}

void QueryTable::EraseEnded() {
  for (Id id : ended_) queries_.erase(id);
  ended_.clear();
}

}  // namespace liftrudder::routing
