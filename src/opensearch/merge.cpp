#include "opensearch/merge.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <compare>
#include <iterator>

#include "net/json.h"

namespace liftrudder::opensearch {
namespace {

namespace json = net::json;

struct Hit {
  int shard = 0;
  std::size_t place = 0;
  std::string_view text, sort_text;
  std::vector<std::string_view> sort;
};

std::weak_ordering CompareValues(std::string_view a, std::string_view b) {
  auto a_text = json::String(a), b_text = json::String(b);
  if (a_text && b_text) return a_text->compare(*b_text) <=> 0;
  // 64 bits of mantissa hold every long exactly.
  long double x = 0, y = 0;
  std::from_chars(a.data(), a.data() + a.size(), x);
  std::from_chars(b.data(), b.data() + b.size(), y);
  if (x < y) return std::weak_ordering::less;
  return x > y ? std::weak_ordering::greater : std::weak_ordering::equivalent;
}

bool Before(const std::vector<SortKey>& keys, const Hit& a, const Hit& b) {
  for (std::size_t i = 0; i < keys.size(); ++i) {
    bool a_missing = a.sort[i] == "null", b_missing = b.sort[i] == "null";
    if (a_missing != b_missing) return a_missing == keys[i].missing_first;
    if (a_missing) continue;
    auto order = CompareValues(a.sort[i], b.sort[i]);
    if (order != 0) return keys[i].descending ? order > 0 : order < 0;
  }
  return std::pair(a.shard, a.place) < std::pair(b.shard, b.place);
}

bool ReadHits(const coordinator::ShardResponse& shard_response, const Search& search, std::vector<Hit>& hits) {
  std::size_t place = 0;
  return json::Elements(json::Get(json::Get(shard_response.value, "hits"), "hits"), [&](std::string_view text) {
    Hit hit{shard_response.shard, place++, text, json::Get(text, "sort"), {}};
    json::Elements(hit.sort_text, [&hit](std::string_view value) {
      hit.sort.push_back(value);
      return true;
    });
    hits.push_back(std::move(hit));
    return hits.back().sort.size() == search.sort.size();
  });
}

// `total` of one holder: an object, or a plain number as older servers give it; absent when not tracked.
void AddTotal(std::string_view total, std::int64_t& sum, bool& tracked, bool& exact) {
  if (total.empty() || total == "null") {
    tracked = false;
    return;
  }
  std::string_view value = total.starts_with('{') ? json::Get(total, "value") : total;
  sum += json::Integer(value).value_or(0);
  exact = exact && json::String(json::Get(total, "relation")).value_or("eq") == "eq";
}

std::string Shards(const coordinator::FinalAnswer& answer, const Coming& coming) {
  std::size_t total = coming.asked->size(), in = answer.shard_responses.size();
  std::string out = fmt::format("\"_shards\":{{\"total\":{},\"successful\":{},\"skipped\":0,\"failed\":{}",
                                total, in, total - in);
  if (in < total) {
    out += ",\"failures\":[";
    const char* comma = "";
    for (const coordinator::ShardRequest& shard_request : *coming.asked) {
      if (std::ranges::find(answer.shard_responses, shard_request.shard, &coordinator::ShardResponse::shard) != answer.shard_responses.end())
        continue;
      fmt::format_to(std::back_inserter(out),
                     "{}{{\"shard\":{},\"reason\":{{\"type\":\"no_shard_available_action_exception\","
                     "\"reason\":\"no answer in time\"}}}}",
                     comma, shard_request.shard);
      comma = ",";
    }
    out += ']';
  }
  return out + "}";
}

}  // namespace

bool AnsweredQuery(std::string_view body, bool count) {
  if (!json::Valid(body) || !json::Get(body, "error").empty()) return false;
  std::string_view timed_out = json::Get(body, "timed_out"), shards = json::Get(body, "_shards");
  if (!timed_out.empty() && timed_out != "false") return false;
  std::string_view failed = json::Get(shards, "failed");
  if (!failed.empty() && failed != "0") return false;
  if (count) return json::Integer(json::Get(body, "count")).value_or(-1) >= 0;
  std::string_view hits = json::Get(json::Get(body, "hits"), "hits");
  return hits.starts_with('[');
}

std::optional<Merged> MergeHits(const Search& search, const coordinator::FinalAnswer& answer,
                                const Coming& coming) {
  std::vector<Hit> hits;
  std::int64_t total = 0;
  bool tracked = true, exact = answer.shard_responses.size() == coming.asked->size();
  std::optional<double> best;
  std::string_view best_text = "null";
  for (const coordinator::ShardResponse& shard_response : answer.shard_responses) {
    if (!ReadHits(shard_response, search, hits)) return std::nullopt;
    std::string_view outer = json::Get(shard_response.value, "hits");
    AddTotal(json::Get(outer, "total"), total, tracked, exact);
    std::string_view score = json::Get(outer, "max_score");
    auto value = json::Number(score);
    if (value && (!best || *value > *best)) {
      best = value;
      best_text = score;
    }
  }
  std::ranges::sort(hits, [&](const Hit& a, const Hit& b) { return Before(search.sort, a, b); });
  auto from = std::min(hits.size(), static_cast<std::size_t>(search.from));
  auto end = std::min(hits.size(), from + static_cast<std::size_t>(search.size));
  Merged out;
  out.hits = end - from;
  out.body = fmt::format("{{\"took\":{},\"timed_out\":{},{},\"hits\":{{", coming.took_us / 1000,
                         coming.timed_out, Shards(answer, coming));
  if (tracked) {
    fmt::format_to(std::back_inserter(out.body), "\"total\":{{\"value\":{},\"relation\":\"{}\"}},", total,
                   exact ? "eq" : "gte");
  }
  fmt::format_to(std::back_inserter(out.body), "\"max_score\":{},\"hits\":[", best_text);
  for (std::size_t i = from; i < end; ++i) {
    if (i > from) out.body += ',';
    out.body += hits[i].text;
  }
  out.body += "]}";
  if (end > from) out.last_sort = hits[end - 1].sort_text;
  return out;
}

std::string MergeCounts(const coordinator::FinalAnswer& answer, const Coming& coming) {
  std::int64_t sum = 0;
  for (const coordinator::ShardResponse& shard_response : answer.shard_responses)
    sum += json::Integer(json::Get(shard_response.value, "count")).value_or(0);
  return fmt::format("{{\"count\":{},{}}}", sum, Shards(answer, coming));
}

}  // namespace liftrudder::opensearch
