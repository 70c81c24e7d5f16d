#include "platform/query_handler.h"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <string_view>
#include <utility>

#include "net/explain_page.h"
#include "net/json.h"
#include "platform/query_request.h"
#include "platform/wire_names.h"

namespace liftrudder::platform {
namespace {

namespace json = net::json;

// A worker without an answer responds with an error this long before the client's timeout, so that the
// response still arrives in time.
constexpr coordinator::Micros kDeadlineMarginUs = 5'000;
constexpr coordinator::Micros kBusyRetryUs = 200'000;
constexpr double kMicrosPerSecond = 1e6;
constexpr char kUnreadableText[] = "the request cannot be read";

net::HttpResponse ErrorResponse(int status, std::string_view text) {
  net::HttpResponse response;
  response.status = status;
  response.body = fmt::format(R"({{"{}":{}}})", wire::kError, json::Quote(text));
  return response;
}

// Omits the Retry-After header when `retry_after_us` is 0.
net::HttpResponse ErrorResponse(int status, coordinator::Micros retry_after_us, std::string_view text) {
  net::HttpResponse response = ErrorResponse(status, text);
  if (retry_after_us > 0) {
    double seconds = static_cast<double>(retry_after_us) / kMicrosPerSecond;
    response.headers.emplace_back("Retry-After", fmt::format("{:.3f}", seconds));
  }
  return response;
}

net::HttpResponse ResultResponse(const coordinator::FinalAnswer& answer) {
  net::HttpResponse response;
  response.body = fmt::format(R"({{"{}":{},"{}":[)", wire::kComplete, answer.complete, wire::kShardResponses);
  const char* separator = "";
  for (const coordinator::ShardResponse& shard_response : answer.shard_responses) {
    fmt::format_to(std::back_inserter(response.body), R"({}{{"{}":{},"{}":{}}})", separator, wire::kShard,
                   shard_response.shard, wire::kValue, json::Quote(shard_response.value));
    separator = ",";
  }
  response.body += "]}";
  return response;
}

net::HttpResponse FinalResponse(const coordinator::FinalAnswer& answer) {
  switch (answer.verdict) {
    case coordinator::Verdict::kAnswered:
      return ResultResponse(answer);
    case coordinator::Verdict::kRejected:
      return ErrorResponse(429, answer.retry_after_us, "not now");
    case coordinator::Verdict::kFailed:
      break;
  }
  return ErrorResponse(504, "the query failed");
}

}  // namespace

net::HttpResponse QueryHandler::MalformedResponse(int status) {
  coordinator_.RecordIntake(decision_log::IntakeResult::kUnreadable, decision_log::FrontKind::kPlatform,
                            decision_log::kUnknownClass, status, "");
  return ErrorResponse(status, kUnreadableText);
}

net::HttpResponse QueryHandler::OverloadedResponse(const net::HttpMessage* request) {
  constexpr int kStatus = 503;
  const std::string* header = request == nullptr ? nullptr : request->Header(wire::kClassHeader);
  if (header != nullptr) metrics::OperatorFigures::CountResponse(figures_.FindClass(*header), kStatus);
  coordinator_.RecordIntake(decision_log::IntakeResult::kTooManyConnections,
                            decision_log::FrontKind::kPlatform, decision_log::kUnknownClass, kStatus, "");
  return ErrorResponse(kStatus, kBusyRetryUs, "too many connections");
}

net::HttpResponse QueryHandler::ShuttingDownResponse() {
  constexpr int kStatus = 503;
  coordinator_.RecordIntake(decision_log::IntakeResult::kShuttingDown, decision_log::FrontKind::kPlatform,
                            decision_log::kUnknownClass, kStatus, "");
  const bool retry_after_allowed = config_.settings.retry_after_allowed;
  return ErrorResponse(kStatus, retry_after_allowed ? kBusyRetryUs : 0, "shutting down");
}

void QueryHandler::OnResponseWritten(const std::vector<net::AnsweredQuery>& answered_queries, int status,
                                     std::size_t bytes, bool fully_written) {
  coordinator_.RecordResponse(answered_queries, status, bytes, fully_written);
}

std::optional<net::HttpResponse> QueryHandler::Handle(net::HttpMessage& request,
                                                      const net::Exchange& exchange) {
  const std::string_view path = request.Path();
  if (path == wire::kReadyPath && exchange.draining) return ErrorResponse(503, "draining");
  if (path == wire::kReadyPath || path == wire::kHealthyPath) return net::HttpResponse{};
  if (path == wire::kCountersPath) {
    net::HttpResponse response;
    response.content_type = "text/plain";
    response.body = counters_.Text();
    return response;
  }
  if (path == wire::kExplainPath) return net::ExplainPage(explain_service_, request);
  if (path != wire::kQueryPath) return ErrorResponse(404, "no such path");
  if (request.method != "POST") return ErrorResponse(405, "only POST");
  return HandleQuery(request, exchange);
}

std::optional<net::HttpResponse> QueryHandler::HandleQuery(net::HttpMessage& request,
                                                           const net::Exchange& exchange) {
  auto query = ReadQueryRequest(request, exchange.received_us, exchange.reply_waiter->client(), config_);
  if (!query) {
    return RejectAtIntake(request, decision_log::IntakeResult::kMalformed,
                          ErrorResponse(400, kUnreadableText));
  }
  // The query has its own copy of what it needs, so the body is freed before the wait for the answer.
  request.body = std::string();
  const std::string call_id = query->payload->call_id;
  const coordinator::Micros client_waits_until_us = ClientWaitsUntilUs(*query);
  if (!call_ids_.Reserve(call_id, clock_.Now())) {
    return RejectAtIntake(request, decision_log::IntakeResult::kDuplicateId,
                          ErrorResponse(409, "a query with this id is open, or its client has left"));
  }
  metrics::OperatorFigures::ClassFigures* class_figures = figures_.FindClass(query->class_index);
  figures_.requests_in_progress.Add();
  auto response = RunQuery(std::move(*query), exchange);
  figures_.requests_in_progress.Add(-1);
  // Otherwise the client has disconnected, or has sent more bytes before the answer.
  const bool answered = response && !response->close;
  if (answered) metrics::OperatorFigures::CountResponse(class_figures, response->status);
  if (answered) {
    call_ids_.Release(call_id);
  } else {
    call_ids_.Retain(call_id, client_waits_until_us);
  }
  return response;
}

// Until when the query's client waits at the latest, its retries included.
coordinator::Micros QueryHandler::ClientWaitsUntilUs(const coordinator::QueryRequest& query) const {
  const auto& query_class = config_.settings.classes[static_cast<std::size_t>(query.class_index)];
  return std::max(query.deadline_us, query.received_us + query_class.client_timeout_us);
}

std::optional<net::HttpResponse> QueryHandler::RunQuery(coordinator::QueryRequest query,
                                                        const net::Exchange& exchange) {
  const coordinator::Micros deadline_us = query.deadline_us - kDeadlineMarginUs;
  auto reply = std::make_shared<net::WaitingReply>(exchange.reply_waiter);
  auto id = coordinator_.Admit(std::move(query), reply);
  if (!id) return ErrorResponse(503, kBusyRetryUs, "too many queries are open");
  exchange.answered_queries->push_back({*id, 0});
  switch (reply->Wait(*exchange.connection, clock_, coordinator_.AnswerBy(deadline_us))) {
    case net::WaitingReply::WaitResult::kDisconnected:
      coordinator_.Post(coordinator::ClientDisconnect{*id});
      return std::nullopt;
    case net::WaitingReply::WaitResult::kDeadline:
      coordinator_.Post(coordinator::ClientDisconnect{*id, decision_log::IntakeResult::kAnswerTimeout});
      counters_.late_answers.Add();
      return ErrorResponse(504, "no answer in time");
    case net::WaitingReply::WaitResult::kPipelined: {
      coordinator_.Post(coordinator::ClientDisconnect{*id, decision_log::IntakeResult::kPipelined});
      counters_.malformed_requests.Add();
      net::HttpResponse response = ErrorResponse(400, "one request at a time");
      response.close = true;
      return response;
    }
    case net::WaitingReply::WaitResult::kAnswered:
      break;
  }
  return FinalResponse(reply->answer());
}

net::HttpResponse QueryHandler::RejectAtIntake(const net::HttpMessage& request,
                                               decision_log::IntakeResult intake,
                                               net::HttpResponse response) {
  counters_.malformed_requests.Add();
  const std::string* call_id = request.Header(wire::kCallIdHeader);
  coordinator_.RecordIntake(intake, decision_log::FrontKind::kPlatform,
                            ClassIndex(request.Header(wire::kClassHeader)), response.status,
                            call_id == nullptr ? "" : *call_id);
  return response;
}

int QueryHandler::ClassIndex(const std::string* class_name) const {
  if (class_name == nullptr) return decision_log::kUnknownClass;
  auto found = std::ranges::find(config_.classes, *class_name);
  if (found == config_.classes.end()) return decision_log::kUnknownClass;
  return static_cast<int>(found - config_.classes.begin());
}

}  // namespace liftrudder::platform
