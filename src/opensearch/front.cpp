#include "opensearch/front.h"

#include <algorithm>
#include <utility>

#include "net/explain_page.h"
#include "opensearch/routes.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

constexpr int kOverloadedStatus = 503;
constexpr int kBadRequestStatus = 400;
constexpr int kUnauthorizedStatus = 401;
constexpr int kTooManyRequestsStatus = 429;
constexpr coordinator::Micros kOverloadRetryUs = 1'000'000;

// Each tenant's equal share of the scrolls, so that rejections do not reveal how many scrolls others have
// open.
std::size_t MaxScrollsPerOwner(const Options& options, const identity::Authenticator* authenticator) {
  if (authenticator == nullptr) return options.max_scrolls;
  std::size_t tenants = authenticator->permission_table()->tenants.size();
  return std::max<std::size_t>(1, options.max_scrolls / tenants);
}

}  // namespace

Front::Front(const config::Config& config, const Options& options, coordinator::Coordinator& coordinator,
             const coordinator::Clock& clock, metrics::Counters& counters,
             decision_log::ExplainService* explain_service, identity::Authenticator* authenticator)
    : coordinator_(coordinator),
      counters_(counters),
      explain_service_(explain_service),
      authenticates_(authenticator != nullptr),
      retry_after_allowed_(config.settings.retry_after_allowed),
      access_(authenticator, clock, counters, config.seed),
      scrolls_(options, clock, config.seed, MaxScrollsPerOwner(options, authenticator)),
      queries_(config, coordinator, clock, counters, access_),
      operations_(options, queries_, scrolls_, clock) {}

net::HttpResponse Front::MalformedResponse(int status) {
  coordinator_.RecordIntake(decision_log::IntakeResult::kUnreadable, decision_log::FrontKind::kSearch,
                            decision_log::kUnknownClass, status, "");
  ApiError error = UnreadableBody("the request cannot be read");
  error.status = status;
  return ErrorResponse(error);
}

net::HttpResponse Front::OverloadedResponse(const net::HttpMessage* /*request*/) {
  coordinator_.RecordIntake(decision_log::IntakeResult::kTooManyConnections, decision_log::FrontKind::kSearch,
                            decision_log::kUnknownClass, kOverloadedStatus, "");
  return ErrorResponse(Unavailable("too many connections", kOverloadRetryUs));
}

net::HttpResponse Front::ShuttingDownResponse() {
  coordinator_.RecordIntake(decision_log::IntakeResult::kShuttingDown, decision_log::FrontKind::kSearch,
                            decision_log::kUnknownClass, kOverloadedStatus, "");
  return ErrorResponse(Unavailable("shutting down", retry_after_allowed_ ? kOverloadRetryUs : 0));
}

void Front::OnResponseWritten(const std::vector<net::AnsweredQuery>& answered_queries, int status,
                              std::size_t bytes, bool fully_written) {
  coordinator_.RecordResponse(answered_queries, status, bytes, fully_written);
}

std::optional<net::HttpResponse> Front::Handle(net::HttpMessage& request, const net::Exchange& exchange) {
  std::string_view path = request.Path();
  if (path == wire::kReadyPath && exchange.draining) return ErrorResponse(Unavailable("draining"));
  if (path == wire::kReadyPath || path == wire::kHealthyPath) return net::HttpResponse{};
  auto principal = access_.Authenticate(request, exchange);
  if (!principal) {
    net::HttpResponse response = ErrorResponse(principal.error());
    // The challenge of RFC 6750 section 3, without the reason of the failure.
    if (response.status == kUnauthorizedStatus) {
      response.headers.emplace_back(wire::kAuthenticateHeader, "Bearer");
    }
    return response;
  }
  if (auto page = ServePage(path, request, *principal)) return page;
  auto route = FindRoute(request);
  if (!route) return Respond(tl::unexpected(QueryFailure(route.error())), request, exchange);
  return Respond(operations_.Run(*route, {request, exchange, *principal}), request, exchange);
}

// Returns none when the path is not a page's.
std::optional<net::HttpResponse> Front::ServePage(std::string_view path, const net::HttpMessage& request,
                                                  const Principal& principal) {
  if (authenticates_ && path.starts_with(wire::kPagePrefix) && !principal.permissions->pages) {
    return ErrorResponse(Forbidden("no pages"));
  }
  if (path == wire::kExplainPath) return net::ExplainPage(explain_service_, request);
  if (path != wire::kMetricsPath) return std::nullopt;
  net::HttpResponse response;
  response.content_type = "text/plain";
  response.body = counters_.Text();
  return response;
}

std::optional<net::HttpResponse> Front::Respond(OperationResult result, const net::HttpMessage& request,
                                                const net::Exchange& exchange) {
  if (result) {
    net::HttpResponse response;
    response.body = std::move(*result);
    return response;
  }
  if (result.error().kind == QueryFailure::Kind::kClientDisconnected) return std::nullopt;
  const ApiError& error = result.error().error;
  RecordMalformed(error, request, exchange);
  return ErrorResponse(error);
}

void Front::RecordMalformed(const ApiError& error, const net::HttpMessage& request,
                            const net::Exchange& exchange) {
  if (error.status == kBadRequestStatus) counters_.malformed_requests.Add();
  // The coordinator has already recorded the queries that reached it.
  bool malformed = error.status >= kBadRequestStatus && error.status < kTooManyRequestsStatus;
  if (!malformed || !exchange.answered_queries->empty()) return;
  const std::string* label = request.Header(wire::kOpaqueIdHeader);
  coordinator_.RecordIntake(decision_log::IntakeResult::kMalformed, decision_log::FrontKind::kSearch,
                            decision_log::kUnknownClass, error.status, label == nullptr ? "" : *label);
}

}  // namespace liftrudder::opensearch
