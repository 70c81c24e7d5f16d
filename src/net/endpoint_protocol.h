// The protocol that is spoken with endpoints: how attempts are encoded as requests and how responses are
// decoded. It does no I/O and owns no connection. The connection pool calls it from several threads, always
// under the pool's lock; a ResponseReader belongs to one connection.
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
  std::vector<double> load;  // the load report, in the order that the protocol was configured with
  std::string value;
};

// Decodes the responses of one connection incrementally.
class ResponseReader {
 public:
  virtual ~ResponseReader() = default;
  // Removes complete responses from the front of `in` and appends them to `out`. Returns false when the bytes
  // violate the protocol. `oldest` is the id of the attempt longest in flight on this connection, for
  // protocols whose responses carry no id; empty when none is in flight.
  virtual bool Take(std::string& in, const std::string& oldest, std::vector<EndpointResponse>& out) = 0;
  // The endpoint closed the connection: appends the response that this completes, if there is one.
  virtual void End(const std::string& /*oldest*/, std::vector<EndpointResponse>& /*out*/) {}
};

class EndpointProtocol {
 public:
  virtual ~EndpointProtocol() = default;
  // The id that requests, cancellations and responses of this attempt carry on a connection.
  virtual std::string AttemptId(const coordinator::AttemptRequest& request) const = 0;
  // One frame that requests all of these attempts; there are more than one only where
  // ConnectionLimits::max_requests_per_call allows it. `endpoint` is the endpoint's HOST:PORT.
  virtual std::string EncodeRequest(std::span<const coordinator::AttemptRequest* const> requests,
                                    const std::string& endpoint, coordinator::Micros now_us) const = 0;
  // The frame that cancels an attempt. Empty where the protocol has none and an attempt is cancelled by
  // closing its connection.
  virtual std::string EncodeCancellation(const std::string& id) const = 0;
  virtual std::unique_ptr<ResponseReader> NewReader() const = 0;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ENDPOINT_PROTOCOL_H_
