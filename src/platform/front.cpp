#include "platform/front.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <set>

#include "net/json.h"

namespace liftrudder::platform {
namespace {

namespace json = net::json;

constexpr std::size_t kMaxParts = 1000;
constexpr std::size_t kMaxName = 128;
constexpr core::Micros kLastMoment = 5'000;  // before the client's time is up, should the core be busy
constexpr core::Micros kBusyRetryUs = 200'000;

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

net::HttpResponse Refusal(int status, core::Micros retry_after_us, std::string_view what) {
  net::HttpResponse out = Problem(status, what);
  if (retry_after_us > 0)
    out.headers.emplace_back("Retry-After", fmt::format("{:.3f}", static_cast<double>(retry_after_us) / 1e6));
  return out;
}

net::HttpResponse Answer(const core::FinalAnswer& answer) {
  net::HttpResponse out;
  out.body = fmt::format("{{\"full\":{},\"pieces\":[", answer.full);
  for (const core::Piece& piece : answer.pieces) {
    if (&piece != &answer.pieces.front()) out.body += ',';
    fmt::format_to(std::back_inserter(out.body), "{{\"tablet\":{},\"cell\":{}}}", piece.shard,
                   json::Quote(piece.value));
  }
  out.body += "]}";
  return out;
}

bool ReadPart(std::string_view text, core::PartRequest& part) {
  auto shard = json::Integer(json::Get(text, "tablet"));
  auto weight = json::Number(json::Get(text, "fraction"));
  if (!shard || !weight || *shard < 0 || *shard > INT32_MAX || *weight < 0 || *weight > 1) return false;
  part.shard = static_cast<int>(*shard);
  part.weight = *weight;
  if (auto guess = json::Number(json::Get(text, "guess")))
    part.work_us = static_cast<core::Micros>(std::clamp(*guess, 0.0, 1e9));
  if (auto token = json::RawString(json::Get(text, "token")))
    std::from_chars(token->data(), token->data() + token->size(), part.key, 16);
  return true;
}

}  // namespace

net::HttpResponse Front::Malformed() { return Problem(400, "the request cannot be read"); }
net::HttpResponse Front::Overloaded() { return Refusal(503, kBusyRetryUs, "too many connections"); }

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
  if (path != "/api") return Problem(404, "no such path");
  if (request.method != "POST") return Problem(405, "only POST");
  return Query(request, exchange);
}

std::optional<core::QueryRequest> Front::Read(const net::HttpMessage& request,
                                              core::Micros received_us) const {
  const std::string* id = request.Header("X-Call-Id");
  const std::string* name = request.Header("X-Call-Class");
  const std::string* budget = request.Header("X-Budget");
  const std::string* key = request.Header("Idempotency-Key");
  if (id == nullptr || name == nullptr || budget == nullptr || !Plain(*id)) return std::nullopt;
  auto seconds = json::Number(*budget);
  auto found = std::ranges::find(config_.classes, *name);
  if (!seconds || *seconds < 0 || *seconds > 3600 || found == config_.classes.end()) return std::nullopt;
  core::QueryRequest query;
  query.class_index = static_cast<int>(found - config_.classes.begin());
  query.deadline_us = received_us + static_cast<core::Micros>(*seconds * 1e6);
  const std::string* again = request.Header("X-Again");
  query.repeated = again != nullptr && *again == "1";
  core::Payload payload;
  payload.call_id = *id;
  tinsail::Effect effect = config_.settings.classes[static_cast<std::size_t>(query.class_index)].effect;
  if (effect == tinsail::Effect::kDeduplicated) {
    if (key == nullptr || !Plain(*key)) return std::nullopt;
    payload.dedup_key = *key;
  }
  std::string_view tablets;
  std::optional<std::string_view> statement;
  bool ok = json::Members(request.body, [&](std::string_view member, std::string_view value) {
    if (member == "tablets") tablets = value;
    if (member == "statement") statement = json::RawString(value);
    return true;
  });
  if (!ok || !statement) return std::nullopt;
  payload.statement = *statement;
  std::set<int> shards;
  ok = json::Elements(tablets, [&](std::string_view text) {
    core::PartRequest part;
    if (!ReadPart(text, part) || part.shard >= config_.settings.shards) return false;
    if (!shards.insert(part.shard).second || query.parts.size() >= kMaxParts) return false;
    query.parts.push_back(part);
    return true;
  });
  if (!ok || query.parts.empty()) return std::nullopt;
  query.payload = std::make_shared<const core::Payload>(std::move(payload));
  return query;
}

std::optional<net::HttpResponse> Front::Query(const net::HttpMessage& request,
                                              const net::Exchange& exchange) {
  auto query = Read(request, exchange.received_us);
  if (!query) {
    counters_.malformed.Add();
    return Malformed();
  }
  core::Micros deadline_us = query->deadline_us;
  auto reply = std::make_shared<net::WaitingReply>();
  auto id = core_.Admit(std::move(*query), reply);
  if (!id) return Refusal(503, kBusyRetryUs, "too many queries are open");
  switch (reply->Wait(exchange.client, clock_, deadline_us - kLastMoment)) {
    case net::WaitingReply::End::kGone:
      core_.Post(core::Hangup{*id});
      return std::nullopt;
    case net::WaitingReply::End::kLate:
      core_.Post(core::Hangup{*id});
      counters_.late.Add();
      return Problem(504, "no answer in time");
    case net::WaitingReply::End::kCrowded: {
      core_.Post(core::Hangup{*id});
      counters_.malformed.Add();
      net::HttpResponse out = Problem(400, "one request at a time");
      out.close = true;
      return out;
    }
    case net::WaitingReply::End::kAnswered:
      break;
  }
  const core::FinalAnswer& answer = reply->answer();
  if (answer.verdict == core::Verdict::kAnswered) return Answer(answer);
  if (answer.verdict == core::Verdict::kRefused) return Refusal(429, answer.retry_after_us, "not now");
  return Problem(504, "the query failed");
}

}  // namespace liftrudder::platform
