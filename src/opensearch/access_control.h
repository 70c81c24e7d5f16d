// Confines a tenant to its own rows: its filter is put around whatever it searches, and what could reach past
// a filter is rejected by name. What is not known here is rejected too, since a filter that holds for most
// queries holds for none. Pure functions, any thread.
#ifndef LIFTRUDDER_OPENSEARCH_ACCESS_CONTROL_H_
#define LIFTRUDDER_OPENSEARCH_ACCESS_CONTROL_H_

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "opensearch/errors.h"

namespace liftrudder::opensearch {

// Reads the body once more, strictly; the error says what in it a confined tenant may not use.
std::optional<ApiError> CheckConfined(std::string_view body);

struct SearchQuery {
  std::string query;       // JSON; empty: all documents
  std::string parameters;  // of the URL, unread, each with an ampersand before it
};

// The query within `filter`, as endpoints get it. Parameters that hold a query are moved into it, since an
// endpoint lets them take the body's place.
tl::expected<SearchQuery, ApiError> Confine(const std::string& filter, const SearchQuery& search);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_ACCESS_CONTROL_H_
