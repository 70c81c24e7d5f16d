// A search as a client asked for it, and as each shard is asked.
#ifndef LIFTRUDDER_OPENSEARCH_SEARCH_H_
#define LIFTRUDDER_OPENSEARCH_SEARCH_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http.h"
#include "opensearch/errors.h"
#include "opensearch/options.h"

namespace liftrudder::opensearch {

struct SortKey {
  std::string text;  // the element as it goes to holders
  bool descending = false;
  bool missing_first = false;
};

struct Search {
  std::int64_t from = 0, size = 10;
  std::vector<SortKey> sort;
  bool by_score = true;      // no sort was asked for
  std::string search_after;  // an array's text, or empty
  std::string query;         // goes on unchanged, but for a confined tenant; empty: none
  std::string passed;        // the other members that go on unchanged, each with a comma before it
  std::string parameters;    // the same of the query string, each with an ampersand before it
  bool allow_partial = true;
  coordinator::Micros keep_alive_us = 0;  // above 0: a scroll is opened
};

// Reads URL and body into `out`; an error says what is not supported or not right. With a `filter`, a query,
// the search is confined to what that lets through.
std::optional<ApiError> ReadSearch(const net::HttpMessage& request, std::string_view body,
                                   const Options& options, const std::string& filter, Search& out);
// "30s", "2m", "500ms", "1h".
std::optional<coordinator::Micros> ReadSpan(std::string_view text);
// The body that each shard gets: all hits up to the page's end, with the sort spelled out.
std::string ShardBody(const Search& search);

using net::Unescape;

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_SEARCH_H_
