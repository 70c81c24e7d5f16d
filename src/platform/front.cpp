#include "platform/front.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <set>

#include "net/explain_page.h"
#include "net/json.h"

namespace liftrudder::platform {
namespace {

namespace json = net::json;

constexpr std::size_t kMaxName = 128;
constexpr double kWeightSlack = 1e-3;  // weights sum to 1 but for what rounding takes off each of them
constexpr double kWeightRounding = 1e-4;
constexpr coordinator::Micros kLastMoment = 5'000;  // before the client's time is up, should the core be busy
constexpr coordinator::Micros kBusyRetryUs = 200'000;

// Goes into a frame's line: nothing there may part fields or lines.
bool Plain(std::string_view name) {
  return !name.empty() && name.size() <= kMaxName &&
         std::ranges::all_of(name, [](char c) { return c > ' ' && c < 0x7f && c != ',' && c != '='; });
}

net::HttpResponse Problem(int status, std::string_view what) {
  net::HttpResponse out;
  out.status = status;
  out.body = fmt::format("{{\"error\":{}}}", json::Quote(what));
  return out;
}

net::HttpResponse Refusal(int status, coordinator::Micros retry_after_us, std::string_view what) {
  net::HttpResponse out = Problem(status, what);
  if (retry_after_us > 0)
    out.headers.emplace_back("Retry-After", fmt::format("{:.3f}", static_cast<double>(retry_after_us) / 1e6));
  return out;
}

net::HttpResponse Answer(const coordinator::FinalAnswer& answer) {
  net::HttpResponse out;
  out.body = fmt::format("{{\"full\":{},\"pieces\":[", answer.complete);
  for (const coordinator::ShardResponse& shard_response : answer.shard_responses) {
    if (&shard_response != &answer.shard_responses.front()) out.body += ',';
    fmt::format_to(std::back_inserter(out.body), "{{\"tablet\":{},\"cell\":{}}}", shard_response.shard,
                   json::Quote(shard_response.value));
  }
  out.body += "]}";
  return out;
}

// Guards against members that are there twice: one side would read the first, another the last.
bool Once(std::string_view& place, std::string_view value) {
  return place.empty() && !(place = value).empty();
}

bool ReadPart(std::string_view text, coordinator::ShardRequest& shard_request) {
  std::string_view tablet, fraction, guess, token;
  bool ok = json::JsonMembers(text, [&](std::string_view name, std::string_view value) {
    if (name == "tablet") return Once(tablet, value);
    if (name == "fraction") return Once(fraction, value);
    if (name == "guess") return Once(guess, value);
    return name != "token" || Once(token, value);
  });
  auto shard = json::Integer(tablet);
  auto weight = json::Number(fraction);
  if (!ok || !shard || !weight || *shard < 0 || *shard > INT32_MAX || *weight < 0 || *weight > 1)
    return false;
  shard_request.shard = static_cast<int>(*shard);
  shard_request.weight = *weight;
  if (!guess.empty()) {
    auto work_us = json::Number(guess);
    if (!work_us || *work_us < 0) return false;
    shard_request.work_us = static_cast<coordinator::Micros>(std::min(*work_us, 1e9));
  }
  if (auto digits = json::RawString(token))
    std::from_chars(digits->data(), digits->data() + digits->size(), shard_request.key, 16);
  return true;
}

// The header's value; nothing when it is not there, or there twice.
const std::string* Only(const net::HttpMessage& request, std::string_view name) {
  return request.Count(name) == 1 ? request.Header(name) : nullptr;
}

}  // namespace

net::HttpResponse Front::Malformed(int status) {
  coordinator_.NoteIntake(decision_log::IntakeResult::kUnreadable, decision_log::FrontKind::kPlatform,
                          decision_log::kUnknownClass, status, "");
  return Problem(status, "the request cannot be read");
}

net::HttpResponse Front::Overloaded(const net::HttpMessage* request) {
  const std::string* name = request == nullptr ? nullptr : request->Header("X-Call-Class");
  if (name != nullptr) metrics::Figures::Ended(figures_.Of(*name), 503);
  coordinator_.NoteIntake(decision_log::IntakeResult::kTooManyConnections, decision_log::FrontKind::kPlatform,
                          decision_log::kUnknownClass, 503, "");
  return Refusal(503, kBusyRetryUs, "too many connections");
}

void Front::Wrote(const std::vector<net::AnsweredQuery>& answered_queries, int status, std::size_t bytes, bool whole) {
  coordinator_.NoteResponse(answered_queries, status, bytes, whole);
}

net::HttpResponse Front::Rejected(const net::HttpMessage& request, decision_log::IntakeResult intake,
                                  net::HttpResponse response) {
  counters_.malformed.Add();
  const std::string* id = request.Header("X-Call-Id");
  const std::string* name = request.Header("X-Call-Class");
  auto found = name == nullptr ? config_.classes.end() : std::ranges::find(config_.classes, *name);
  int index = found == config_.classes.end() ? decision_log::kUnknownClass
                                             : static_cast<int>(found - config_.classes.begin());
  coordinator_.NoteIntake(intake, decision_log::FrontKind::kPlatform, index, response.status,
                          id == nullptr ? "" : *id);
  return response;
}

std::optional<net::HttpResponse> Front::Handle(net::HttpMessage& request, const net::Exchange& exchange) {
  std::string_view path = request.Path();
  if (path == "/-/ready" || path == "/-/healthy")
    return exchange.draining && path == "/-/ready" ? Problem(503, "draining") : net::HttpResponse{};
  if (path == "/-/metrics") {
    net::HttpResponse out;
    out.type = "text/plain";
    out.body = counters_.Text();
    return out;
  }
  if (path == "/-/why") return net::ExplainPage(explain_service_, request);
  if (path != "/api") return Problem(404, "no such path");
  if (request.method != "POST") return Problem(405, "only POST");
  return Query(request, exchange);
}

std::optional<coordinator::QueryRequest> Front::Read(const net::HttpMessage& request,
                                                     const net::Exchange& exchange) const {
  const std::string* id = Only(request, "X-Call-Id");
  const std::string* name = Only(request, "X-Call-Class");
  const std::string* budget = Only(request, "X-Budget");
  const std::string* key = Only(request, "Idempotency-Key");
  if (id == nullptr || name == nullptr || budget == nullptr || !Plain(*id)) return std::nullopt;
  auto seconds = json::Number(*budget);
  auto found = std::ranges::find(config_.classes, *name);
  if (!seconds || *seconds <= 0 || *seconds > 3600 || found == config_.classes.end()) return std::nullopt;
  coordinator::QueryRequest query;
  query.class_index = static_cast<int>(found - config_.classes.begin());
  query.received_us = exchange.received_us;
  query.deadline_us = exchange.received_us + static_cast<coordinator::Micros>(*seconds * 1e6);
  const std::string* again = request.Header("X-Again");
  query.is_retry = again != nullptr && *again == "1";
  coordinator::Payload payload;
  payload.call_id = *id;
  payload.client = exchange.reply_waiter->client();
  routing::Effect effect = config_.settings.classes[static_cast<std::size_t>(query.class_index)].effect;
  if (effect == routing::Effect::kIdempotencyKey) {
    if (key == nullptr || !Plain(*key)) return std::nullopt;
    payload.idempotency_key = *key;
  }
  std::string_view tablets, text;
  bool ok = json::JsonMembers(request.body, [&](std::string_view member, std::string_view value) {
    if (member == "tablets") return Once(tablets, value);
    return member != "statement" || Once(text, value);
  });
  auto statement = json::RawString(text);
  if (!ok || !statement) return std::nullopt;
  payload.statement = *statement;
  double sum = 0;
  std::set<int> shards;
  ok = json::Elements(tablets, [&](std::string_view text) {
    coordinator::ShardRequest shard_request;
    if (!ReadPart(text, shard_request) || shard_request.shard >= config_.settings.shards) return false;
    if (!shards.insert(shard_request.shard).second) return false;  // so there are no more than shards
    query.shard_requests.push_back(shard_request);
    sum += shard_request.weight;
    return true;
  });
  // Guards answers in part: what share of the whole a part is can be told only when all of them make one.
  double slack = kWeightSlack + kWeightRounding * static_cast<double>(query.shard_requests.size());
  if (!ok || query.shard_requests.empty() || std::abs(sum - 1) > slack) return std::nullopt;
  query.payload = std::make_shared<const coordinator::Payload>(std::move(payload));
  return query;
}

std::optional<net::HttpResponse> Front::Query(net::HttpMessage& request, const net::Exchange& exchange) {
  auto query = Read(request, exchange);
  if (!query)
    return Rejected(request, decision_log::IntakeResult::kMalformed,
                    Problem(400, "the request cannot be read"));
  request.body = std::string();  // all that is needed of it has been taken out
  // Guards the ids of parts, which are made from the query's: of two open queries they must differ.
  std::string id = query->payload->call_id;
  {
    std::lock_guard lock(mutex_);
    if (!open_.insert(id).second) {
      return Rejected(request, decision_log::IntakeResult::kDuplicateId,
                      Problem(409, "a query with this id is open"));
    }
  }
  metrics::Figures::ByClass* group = figures_.Of(query->class_index);
  figures_.current.Add();
  auto response = Ask(std::move(*query), exchange);
  figures_.current.Add(-1);
  // Nobody was given the end of one whose client has gone, or has broken off its own request.
  if (response && !response->close) metrics::Figures::Ended(group, response->status);
  std::lock_guard lock(mutex_);
  open_.erase(id);
  return response;
}

std::optional<net::HttpResponse> Front::Ask(coordinator::QueryRequest query, const net::Exchange& exchange) {
  coordinator::Micros deadline_us = query.deadline_us;
  auto reply = std::make_shared<net::WaitingReply>(exchange.reply_waiter);
  auto id = coordinator_.Admit(std::move(query), reply);
  if (!id) return Refusal(503, kBusyRetryUs, "too many queries are open");
  exchange.answered_queries->push_back({*id, 0});
  switch (reply->Wait(*exchange.line, clock_, deadline_us - kLastMoment)) {
    case net::WaitingReply::End::kGone:
      coordinator_.Post(coordinator::ClientDisconnect{*id});
      return std::nullopt;
    case net::WaitingReply::End::kLate:
      coordinator_.Post(coordinator::ClientDisconnect{*id, decision_log::IntakeResult::kAnswerTimeout});
      counters_.late.Add();
      return Problem(504, "no answer in time");
    case net::WaitingReply::End::kCrowded: {
      coordinator_.Post(coordinator::ClientDisconnect{*id, decision_log::IntakeResult::kPipelined});
      counters_.malformed.Add();
      net::HttpResponse out = Problem(400, "one request at a time");
      out.close = true;
      return out;
    }
    case net::WaitingReply::End::kAnswered:
      break;
  }
  const coordinator::FinalAnswer& answer = reply->answer();
  if (answer.verdict == coordinator::Verdict::kAnswered) return Answer(answer);
  if (answer.verdict == coordinator::Verdict::kRejected) return Refusal(429, answer.retry_after_us, "not now");
  return Problem(504, "the query failed");
}

}  // namespace liftrudder::platform
