// Finds the operation of the search API that a request asks for. Pure functions, any thread.
#ifndef LIFTRUDDER_OPENSEARCH_ROUTES_H_
#define LIFTRUDDER_OPENSEARCH_ROUTES_H_

#include <string>
#include <tl/expected.hpp>

#include "net/http.h"
#include "opensearch/errors.h"

namespace liftrudder::opensearch {

enum class Operation { kSearch, kCount, kMultiSearch, kScroll, kDeleteScroll };

struct Route {
  Operation operation = Operation::kSearch;
  std::string index;  // from the path; empty when the path names none
};

// Fails for an unsupported request; the error names its method and path.
tl::expected<Route, ApiError> FindRoute(const net::HttpMessage& request);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_ROUTES_H_
