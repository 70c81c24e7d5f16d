// Document-level access control: restricts a tenant's searches to the documents that its filter matches.
// Rejects by name what could bypass the filter, and everything that is not on an allow-list, as one query
// that bypasses the filter exposes all documents. Pure functions, any thread.
#ifndef LIFTRUDDER_OPENSEARCH_ACCESS_CONTROL_H_
#define LIFTRUDDER_OPENSEARCH_ACCESS_CONTROL_H_

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "opensearch/errors.h"

namespace liftrudder::opensearch {

// Checks the body of a restricted tenant's request, parsed strictly; the error names what in it the tenant
// may not use.
std::optional<ApiError> CheckRestricted(std::string_view body);

struct SearchQuery {
  std::string query;       // JSON; empty: all documents
  std::string parameters;  // of the URL, still escaped, each preceded by an ampersand
};

// Returns the query combined with `filter`, as sent to endpoints. A query in the URL's parameters is moved
// into it, since an endpoint would run that instead of the body's query, without the filter.
tl::expected<SearchQuery, ApiError> RestrictQuery(const std::string& filter, const SearchQuery& search);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_ACCESS_CONTROL_H_
