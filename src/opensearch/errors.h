// Errors in the shape that clients of the search API know. Plain values and pure functions, any thread.
#ifndef LIFTRUDDER_OPENSEARCH_ERRORS_H_
#define LIFTRUDDER_OPENSEARCH_ERRORS_H_

#include <string>

#include "coordinator/interfaces.h"
#include "net/http.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {

struct ApiError {
  int status = 400;  // of HTTP
  std::string type = wire::kIllegalArgument;
  std::string reason;                      // for people: names what is at fault
  coordinator::Micros retry_after_us = 0;  // 0: none is stated
  bool close = false;                      // the connection ends with it
};

// 400: what was asked for is not supported, or not right.
ApiError BadRequest(std::string reason);
// 400: the body cannot be read.
ApiError UnreadableBody(std::string reason);
ApiError NoSuchIndex(const std::string& index);
ApiError NoSuchScroll(std::string reason);
ApiError Unauthorized();
ApiError Forbidden(std::string reason);
ApiError TooManyScrolls(coordinator::Micros retry_after_us);
// 429: rejected; nothing of the query counts against the client.
ApiError Rejected(coordinator::Micros retry_after_us);
// 504: no sufficient answer before the deadline.
ApiError DeadlineExceeded();
// 503: no sufficient answer.
ApiError Unavailable(std::string reason, coordinator::Micros retry_after_us = 0);
// 500: an endpoint's response cannot be merged.
ApiError UnusableHits();

std::string ErrorBody(const ApiError& error);
net::HttpResponse ErrorResponse(const ApiError& error);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_ERRORS_H_
