#include "net/explain_page.h"

#include <fmt/format.h>

namespace liftrudder::net {

HttpResponse ExplainPage(decision_log::ExplainService* explain_service, const HttpMessage& request) {
  HttpResponse out;
  out.type = "text/plain";
  if (explain_service == nullptr) {
    out.status = 404;
    out.body = "the record of decisions is off (why.bytes is 0)\n";
    return out;
  }
  if (request.method != "GET") {
    out.status = 405;
    out.body = "only GET\n";
    return out;
  }
  decision_log::Reply reply = explain_service->Ask(request.Parameters());
  out.status = reply.status;
  if (reply.json) out.type = "application/json";
  if (reply.retry_after_us > 0)
    out.headers.emplace_back("Retry-After",
                             fmt::format("{:.3f}", static_cast<double>(reply.retry_after_us) / 1e6));
  out.body = std::move(reply.body);
  return out;
}

}  // namespace liftrudder::net
