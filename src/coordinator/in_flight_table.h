// The queries, shard requests and attempts that are in flight, and the clients that wait for them. Keeps
// state only; the time is an argument. Used by the coordinator thread alone.
//
// A query is removed when it is answered or its client disconnects; its shard requests stay until their last
// attempt has ended, so that a late result still reaches the router.
#ifndef LIFTRUDDER_COORDINATOR_IN_FLIGHT_TABLE_H_
#define LIFTRUDDER_COORDINATOR_IN_FLIGHT_TABLE_H_

#include <compare>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordinator/interfaces.h"

namespace liftrudder::coordinator {

struct InFlightAttempt {
  EndpointId endpoint;
  Micros sent_us = 0;
  Micros attempt_deadline_us = 0;
  Micros latest_send_us = 0;  // AttemptRequest::latest_send_us
  bool in_flight = true;
};

struct InFlightShardRequest {
  Id id = 0;
  Id query = 0;
  int index = 0;  // within its query, from 0
  int class_index = 0;
  ShardRequest request;
  std::shared_ptr<const Payload> payload;
  std::vector<InFlightAttempt> attempts;  // by attempt number
  std::optional<std::string> response;    // of the first successful attempt
  bool query_removed = false;
};

struct InFlightQuery {
  std::shared_ptr<ClientReply> reply;
  Id first_shard_request = 0;
  int shard_requests = 0;
};

// An attempt whose deadline has passed.
struct ExpiredAttempt {
  AttemptKey key;
  EndpointId endpoint;
};

class InFlightTable {
 public:
  // Adds a query and its shard requests, which get the ids that follow `id`.
  void AddQuery(Id id, const QueryRequest& request, std::shared_ptr<ClientReply> reply);
  // Null when there is no such query; valid until the query is removed.
  const InFlightQuery* FindQuery(Id id) const;
  // Null when there is no such shard request; valid until it is dropped.
  InFlightShardRequest* FindShardRequest(Id id);

  // Adds an attempt and its deadline; returns the attempt's number.
  int AddAttempt(InFlightShardRequest& shard_request, const InFlightAttempt& attempt);
  // Ends an attempt and keeps its response if it is the shard request's first. Returns the event for the
  // router, or nullopt when the attempt is unknown or has ended before.
  std::optional<routing::AttemptFinished> FinishAttempt(AttemptResult result, Micros now_us);

  // Returns the attempts whose deadline has passed by `now_us`, each of them once.
  std::vector<ExpiredAttempt> TakeExpired(Micros now_us);
  // Returns the attempts in flight that had to be sent by `now_us`, before their deadline, each of them once;
  // whether they have been sent is unknown here.
  std::vector<AttemptKey> TakePastLatestSend(Micros now_us);
  // The earliest time that TakeExpired or TakePastLatestSend waits for; the largest Micros when there is
  // none.
  Micros NextExpiry() const;

  // Removes a query and returns the responses that have arrived, in the order of its shard requests.
  std::vector<ShardResponse> RemoveQuery(Id id);

 private:
  struct Expiry {
    Micros deadline_us = 0;
    AttemptKey key;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the defaulted operator for a comparison with 0.
    auto operator<=>(const Expiry&) const = default;
  };

  void DropIfFinished(std::map<Id, InFlightShardRequest>::iterator shard_request);

  std::map<Id, InFlightQuery> queries_;
  std::map<Id, InFlightShardRequest> shard_requests_;
  std::set<Expiry> expiries_;      // of attempts in flight that TakeExpired has not returned
  std::set<Expiry> latest_sends_;  // of attempts in flight that TakePastLatestSend has not returned
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_IN_FLIGHT_TABLE_H_
