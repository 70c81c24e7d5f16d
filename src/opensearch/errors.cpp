#include "opensearch/errors.h"

#include <fmt/format.h>

#include "net/json.h"

namespace liftrudder::opensearch {
namespace {

constexpr int kBadRequestStatus = 400;
constexpr int kUnauthorizedStatus = 401;
constexpr int kForbiddenStatus = 403;
constexpr int kNotFoundStatus = 404;
constexpr int kTooManyRequestsStatus = 429;
constexpr int kInternalErrorStatus = 500;
constexpr int kUnavailableStatus = 503;
constexpr int kGatewayTimeoutStatus = 504;

constexpr coordinator::Micros kSecondUs = 1'000'000;

}  // namespace

ApiError BadRequest(std::string reason) {
  return {kBadRequestStatus, wire::kIllegalArgument, std::move(reason), 0, false};
}

ApiError UnreadableBody(std::string reason) {
  return {kBadRequestStatus, wire::kParsing, std::move(reason), 0, false};
}

ApiError NoSuchIndex(const std::string& index) {
  return {kNotFoundStatus, wire::kIndexNotFound, fmt::format("no such index [{}]", index), 0, false};
}

ApiError NoSuchScroll(std::string reason) {
  return {kNotFoundStatus, wire::kScrollMissing, std::move(reason), 0, false};
}

ApiError Unauthorized() { return {kUnauthorizedStatus, wire::kSecurity, "unknown caller", 0, false}; }

ApiError Forbidden(std::string reason) {
  return {kForbiddenStatus, wire::kSecurity, std::move(reason), 0, false};
}

ApiError TooManyScrolls(coordinator::Micros retry_after_us) {
  return {kTooManyRequestsStatus, wire::kRejectedExecution, "too many scrolls are open", retry_after_us,
          false};
}

ApiError Rejected(coordinator::Micros retry_after_us) {
  return {kTooManyRequestsStatus, wire::kRejectedExecution, "not now: nothing of it counts, try again",
          retry_after_us, false};
}

ApiError DeadlineExceeded() {
  return {kGatewayTimeoutStatus, wire::kTimeout, "no sufficient answer came in time", 0, false};
}

ApiError Unavailable(std::string reason, coordinator::Micros retry_after_us) {
  return {kUnavailableStatus, wire::kSearchPhase, std::move(reason), retry_after_us, false};
}

ApiError UnusableHits() {
  return {kInternalErrorStatus, wire::kSearchPhase, "hits came without their sort values", 0, false};
}

std::string ErrorBody(const ApiError& error) {
  std::string cause =
      fmt::format(R"("type":{},"reason":{})", net::json::Quote(error.type), net::json::Quote(error.reason));
  return fmt::format(R"({{"error":{{"root_cause":[{{{}}}],{}}},"status":{}}})", cause, cause, error.status);
}

net::HttpResponse ErrorResponse(const ApiError& error) {
  net::HttpResponse response;
  response.status = error.status;
  response.close = error.close;
  response.body = ErrorBody(error);
  if (error.retry_after_us > 0) {
    // Whole seconds, rounded up, as the API's clients read no fractions.
    coordinator::Micros seconds = (error.retry_after_us + kSecondUs - 1) / kSecondUs;
    response.headers.emplace_back(wire::kRetryAfterHeader, fmt::format("{}", seconds));
  }
  return response;
}

}  // namespace liftrudder::opensearch
