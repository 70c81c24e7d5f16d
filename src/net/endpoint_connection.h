// The state of one pooled connection to an endpoint and of the queue of attempts for one endpoint. Plain data
// with queries on it; no I/O and no policy. Guarded by the pool's lock.
#ifndef LIFTRUDDER_NET_ENDPOINT_CONNECTION_H_
#define LIFTRUDDER_NET_ENDPOINT_CONNECTION_H_

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "net/attempt_registry.h"
#include "net/endpoint_protocol.h"
#include "net/socket.h"

namespace liftrudder::net {

// The attempts for one endpoint that have no connection yet, and the endpoint's connections.
struct EndpointQueue {
  coordinator::EndpointId endpoint;
  std::deque<coordinator::AttemptKey> staged;   // started in the current round
  std::deque<coordinator::AttemptKey> pending;  // of earlier rounds; the front is sent first
  std::vector<ConnectionId> connections;
  int connecting = 0;                 // how many of the connections are not established yet
  bool waiting_for_capacity = false;  // listed in RequestDispatcher's waiting_endpoints_
  bool slow_connect = false;          // the newest connection was slow to establish, or failed
};

struct InFlightRequest {
  std::string id;  // EndpointProtocol::AttemptId
  coordinator::AttemptKey key;
};

struct EndpointConnection {
  EndpointQueue* queue = nullptr;  // outlives the connection
  Fd fd;
  std::string addr;                // HOST:PORT that it was opened to
  Micros endpoint_started_us = 0;  // start time of the process that was listed there then
  bool established = false;
  Micros connect_started_us = 0;
  Micros last_used_us = 0;      // a request was added or a response completed
  Micros last_received_us = 0;  // any byte arrived

  std::deque<InFlightRequest> in_flight;  // including those in the frame being written; oldest first
  std::deque<std::string> abandoned_ids;  // of attempts that ended while their response could still arrive
  bool retired = false;                   // too many abandoned ids: it takes no new requests
  std::deque<std::string> rejected_ids;   // of the last attempts that were rejected

  std::unique_ptr<ResponseReader> reader;
  std::string received;  // bytes of a response that is not complete

  // The frame being written. `frame_attempts` lists the attempts of a request frame, which is encoded again
  // from them before each write until its first byte is written. Cancellations are written after it.
  std::string frame;
  std::size_t written_bytes = 0;
  std::vector<coordinator::AttemptKey> frame_attempts;
  Micros write_deadline_us = 0;
  std::deque<std::string> cancellations;
  bool write_interest = false;  // the poller reports when it becomes writable

  bool IsWriting() const { return !frame.empty() || !frame_attempts.empty(); }
  // Whether the first byte of this attempt's request has been written.
  bool RequestStarted(const coordinator::AttemptKey& key) const;
  // Whether a response with this id may still arrive for an earlier request: the request is unanswered, or a
  // second copy of its response follows. The id must not be used again here, since that response could be
  // taken for the new request's: one that reports a rejection would let a request that runs be sent again.
  bool MayReceiveResponse(const std::string& id) const;
  // Records that the request with this id was rejected without being run.
  void RecordRejected(std::string id);
  // Whether bytes have been received that belong to no request: a frame that has begun although no response
  // is due. A response to the next request would be decoded as the rest of it.
  bool HasUnrequestedBytes() const { return !received.empty() && in_flight.empty() && abandoned_ids.empty(); }
  void RemoveInFlight(const coordinator::AttemptKey& key);
  // Records that the response to `id` is no longer wanted. It may arrive late or never, so a connection with
  // many abandoned responses is retired.
  void AbandonResponse(std::string id);
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ENDPOINT_CONNECTION_H_
