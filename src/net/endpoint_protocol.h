// The protocol between coordinator and endpoints: encodes attempts as requests and decodes responses. No I/O.
// The connection pool calls it from several threads, always under the pool's lock; each connection has its
// own ResponseReader.
#ifndef LIFTRUDDER_NET_ENDPOINT_PROTOCOL_H_
#define LIFTRUDDER_NET_ENDPOINT_PROTOCOL_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "coordinator/interfaces.h"

namespace liftrudder::net {

// One decoded response.
struct EndpointResponse {
  std::string id;  // EndpointProtocol::AttemptId of the attempt that it answers
  coordinator::Cause cause = coordinator::Cause::kServed;
  std::vector<double> load;  // the load report, in the order that was configured for the protocol
  std::string value;
};

// What the bytes received on a connection mean for its further use.
enum class DecodeStatus {
  kOk,            // it carries more requests
  kLastResponse,  // the endpoint closes it after the response that was decoded
  // The response does not name its request: a second copy of it could be mistaken for the response to the
  // next request on this connection.
  kUnnamed,
  // Violations of the protocol: nothing else on the connection can be trusted.
  kMalformed,    // the bytes are no response
  kUnrequested,  // the bytes answer no request in flight, or follow the response to the only one
  kMisnamed,     // the response names another request than the one in flight
};

constexpr bool IsViolation(DecodeStatus status) {
  switch (status) {
    case DecodeStatus::kOk:
    case DecodeStatus::kLastResponse:
    case DecodeStatus::kUnnamed:
      return false;
    case DecodeStatus::kMalformed:
    case DecodeStatus::kUnrequested:
    case DecodeStatus::kMisnamed:
      break;
  }
  return true;
}

// Decodes the responses of one connection incrementally.
class ResponseReader {
 public:
  virtual ~ResponseReader() = default;
  // Removes complete responses from the front of `in` and appends them to `out`, those before a violation
  // included. `oldest` is the id of the attempt longest in flight on this connection, for protocols whose
  // responses carry no id; empty when none is in flight.
  virtual DecodeStatus Decode(std::string& in, const std::string& oldest,
                              std::vector<EndpointResponse>& out) = 0;
  // Called when the endpoint has closed the connection: appends the response that this completes, if any.
  virtual DecodeStatus End(const std::string& /*oldest*/, std::vector<EndpointResponse>& /*out*/) {
    return DecodeStatus::kOk;
  }
};

class EndpointProtocol {
 public:
  virtual ~EndpointProtocol() = default;
  // The id that requests, cancellations and responses of this attempt carry on a connection.
  virtual std::string AttemptId(const coordinator::AttemptRequest& request) const = 0;
  // Encodes all of these attempts as one frame; there is more than one only where
  // ConnectionLimits::max_requests_per_call allows it. `endpoint` is the endpoint's HOST:PORT.
  virtual std::string EncodeRequest(std::span<const coordinator::AttemptRequest* const> requests,
                                    const std::string& endpoint, coordinator::Micros now_us) const = 0;
  // The frame that cancels an attempt. Empty if the protocol has no such frame and cancels an attempt by
  // closing its connection.
  virtual std::string EncodeCancellation(const std::string& id) const = 0;
  virtual std::unique_ptr<ResponseReader> NewReader() const = 0;
  // Whether a response may leave out the name of its request and then belongs to the only one in flight.
  // Bytes that have arrived before a request is written could be taken for its response.
  virtual bool MatchesResponsesByOrder() const = 0;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ENDPOINT_PROTOCOL_H_
