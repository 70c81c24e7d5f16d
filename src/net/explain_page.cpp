#include "net/explain_page.h"

#include <fmt/format.h>

namespace liftrudder::net {

HttpResponse ExplainPage(decision_log::ExplainService* explain_service, const HttpMessage& request) {
  constexpr double kMicrosPerSecond = 1e6;
  HttpResponse response;
  response.content_type = "text/plain";
  if (explain_service == nullptr) {
    response.status = 404;
    response.body = "the record of decisions is off (why.bytes is 0)\n";
    return response;
  }
  if (request.method != "GET") {
    response.status = 405;
    response.body = "only GET\n";
    return response;
  }
  decision_log::Reply reply = explain_service->Ask(request.Parameters());
  response.status = reply.status;
  if (reply.json) response.content_type = "application/json";
  if (reply.retry_after_us > 0) {
    double seconds = static_cast<double>(reply.retry_after_us) / kMicrosPerSecond;
    response.headers.emplace_back("Retry-After", fmt::format("{:.3f}", seconds));
  }
  response.body = std::move(reply.body);
  return response;
}

}  // namespace liftrudder::net
