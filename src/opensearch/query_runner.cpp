#include "opensearch/query_runner.h"

#include <fmt/format.h>

#include <algorithm>

#include "net/json.h"
#include "opensearch/endpoint_protocol.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

// The wait ends this long before the deadline, so that the client is answered in time even when the
// coordinator is busy.
constexpr coordinator::Micros kAnswerMarginUs = 5'000;
constexpr coordinator::Micros kDeadlineToleranceUs = 50'000;  // a failure this near the deadline is a timeout
constexpr coordinator::Micros kOverloadRetryUs = 1'000'000;
constexpr double kMaxTimeoutS = 3600;
// First character of the call ids of searches; counts have kCountIdPrefix.
constexpr char kSearchIdPrefix = 's';

}  // namespace

QueryFailure QueryFailure::ClientDisconnected() {
  QueryFailure failure(ApiError{});
  failure.kind = Kind::kClientDisconnected;
  return failure;
}

coordinator::Micros QueryRunner::TimeoutOf(int class_index, const net::HttpMessage& request) const {
  coordinator::Micros timeout_us =
      config_.settings.classes[static_cast<std::size_t>(class_index)].client_timeout_us;
  const std::string* timeout_header = request.Header(wire::kTimeoutHeader);
  if (timeout_header == nullptr) return timeout_us;
  double seconds = std::clamp(net::json::ParseNumber(*timeout_header).value_or(0), 0.0, kMaxTimeoutS);
  return std::min(timeout_us, static_cast<coordinator::Micros>(seconds * 1e6));
}

coordinator::QueryRequest QueryRunner::BuildRequest(QuerySpec spec, const RequestContext& context) {
  const net::Exchange& exchange = context.exchange;
  coordinator::QueryRequest query;
  query.class_index = spec.complete_only ? spec.index->complete_class_index : spec.index->class_index;
  query.received_us = exchange.received_us;
  query.deadline_us = exchange.received_us + TimeoutOf(query.class_index, context.request);
  query.front = spec.front;
  if (const std::string* label = context.request.Header(wire::kOpaqueIdHeader)) {
    query.label = label->substr(0, decision_log::kMaxIdBytes);
  }
  query.shard_requests = spec.index->shard_requests;
  bool is_count = spec.front == decision_log::FrontKind::kCount;
  coordinator::Payload payload;
  payload.call_id =
      fmt::format("{}{:x}-{}", is_count ? kCountIdPrefix : kSearchIdPrefix, config_.seed, ++started_);
  payload.target = std::move(spec.call.target);
  payload.client = exchange.reply_waiter->client();
  payload.statement = std::move(spec.call.body);
  query.payload = std::make_shared<const coordinator::Payload>(std::move(payload));
  return query;
}

RunningQuery QueryRunner::Start(QuerySpec spec, const RequestContext& context) {
  RunningQuery running;
  running.reply = std::make_shared<net::WaitingReply>(context.exchange.reply_waiter);
  running.index = spec.index;
  running.complete_only = spec.complete_only;
  std::size_t shard_requests = spec.index->shard_requests.size();
  coordinator::QueryRequest request = BuildRequest(std::move(spec), context);
  running.deadline_us = request.deadline_us;
  running.reservation = access_.Reserve(context.principal, shard_requests);
  if (!running.reservation.admitted) return running;
  running.id = coordinator_.Admit(std::move(request), running.reply);
  if (running.id) context.exchange.answered_queries->push_back({*running.id, 0});
  return running;
}

void QueryRunner::Abandon(const RunningQuery& query) {
  if (query.id) coordinator_.Post(coordinator::ClientDisconnect{*query.id});
}

// Returns the failure if the wait ends without an answer.
std::optional<QueryFailure> QueryRunner::WaitForAnswer(const RunningQuery& query,
                                                       const net::Exchange& exchange) {
  using WaitResult = net::WaitingReply::WaitResult;
  using decision_log::IntakeResult;
  const coordinator::Micros wait_until_us = coordinator_.AnswerBy(query.deadline_us - kAnswerMarginUs);
  switch (query.reply->Wait(*exchange.connection, clock_, wait_until_us)) {
    case WaitResult::kAnswered:
      break;
    case WaitResult::kDisconnected:
      Abandon(query);
      return QueryFailure::ClientDisconnected();
    case WaitResult::kDeadline:
      coordinator_.Post(coordinator::ClientDisconnect{*query.id, IntakeResult::kAnswerTimeout});
      counters_.late_answers.Add();
      return DeadlineExceeded();
    case WaitResult::kPipelined: {
      coordinator_.Post(coordinator::ClientDisconnect{*query.id, IntakeResult::kPipelined});
      ApiError error = BadRequest("one request at a time");
      error.close = true;
      return error;
    }
  }
  return std::nullopt;
}

tl::expected<coordinator::FinalAnswer, QueryFailure> QueryRunner::Await(const RunningQuery& query,
                                                                        const net::Exchange& exchange) {
  using coordinator::Verdict;
  if (query.reservation.retry_after_us > 0) return tl::unexpected(Rejected(query.reservation.retry_after_us));
  if (!query.id) return tl::unexpected(Unavailable("too many queries are open", kOverloadRetryUs));
  if (auto failure = WaitForAnswer(query, exchange)) return tl::unexpected(std::move(*failure));
  coordinator::FinalAnswer& answer = query.reply->answer();
  // Clients of this API expect a timeout, not a rejection, when a query ends unanswered at its deadline.
  bool at_deadline = clock_.Now() + kDeadlineToleranceUs >= query.deadline_us;
  if (answer.verdict != Verdict::kAnswered && at_deadline) return tl::unexpected(DeadlineExceeded());
  if (answer.verdict == Verdict::kRejected) return tl::unexpected(Rejected(answer.retry_after_us));
  if (answer.verdict == Verdict::kFailed) return tl::unexpected(Unavailable("too few shards answered"));
  if (query.complete_only && !answer.complete) {
    return tl::unexpected(Unavailable("not all shards answered, and a part was not allowed"));
  }
  return std::move(answer);
}

}  // namespace liftrudder::opensearch
