// A search as a client asks for it, and as each shard is asked. Pure functions, any thread.
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
  std::string text;  // the element as it goes to endpoints
  bool descending = false;
  bool missing_first = false;
};

struct Search {
  std::int64_t from = 0, size = 10;
  std::vector<SortKey> sort;
  bool by_score = true;      // no sort was asked for
  std::string search_after;  // an array's text, or empty
  std::string query;         // JSON, forwarded unchanged but for a confined tenant; empty: none
  std::string forwarded;     // the other members that are forwarded unchanged, each with a comma before it
  std::string parameters;    // the same of the URL, each with an ampersand before it
  bool allow_partial = true;
  coordinator::Micros keep_alive_us = 0;  // above 0: a scroll is opened
};

// The search that URL and body ask for; the error says what is not supported or not right. With a `filter`, a
// query, the search is confined to what that matches.
tl::expected<Search, ApiError> ReadSearch(const net::HttpMessage& request, std::string_view body,
                                          const Options& options, const std::string& filter);
// A span such as "30s", "2m", "500ms" or "1h".
std::optional<coordinator::Micros> ReadSpan(std::string_view text);
// The body that each shard gets: all hits up to the page's end, with the sort spelled out.
std::string ShardBody(const Search& search);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_SEARCH_H_
