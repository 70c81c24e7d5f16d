#include "platform/query_request.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/json.h"
#include "platform/wire_names.h"

namespace liftrudder::platform {
namespace {

namespace json = net::json;

constexpr std::size_t kMaxNameBytes = 128;
constexpr double kMaxTimeoutSeconds = 3600;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMaxWorkUs = 1e9;
constexpr int kKeyBase = 16;
// The weights must sum to 1 within kWeightSlack plus kWeightRounding per weight, since clients round each
// weight.
constexpr double kWeightSlack = 1e-3;
constexpr double kWeightRounding = 1e-4;

// Names are written into a line of a frame, so they must not contain separators of fields or lines.
bool IsPlainName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::ranges::all_of(name, [](char c) { return c > ' ' && c < 0x7f && c != ',' && c != '='; });
}

// The header's value; null when it is missing or repeated.
const std::string* SingleHeader(const net::HttpMessage& request, std::string_view name) {
  return request.Count(name) == 1 ? request.Header(name) : nullptr;
}

// Returns false for a repeated member: JSON readers differ in whether they take the first or the last.
bool StoreOnce(std::string_view value, std::string_view& member) {
  if (!member.empty()) return false;
  member = value;
  return !member.empty();
}

struct QueryHeaders {
  std::string call_id;
  std::string idempotency_key;
  int class_index = 0;
  coordinator::Micros timeout_us = 0;
  bool is_retry = false;
};

std::optional<QueryHeaders> ReadHeaders(const net::HttpMessage& request, const config::Config& config) {
  const std::string* call_id = SingleHeader(request, wire::kCallIdHeader);
  const std::string* class_name = SingleHeader(request, wire::kClassHeader);
  const std::string* timeout = SingleHeader(request, wire::kTimeoutHeader);
  if (call_id == nullptr || class_name == nullptr || timeout == nullptr) return std::nullopt;
  if (!IsPlainName(*call_id)) return std::nullopt;
  auto seconds = json::ParseNumber(*timeout);
  if (!seconds || *seconds <= 0 || *seconds > kMaxTimeoutSeconds) return std::nullopt;
  auto found = std::ranges::find(config.classes, *class_name);
  if (found == config.classes.end()) return std::nullopt;
  QueryHeaders headers;
  headers.call_id = *call_id;
  headers.class_index = static_cast<int>(found - config.classes.begin());
  headers.timeout_us = static_cast<coordinator::Micros>(*seconds * kMicrosPerSecond);
  const std::string* retry = request.Header(wire::kRetryHeader);
  headers.is_retry = retry != nullptr && *retry == wire::kRetryHeaderValue;
  const auto& query_class = config.settings.classes[static_cast<std::size_t>(headers.class_index)];
  if (query_class.effect == routing::Effect::kIdempotencyKey) {
    const std::string* key = SingleHeader(request, wire::kIdempotencyKeyHeader);
    if (key == nullptr || !IsPlainName(*key)) return std::nullopt;
    headers.idempotency_key = *key;
  }
  return headers;
}

std::optional<coordinator::ShardRequest> ReadShardRequest(std::string_view text, int shards) {
  std::string_view shard_text;
  std::string_view weight_text;
  std::string_view work_text;
  std::string_view key_text;
  bool is_object = json::ForEachMember(text, [&](std::string_view name, std::string_view value) {
    if (name == wire::kShard) return StoreOnce(value, shard_text);
    if (name == wire::kWeight) return StoreOnce(value, weight_text);
    if (name == wire::kWork) return StoreOnce(value, work_text);
    return name != wire::kKey || StoreOnce(value, key_text);
  });
  if (!is_object) return std::nullopt;
  auto shard = json::ParseInteger(shard_text);
  if (!shard || *shard < 0 || *shard >= shards) return std::nullopt;
  auto weight = json::ParseNumber(weight_text);
  if (!weight || *weight < 0 || *weight > 1) return std::nullopt;
  coordinator::ShardRequest shard_request;
  shard_request.shard = static_cast<int>(*shard);
  shard_request.weight = *weight;
  if (!work_text.empty()) {
    auto work_us = json::ParseNumber(work_text);
    if (!work_us || *work_us < 0) return std::nullopt;
    shard_request.work_us = static_cast<coordinator::Micros>(std::min(*work_us, kMaxWorkUs));
  }
  if (auto digits = json::RawString(key_text)) {
    std::from_chars(digits->data(), digits->data() + digits->size(), shard_request.key, kKeyBase);
  }
  return shard_request;
}

// Empty when the array or an entry is malformed.
std::vector<coordinator::ShardRequest> ReadShardRequests(std::string_view array, int shards) {
  std::vector<coordinator::ShardRequest> shard_requests;
  std::set<int> seen;
  double weight_sum = 0;
  bool usable = json::ForEachElement(array, [&](std::string_view text) {
    auto shard_request = ReadShardRequest(text, shards);
    // Each shard occurs once, which also bounds the number of entries.
    if (!shard_request || !seen.insert(shard_request->shard).second) return false;
    shard_requests.push_back(*shard_request);
    weight_sum += shard_request->weight;
    return true;
  });
  // The coverage of a partial result is known only if the weights sum to 1.
  double slack = kWeightSlack + kWeightRounding * static_cast<double>(shard_requests.size());
  if (!usable || std::abs(weight_sum - 1) > slack) return {};
  return shard_requests;
}

}  // namespace

std::optional<coordinator::QueryRequest> ReadQueryRequest(
    const net::HttpMessage& request, coordinator::Micros received_us,
    std::shared_ptr<const coordinator::ClientPresence> client, const config::Config& config) {
  auto headers = ReadHeaders(request, config);
  if (!headers) return std::nullopt;
  std::string_view shard_requests;
  std::string_view statement_text;
  bool is_object = json::ForEachMember(request.body, [&](std::string_view member, std::string_view value) {
    if (member == wire::kShardRequests) return StoreOnce(value, shard_requests);
    return member != wire::kStatement || StoreOnce(value, statement_text);
  });
  auto statement = json::RawString(statement_text);
  if (!is_object || !statement) return std::nullopt;
  coordinator::QueryRequest query;
  query.shard_requests = ReadShardRequests(shard_requests, config.settings.shards);
  if (query.shard_requests.empty()) return std::nullopt;
  query.class_index = headers->class_index;
  query.is_retry = headers->is_retry;
  query.received_us = received_us;
  query.deadline_us = received_us + headers->timeout_us;
  coordinator::Payload payload;
  payload.call_id = std::move(headers->call_id);
  payload.idempotency_key = std::move(headers->idempotency_key);
  payload.statement = *statement;
  payload.client = std::move(client);
  query.payload = std::make_shared<const coordinator::Payload>(std::move(payload));
  return query;
}

}  // namespace liftrudder::platform
