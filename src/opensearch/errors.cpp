#include "opensearch/errors.h"

#include <fmt/format.h>

#include "net/json.h"

namespace liftrudder::opensearch {

ApiError BadRequest(std::string reason) {
  return {400, "illegal_argument_exception", std::move(reason), 0, false};
}
ApiError NoSuchIndex(const std::string& index) {
  return {404, "index_not_found_exception", "no such index [" + index + "]", 0, false};
}
ApiError Forbidden(std::string reason) { return {403, "security_exception", std::move(reason), 0, false}; }
ApiError Busy(coordinator::Micros retry_after_us) {
  return {429, "rejected_execution_exception", "not now: nothing of it counts, try again", retry_after_us,
          false};
}
ApiError OutOfTime() { return {504, "timeout_exception", "no sufficient answer came in time", 0, false}; }
ApiError Unanswered(std::string reason) {
  return {503, "search_phase_execution_exception", std::move(reason), 0, false};
}

std::string ErrorBody(const ApiError& error) {
  std::string cause =
      fmt::format("\"type\":{},\"reason\":{}", net::json::Quote(error.type), net::json::Quote(error.reason));
  return fmt::format("{{\"error\":{{\"root_cause\":[{{{}}}],{}}},\"status\":{}}}", cause, cause,
                     error.status);
}

net::HttpResponse ErrorResponse(const ApiError& error) {
  net::HttpResponse out;
  out.status = error.status;
  out.close = error.close;
  out.body = ErrorBody(error);
  if (error.retry_after_us > 0) {
    // Whole seconds: the API's clients read nothing finer.
    out.headers.emplace_back("Retry-After", fmt::format("{}", (error.retry_after_us + 999'999) / 1'000'000));
  }
  return out;
}

}  // namespace liftrudder::opensearch
