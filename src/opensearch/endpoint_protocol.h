// How endpoints with the search API are called: one request at a time on a connection, one shard each. Any
// thread; a reader belongs to one connection.
#ifndef LIFTRUDDER_OPENSEARCH_ENDPOINT_PROTOCOL_H_
#define LIFTRUDDER_OPENSEARCH_ENDPOINT_PROTOCOL_H_

#include <string>

#include "net/endpoint_connection_pool.h"

namespace liftrudder::opensearch {

// The call ids of counts begin so; their answers carry a count in place of hits.
constexpr char kCountMark = 'c';

class SearchProtocol : public net::EndpointProtocol {
 public:
  std::string AttemptId(const coordinator::AttemptRequest& order) const override;
  std::string EncodeRequest(std::span<const coordinator::AttemptRequest* const> orders,
                            const std::string& endpoint, coordinator::Micros now_us) const override;
  // None: a search is cancelled by closing its connection.
  std::string EncodeCancellation(const std::string&) const override { return {}; }
  std::unique_ptr<net::ResponseReader> NewReader() const override;
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_ENDPOINT_PROTOCOL_H_
