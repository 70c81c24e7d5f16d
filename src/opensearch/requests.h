// Reads clients' count, scroll and multi-search requests; search.h reads searches. Pure functions, any
// thread.
#ifndef LIFTRUDDER_OPENSEARCH_REQUESTS_H_
#define LIFTRUDDER_OPENSEARCH_REQUESTS_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "coordinator/interfaces.h"
#include "net/http.h"
#include "opensearch/errors.h"

namespace liftrudder::opensearch {

// The request that is sent to each shard.
struct ShardCall {
  std::string target;  // path and parameters
  std::string body;
};

// `filter`: a query that restricts the documents counted; empty: none.
tl::expected<ShardCall, ApiError> ReadCount(const net::HttpMessage& request, const std::string& index,
                                            const std::string& filter);

struct ScrollRequest {
  std::string id;
  coordinator::Micros keep_alive_us = 0;  // 0: keeps the scroll's present value
};
tl::expected<ScrollRequest, ApiError> ReadScroll(const net::HttpMessage& request);

// Returns the ids of the scrolls to delete, at least one.
tl::expected<std::vector<std::string>, ApiError> ReadScrollIds(const net::HttpMessage& request);

// One search of a multi-search: views of two lines of the request's body, valid as long as the body is.
struct MultiSearchItem {
  std::string_view header;
  std::string_view body;
};
tl::expected<std::vector<MultiSearchItem>, ApiError> ReadMultiSearch(const net::HttpMessage& request);
// Returns the index that the item's header names, or else the path's.
tl::expected<std::string, ApiError> ReadItemIndex(std::string_view header, const std::string& path_index);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_REQUESTS_H_
