// Keeps a tenant to its own rows: its filter goes round whatever it asks, and what could reach past a filter
// is refused by name. What is not known here is refused, since a filter that holds for most queries holds for
// none. Plain functions, any thread.
#ifndef LIFTRUDDER_OPENSEARCH_ACCESS_CONTROL_H_
#define LIFTRUDDER_OPENSEARCH_ACCESS_CONTROL_H_

#include <optional>
#include <string>
#include <string_view>

#include "opensearch/search.h"

namespace liftrudder::opensearch {

// Reads the body once more, strictly, and says what in it a confined tenant may not use.
std::optional<ApiError> CheckConfined(std::string_view body);

// The query as holders get it: `query` (empty: all) and what the query string asked, within `filter`.
// `parameters` are the raw ones, each with an ampersand before it; those that ask are taken out of them,
// since a holder lets them take the body's place.
std::optional<ApiError> Confine(const std::string& filter, std::string& query, std::string& parameters);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_ACCESS_CONTROL_H_
