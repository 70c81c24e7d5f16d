// The protocol to endpoints that speak the search API: HTTP, with one request at a time on a connection and
// one shard in each request. Each request carries its attempt's id as X-Opaque-Id, which servers of this API
// repeat in the response; a connection whose response lacks it is closed. Any thread; a reader belongs to
// one connection.
#ifndef LIFTRUDDER_OPENSEARCH_ENDPOINT_PROTOCOL_H_
#define LIFTRUDDER_OPENSEARCH_ENDPOINT_PROTOCOL_H_

#include <string>

#include "net/endpoint_connection_pool.h"

namespace liftrudder::opensearch {

// The first character of the call ids of counts, whose responses carry a count in place of hits.
constexpr char kCountIdPrefix = 'c';

class SearchProtocol : public net::EndpointProtocol {
 public:
  std::string AttemptId(const coordinator::AttemptRequest& request) const override;
  std::string EncodeRequest(std::span<const coordinator::AttemptRequest* const> requests,
                            const std::string& endpoint, coordinator::Micros now_us) const override;
  // Empty: a search is cancelled by closing its connection.
  std::string EncodeCancellation(const std::string&) const override { return {}; }
  std::unique_ptr<net::ResponseReader> NewReader() const override;
  bool MatchesResponsesByOrder() const override { return true; }
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_ENDPOINT_PROTOCOL_H_
