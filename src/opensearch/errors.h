// Errors of the search API in OpenSearch's format. Plain values and pure functions, any thread.
#ifndef LIFTRUDDER_OPENSEARCH_ERRORS_H_
#define LIFTRUDDER_OPENSEARCH_ERRORS_H_

#include <string>

#include "coordinator/interfaces.h"
#include "net/http.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {

struct ApiError {
  int status = 400;  // HTTP status
  std::string type = wire::kIllegalArgument;
  std::string reason;                      // for people: names the member or value at fault
  coordinator::Micros retry_after_us = 0;  // 0: no Retry-After header
  bool close = false;                      // closes the connection after the response
};

// 400: the request is invalid or asks for something that is not supported.
ApiError BadRequest(std::string reason);
// 400: the body cannot be parsed.
ApiError UnreadableBody(std::string reason);
ApiError NoSuchIndex(const std::string& index);
ApiError NoSuchScroll(std::string reason);
ApiError Unauthorized();
ApiError Forbidden(std::string reason);
ApiError TooManyScrolls(coordinator::Micros retry_after_us);
// 429: rejected by a quota or by the coordinator; the client may retry.
ApiError Rejected(coordinator::Micros retry_after_us);
// 504: no sufficient answer before the deadline.
ApiError DeadlineExceeded();
// 503: overloaded, draining, or too few shards answered.
ApiError Unavailable(std::string reason, coordinator::Micros retry_after_us = 0);
// 500: an endpoint's hits cannot be merged, as they lack sort values.
ApiError UnusableHits();

std::string ErrorBody(const ApiError& error);
net::HttpResponse ErrorResponse(const ApiError& error);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_ERRORS_H_
