// Which operation of the search API a request asks for. Pure, any thread.
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
  std::string index;  // as the path names it; empty where it names none
};

// The error names method and path.
tl::expected<Route, ApiError> FindRoute(const net::HttpMessage& request);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_ROUTES_H_
