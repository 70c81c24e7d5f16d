// The queries in flight with their shard requests and attempts. A container without decisions. Owned by one
// router; not thread-safe.
#ifndef LIFTRUDDER_ROUTING_QUERY_TABLE_H_
#define LIFTRUDDER_ROUTING_QUERY_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "routing/events.h"
#include "routing/reasons.h"
#include "routing/types.h"

namespace liftrudder::routing {

// One send of a shard request to an endpoint.
struct Attempt {
  EndpointId endpoint;
  Micros sent_us = 0;
  int in_flight_at_endpoint = 1;  // this coordinator's requests there, including this one
  bool in_flight = true;
  bool never_ran = false;  // proved by its outcome
  bool cancellation_requested = false;
  bool endpoint_lost = false;                    // the connection was reset while it was in flight
  AttemptOutcome outcome = AttemptOutcome::kOk;  // once it is not in flight
};

struct ShardRequest {
  Id id = 0;
  Id query = 0;  // 0: the query has ended, but attempts may still be in flight
  int shard = 0;
  double weight = 0;  // coverage that its answer adds
  std::uint64_t key = 0;
  bool answered = false;
  bool selected = false;                         // not dropped by the coverage cutoff
  PendingReason pending = PendingReason::kNone;  // as last reported
  Micros idle_since_us = 0;                      // no attempt in flight since then
  std::vector<Attempt> attempts;

  int InFlight() const;
};

struct Query {
  Id id = 0;
  std::int64_t number = 0;
  std::size_t class_index = 0;
  Micros received_us = 0;         // when the router was notified of it
  Micros objective_at_us = 0;     // end of the latency objective
  Micros client_deadline_us = 0;  // end of the client's timeout
  Micros deadline_us = 0;         // when it must be answered: client_deadline_us, or earlier in a shutdown
  double value_factor = 1;        // below 1: late, or over its tenant's quota
  int phase = 1;                  // 2: fetch phase
  bool first_phase_complete = true;
  bool known_safe = false;  // an endpoint answered one of its shard requests, so it is no poison query
  int endpoint_losses = 0;  // attempts that were in flight at an endpoint when it was lost

  // State of the current phase, except for latest_first_attempt_us:
  bool dispatched = false;
  int sent = 0;         // shard requests
  int answered = 0;     // shard requests
  double coverage = 0;  // total weight of the answered shard requests
  // When the latest first attempt of a shard request was sent, in either phase; 0: none sent.
  Micros latest_first_attempt_us = 0;
  Micros mostly_answered_us = 0;  // 0: not yet
  std::vector<Id> shard_requests;

  // Moves the deadline to `latest_us` unless it is earlier.
  void LimitDeadline(Micros latest_us);
};

class QueryTable {
 public:
  Query& Add(Query query);
  // Adds the request, whose `query` must be `query.id`.
  void AddShardRequest(Query& query, ShardRequest shard_request);

  Query* Find(Id id);
  const Query* Find(Id id) const;
  Query* FindByNumber(std::int64_t number);
  ShardRequest* FindShardRequest(Id id);
  ShardRequest& ShardRequestAt(Id id) { return shard_requests_.at(id); }
  const ShardRequest& ShardRequestAt(Id id) const { return shard_requests_.at(id); }
  void EraseShardRequest(Id id) { shard_requests_.erase(id); }

  // Queries by id, including those that ended in this round.
  std::map<Id, Query>& All() { return queries_; }
  bool Empty() const { return queries_.empty(); }

  // Marks the query as ended. Its entry stays until EraseEnded, as callers still refer to it.
  void MarkEnded(const Query& query);
  bool HasEnded(Id id) const { return ended_.contains(id); }
  void EraseEnded();

 private:
  std::map<Id, Query> queries_;
  std::map<Id, ShardRequest> shard_requests_;
  std::map<std::int64_t, Id> ids_by_number_;
  std::set<Id> ended_;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_QUERY_TABLE_H_
