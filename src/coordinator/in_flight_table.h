// The query book: what is open, who waits for it, which attempts are out. Owned by the core's thread.
#ifndef LIFTRUDDER_COORDINATOR_IN_FLIGHT_TABLE_H_
#define LIFTRUDDER_COORDINATOR_IN_FLIGHT_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "coordinator/interfaces.h"

namespace liftrudder::coordinator {

struct InFlightAttempt {
  EndpointId endpoint;
  Micros sent_us = 0;
  Micros attempt_deadline_us = 0;
  bool out = true;
};

struct InFlightShardRequest {
  Id query = 0;
  int class_index = 0;
  ShardRequest request;
  std::shared_ptr<const Payload> payload;
  std::vector<InFlightAttempt> attempts;
  std::optional<std::string> value;
  bool over = false;  // its query has ended
};

struct InFlightQuery {
  std::shared_ptr<ClientReply> reply;
  Micros deadline_us = 0;
  Id first_part = 0;
  int shard_requests = 0;
};

class InFlightTable {
 public:
  void Open(Id id, const QueryRequest& request, std::shared_ptr<ClientReply> reply);
  const InFlightQuery* Query(Id id) const;
  InFlightShardRequest* ShardRequest(Id id);

  // Enters a new attempt; its number.
  int Begin(Id shard_request, InFlightShardRequest& entry, const InFlightAttempt& attempt);
  // Ends an attempt: the event for the module, or nothing when it had ended before.
  std::optional<routing::AttemptFinished> End(AttemptResult result, Micros now);
  // Attempts whose wait is over; each is named once.
  std::vector<std::pair<AttemptKey, EndpointId>> Expired(Micros now);
  Micros NextExpiry() const;

  // Takes the query out; the pieces that are in, by shard as the client asked for them.
  std::vector<ShardResponse> Close(Id id);
  bool Empty() const { return queries_.empty(); }

 private:
  void DropIfDone(std::map<Id, InFlightShardRequest>::iterator shard_request);

  std::map<Id, InFlightQuery> queries_;
  std::map<Id, InFlightShardRequest> shard_requests_;
  std::set<std::pair<Micros, AttemptKey>> expiries_;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_IN_FLIGHT_TABLE_H_
