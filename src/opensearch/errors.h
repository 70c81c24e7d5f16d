// Errors in the shape that clients of the search API know.
#ifndef LIFTRUDDER_OPENSEARCH_ERRORS_H_
#define LIFTRUDDER_OPENSEARCH_ERRORS_H_

#include <string>

#include "coordinator/interfaces.h"
#include "net/http.h"

namespace liftrudder::opensearch {

struct ApiError {
  int status = 400;
  std::string type = "illegal_argument_exception";
  std::string reason;
  coordinator::Micros retry_after_us = 0;
  bool close = false;  // the connection ends with it
};

ApiError BadRequest(std::string reason);
ApiError NoSuchIndex(const std::string& index);
ApiError Forbidden(std::string reason);
ApiError Busy(coordinator::Micros retry_after_us);
ApiError OutOfTime();
ApiError Unanswered(std::string reason);

std::string ErrorBody(const ApiError& error);
net::HttpResponse ErrorResponse(const ApiError& error);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_ERRORS_H_
