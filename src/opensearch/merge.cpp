#include "opensearch/merge.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <compare>
#include <iterator>
#include <tuple>

#include "net/json.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

namespace json = net::json;

struct Hit {
  int shard = 0;
  std::size_t position = 0;
  std::string_view text, sort_text;
  std::vector<std::string_view> sort;
};

std::weak_ordering CompareValues(std::string_view a, std::string_view b) {
  auto a_text = json::ParseString(a), b_text = json::ParseString(b);
  if (a_text && b_text) return a_text->compare(*b_text) <=> 0;
  // On x86-64 the 64-bit mantissa of long double holds every value of a long field exactly.
  long double x = 0, y = 0;
  std::from_chars(a.data(), a.data() + a.size(), x);
  std::from_chars(b.data(), b.data() + b.size(), y);
  if (x < y) return std::weak_ordering::less;
  return x > y ? std::weak_ordering::greater : std::weak_ordering::equivalent;
}

bool SortsBefore(const std::vector<SortKey>& keys, const Hit& a, const Hit& b) {
  for (std::size_t i = 0; i < keys.size(); ++i) {
    bool a_missing = a.sort[i] == "null", b_missing = b.sort[i] == "null";
    if (a_missing != b_missing) return a_missing == keys[i].missing_first;
    if (a_missing) continue;
    auto order = CompareValues(a.sort[i], b.sort[i]);
    if (std::is_neq(order)) return keys[i].descending ? std::is_gt(order) : std::is_lt(order);
  }
  return std::tie(a.shard, a.position) < std::tie(b.shard, b.position);
}

bool ReadHits(const coordinator::ShardResponse& shard_response, const Search& search,
              std::vector<Hit>& hits) {
  std::size_t position = 0;
  return json::ForEachElement(
      json::FindMember(json::FindMember(shard_response.value, wire::kHits), wire::kHits),
      [&](std::string_view text) {
        Hit hit{shard_response.shard, position++, text, json::FindMember(text, wire::kSort), {}};
        json::ForEachElement(hit.sort_text, [&hit](std::string_view value) {
          hit.sort.push_back(value);
          return true;
        });
        hits.push_back(std::move(hit));
        return hits.back().sort.size() == search.sort.size();
      });
}

// The total number of hits of all shards.
struct Total {
  std::int64_t value = 0;
  bool tracked = true;  // every shard's response has a total
  bool exact = true;    // otherwise a lower bound

  // Adds a shard's total: an object, or a number from older servers; empty when not tracked.
  void Add(std::string_view total) {
    if (total.empty() || total == "null") {
      tracked = false;
      return;
    }
    std::string_view number = total.starts_with('{') ? json::FindMember(total, wire::kValue) : total;
    value += json::ParseInteger(number).value_or(0);
    std::string relation = json::ParseString(json::FindMember(total, wire::kRelation))
                               .value_or(std::string(wire::kExactRelation));
    exact = exact && relation == wire::kExactRelation;
  }
};

// The highest score of all shards; its text is copied from the shard's response.
struct MaxScore {
  std::optional<double> value;
  std::string_view text = "null";

  void Add(std::string_view score) {
    auto number = json::ParseNumber(score);
    if (!number || (value && *number <= *value)) return;
    value = number;
    text = score;
  }
};

std::string ShardsMember(const coordinator::FinalAnswer& answer, const AnswerContext& context) {
  std::size_t total = context.shard_requests->size();
  std::size_t answered = answer.shard_responses.size();
  std::string out = fmt::format(R"("_shards":{{"total":{},"successful":{},"skipped":0,"failed":{})", total,
                                answered, total - answered);
  if (answered < total) {
    out += R"(,"failures":[)";
    const char* separator = "";
    for (const coordinator::ShardRequest& shard_request : *context.shard_requests) {
      if (std::ranges::find(answer.shard_responses, shard_request.shard,
                            &coordinator::ShardResponse::shard) != answer.shard_responses.end()) {
        continue;
      }
      fmt::format_to(std::back_inserter(out),
                     R"({}{{"shard":{},"reason":{{"type":"no_shard_available_action_exception",)"
                     R"("reason":"no answer in time"}}}})",
                     separator, shard_request.shard);
      separator = ",";
    }
    out += ']';
  }
  return out + "}";
}

// Whether `shards`, a response's account of the shards that it covers, leaves none out. Shards that are not
// allocated are neither successful nor failed; shards that were skipped count as successful.
bool CoversItsShards(std::string_view shards) {
  std::string_view failed = json::FindMember(shards, wire::kFailed);
  if (!failed.empty() && failed != "0") return false;
  std::string_view total = json::FindMember(shards, wire::kTotal);
  std::string_view successful = json::FindMember(shards, wire::kSuccessful);
  if (total.empty() && successful.empty()) return true;
  std::optional<std::int64_t> total_count = json::ParseInteger(total);
  return total_count && *total_count > 0 && json::ParseInteger(successful) == total_count;
}

}  // namespace

bool IsCompleteResponse(std::string_view body, bool is_count) {
  if (!json::Valid(body) || !json::FindMember(body, wire::kError).empty()) return false;
  std::string_view timed_out = json::FindMember(body, wire::kTimedOut);
  if (!timed_out.empty() && timed_out != "false") return false;
  if (!CoversItsShards(json::FindMember(body, wire::kShards))) return false;
  if (is_count) return json::ParseInteger(json::FindMember(body, wire::kCount)).value_or(-1) >= 0;
  std::string_view hits = json::FindMember(json::FindMember(body, wire::kHits), wire::kHits);
  return hits.starts_with('[');
}

std::optional<MergedHits> MergeHits(const Search& search, const coordinator::FinalAnswer& answer,
                                    const AnswerContext& context) {
  std::vector<Hit> hits;
  Total total;
  total.exact = answer.shard_responses.size() == context.shard_requests->size();
  MaxScore max_score;
  for (const coordinator::ShardResponse& shard_response : answer.shard_responses) {
    if (!ReadHits(shard_response, search, hits)) return std::nullopt;
    std::string_view hits_object = json::FindMember(shard_response.value, wire::kHits);
    total.Add(json::FindMember(hits_object, wire::kTotal));
    max_score.Add(json::FindMember(hits_object, wire::kMaxScore));
  }
  std::ranges::sort(hits, [&](const Hit& a, const Hit& b) { return SortsBefore(search.sort, a, b); });
  auto from = std::min(hits.size(), static_cast<std::size_t>(search.from));
  auto end = std::min(hits.size(), from + static_cast<std::size_t>(search.size));
  MergedHits out;
  out.hits = end - from;
  out.body = fmt::format(R"({{"took":{},"timed_out":{},{},"hits":{{)", context.took_us / 1000,
                         context.timed_out, ShardsMember(answer, context));
  if (total.tracked) {
    fmt::format_to(std::back_inserter(out.body), R"("total":{{"value":{},"relation":"{}"}},)", total.value,
                   total.exact ? wire::kExactRelation : wire::kLowerBoundRelation);
  }
  fmt::format_to(std::back_inserter(out.body), R"("max_score":{},"hits":[)", max_score.text);
  for (std::size_t i = from; i < end; ++i) {
    if (i > from) out.body += ',';
    out.body += hits[i].text;
  }
  out.body += "]}";
  if (end > from) out.last_sort = hits[end - 1].sort_text;
  return out;
}

std::string MergeCounts(const coordinator::FinalAnswer& answer, const AnswerContext& context) {
  std::int64_t sum = 0;
  for (const coordinator::ShardResponse& shard_response : answer.shard_responses) {
    sum += json::ParseInteger(json::FindMember(shard_response.value, wire::kCount)).value_or(0);
  }
  return fmt::format(R"({{"count":{},{}}})", sum, ShardsMember(answer, context));
}

}  // namespace liftrudder::opensearch
