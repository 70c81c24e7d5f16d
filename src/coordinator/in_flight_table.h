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

struct OpenAttempt {
  ReplicaId holder;
  Micros sent_us = 0;
  Micros wait_until_us = 0;
  bool out = true;
};

struct OpenPart {
  Id query = 0;
  int class_index = 0;
  PartRequest request;
  std::shared_ptr<const Payload> payload;
  std::vector<OpenAttempt> attempts;
  std::optional<std::string> value;
  bool over = false;  // its query has ended
};

struct OpenQuery {
  std::shared_ptr<ClientReply> reply;
  Micros deadline_us = 0;
  Id first_part = 0;
  int parts = 0;
};

class Book {
 public:
  void Open(Id id, const QueryRequest& request, std::shared_ptr<ClientReply> reply);
  const OpenQuery* Query(Id id) const;
  OpenPart* Part(Id id);

  // Enters a new attempt; its number.
  int Begin(Id part, OpenPart& entry, const OpenAttempt& attempt);
  // Ends an attempt: the event for the module, or nothing when it had ended before.
  std::optional<routing::AttemptEnded> End(AttemptResult result, Micros now);
  // Attempts whose wait is over; each is named once.
  std::vector<std::pair<AttemptKey, ReplicaId>> Expired(Micros now);
  Micros NextExpiry() const;

  // Takes the query out; the pieces that are in, by shard as the client asked for them.
  std::vector<Piece> Close(Id id);
  bool Empty() const { return queries_.empty(); }

 private:
  void DropIfDone(std::map<Id, OpenPart>::iterator part);

  std::map<Id, OpenQuery> queries_;
  std::map<Id, OpenPart> parts_;
  std::set<std::pair<Micros, AttemptKey>> expiries_;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_IN_FLIGHT_TABLE_H_
