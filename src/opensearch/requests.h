// Reads counts, scrolls and multi-searches as clients ask for them; search.h reads searches. Pure, any
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

// A request as each shard gets it.
struct ShardCall {
  std::string target;  // path and parameters
  std::string body;
};

// `filter`: a query that the count is confined to; empty: none.
tl::expected<ShardCall, ApiError> ReadCount(const net::HttpMessage& request, const std::string& index,
                                            const std::string& filter);

struct ScrollRequest {
  std::string id;
  coordinator::Micros keep_alive_us = 0;  // 0: as before
};
tl::expected<ScrollRequest, ApiError> ReadScroll(const net::HttpMessage& request);

// The ids of scrolls to delete, never none.
tl::expected<std::vector<std::string>, ApiError> ReadScrollIds(const net::HttpMessage& request);

// One search of a multi-search: two lines of the request's body, valid as long as that is.
struct MultiSearchItem {
  std::string_view header;
  std::string_view body;
};
tl::expected<std::vector<MultiSearchItem>, ApiError> ReadMultiSearch(const net::HttpMessage& request);
// The index that a header names, or else the path's.
tl::expected<std::string, ApiError> ReadItemIndex(std::string_view header, const std::string& path_index);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_REQUESTS_H_
