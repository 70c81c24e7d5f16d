// Reads clients' searches and writes the search that each shard gets. Pure functions, any thread.
#ifndef LIFTRUDDER_OPENSEARCH_SEARCH_H_
#define LIFTRUDDER_OPENSEARCH_SEARCH_H_

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "net/http.h"
#include "opensearch/errors.h"
#include "opensearch/options.h"

namespace liftrudder::opensearch {

struct SortKey {
  std::string text;  // the element of the sort array, as sent to endpoints
  bool descending = false;
  bool missing_first = false;
};

struct Search {
  std::int64_t from = 0, size = 10;
  std::vector<SortKey> sort;
  bool by_score = true;      // the client requested no sort
  std::string search_after;  // a JSON array, or empty
  std::string query;         // JSON, forwarded unchanged or within the tenant's filter; empty: none
  std::string forwarded;     // other members, forwarded unchanged, each preceded by a comma
  std::string parameters;    // URL parameters to forward, each preceded by an ampersand
  bool allow_partial = true;
  coordinator::Micros keep_alive_us = 0;  // above 0: opens a scroll
};

// Reads the search from the URL's parameters and the body; the error names what is invalid or not supported.
// A `filter` is a query that restricts the search to the documents it matches; empty: none.
tl::expected<Search, ApiError> ReadSearch(const net::HttpMessage& request, std::string_view body,
                                          const Options& options, const std::string& filter);
// Reads a duration such as "30s", "2m", "500ms" or "1h".
std::optional<coordinator::Micros> ReadDuration(std::string_view text);
// Returns the body that each shard gets: it asks for all hits up to the page's end and states the whole sort.
std::string ShardBody(const Search& search);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_SEARCH_H_
