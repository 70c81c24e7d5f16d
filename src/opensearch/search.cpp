#include "opensearch/search.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>

#include "net/json.h"
#include "opensearch/access_control.h"

namespace liftrudder::opensearch {
namespace {

namespace json = net::json;

constexpr std::string_view kPassedMembers[] = {
    "_source",          "stored_fields", "fields",  "docvalue_fields",  "script_fields",
    "highlight",        "min_score",     "explain", "version",          "post_filter",
    "track_total_hits", "track_scores",  "timeout", "runtime_mappings", "seq_no_primary_term"};
constexpr std::string_view kPassedParameters[] = {"q",
                                                  "df",
                                                  "default_operator",
                                                  "analyzer",
                                                  "lenient",
                                                  "_source",
                                                  "_source_includes",
                                                  "_source_excludes",
                                                  "stored_fields",
                                                  "docvalue_fields",
                                                  "track_total_hits",
                                                  "track_scores",
                                                  "version",
                                                  "explain"};

bool Listed(std::string_view name, std::span<const std::string_view> names) {
  return std::ranges::find(names, name) != names.end();
}

std::optional<std::int64_t> Count(std::string_view text) {
  auto value = json::Integer(text);
  return value && *value >= 0 ? value : std::nullopt;
}

// One element of a sort: "field", {"field":"desc"} or {"field":{"order":"desc","missing":"_first"}}.
bool ReadSortKey(std::string_view element, std::vector<SortKey>& out) {
  if (auto field = json::String(element)) {
    if (*field == "_doc") return true;  // any order will do; the tiebreak gives one
    out.push_back({std::string(element), *field == "_score", false});
    return true;
  }
  int members = 0;
  bool ok = json::JsonMembers(element, [&](std::string_view field, std::string_view value) {
    ++members;
    if (field == "_doc") return true;
    SortKey key{std::string(element), field == "_score", false};
    std::string_view order = value.starts_with('{') ? json::Get(value, "order") : value;
    if (!order.empty()) {
      auto word = json::String(order);
      if (!word || (*word != "asc" && *word != "desc")) return false;
      key.descending = *word == "desc";
    }
    if (value.starts_with('{')) {
      std::string_view missing = json::Get(value, "missing");
      key.missing_first = json::String(missing) == "_first";
      if (!missing.empty() && json::String(missing) != "_first" && json::String(missing) != "_last")
        return false;
    }
    out.push_back(std::move(key));
    return true;
  });
  return ok && members == 1;
}

bool ReadSort(std::string_view value, std::vector<SortKey>& out) {
  out.clear();
  if (!value.starts_with('[')) return ReadSortKey(value, out);
  return json::Elements(value, [&out](std::string_view element) { return ReadSortKey(element, out); });
}

// The form of the query string: field, field:desc, several with commas.
bool ReadSortParameter(std::string_view text, std::vector<SortKey>& out) {
  out.clear();
  while (!text.empty()) {
    std::string_view one = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), one.size() + 1));
    auto colon = one.find(':');
    std::string field = json::Quote(one.substr(0, colon));
    std::string element = colon == std::string_view::npos ? field
                                                          : fmt::format("{{{}:{{\"order\":{}}}}}", field,
                                                                        json::Quote(one.substr(colon + 1)));
    if (!ReadSortKey(element, out)) return false;
  }
  return true;
}

std::optional<ApiError> ReadParameter(std::string_view name, std::string_view raw, Search& out,
                                      bool& sorted) {
  std::string value = Unescape(raw);
  if (name == "from" || name == "size") {
    auto count = Count(value);
    if (!count) return BadRequest(fmt::format("[{}] must be a whole number of 0 or more", name));
    (name == "from" ? out.from : out.size) = *count;
  } else if (name == "sort") {
    sorted = true;
    if (!ReadSortParameter(value, out.sort)) return BadRequest("[sort] cannot be read");
  } else if (name == "scroll") {
    auto span = ReadSpan(value);
    if (!span || *span <= 0) return BadRequest("[scroll] is not a time such as 1m");
    out.keep_alive_us = *span;
  } else if (name == "allow_partial_search_results") {
    if (value != "true" && value != "false")
      return BadRequest("[allow_partial_search_results] is no boolean");
    out.allow_partial = value == "true";
  } else if (Listed(name, kPassedParameters)) {
    fmt::format_to(std::back_inserter(out.parameters), "&{}={}", name, raw);
  } else {
    return BadRequest(fmt::format("parameter [{}] is not supported", name));
  }
  return std::nullopt;
}

std::optional<ApiError> ReadMember(std::string_view name, std::string_view value, Search& out, bool& sorted) {
  if (name == "from" || name == "size") {
    auto count = Count(value);
    if (!count) return BadRequest(fmt::format("[{}] must be a whole number of 0 or more", name));
    (name == "from" ? out.from : out.size) = *count;
  } else if (name == "sort") {
    sorted = true;
    if (!ReadSort(value, out.sort)) return BadRequest("[sort] cannot be read");
  } else if (name == "search_after") {
    if (!value.starts_with('[')) return BadRequest("[search_after] must be an array");
    out.search_after = value;
  } else if (name == "query") {
    out.query = value;
  } else if (Listed(name, kPassedMembers)) {
    fmt::format_to(std::back_inserter(out.passed), ",\"{}\":{}", name, value);
  } else {
    return BadRequest(fmt::format("[{}] is not supported in a search here", name));
  }
  return std::nullopt;
}

// A total order: pages can then be cut at a place in it, whichever holder answers for a shard.
std::optional<ApiError> Settle(const Options& options, bool sorted, Search& out) {
  out.by_score = !sorted;
  if (!sorted) out.sort = {{"{\"_score\":{\"order\":\"desc\"}}", true, false}};
  std::string field = json::Quote(options.tiebreak);
  SortKey tiebreak{fmt::format("{{{}:{{\"order\":\"asc\"}}}}", field), false, false};
  bool unique = !out.sort.empty() && out.sort.back().text.find(field) != std::string::npos;
  if (out.search_after.empty()) {
    if (!unique) out.sort.push_back(tiebreak);
    return std::nullopt;
  }
  std::size_t values = 0;
  bool ok = json::Elements(out.search_after, [&values](std::string_view) { return ++values > 0; });
  if (!unique && values == out.sort.size() + 1) out.sort.push_back(tiebreak);
  if (!ok || values != out.sort.size() || values == 0)
    return BadRequest("[search_after] must have as many values as [sort]");
  if (out.from > 0) return BadRequest("[from] must be 0 when [search_after] is used");
  return std::nullopt;
}

}  // namespace

std::optional<coordinator::Micros> ReadSpan(std::string_view text) {
  std::int64_t count = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), count);
  if (error != std::errc() || count < 0 || count > 1'000'000'000) return std::nullopt;
  std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  if (unit == "ms") return count * 1'000;
  if (unit == "s") return count * 1'000'000;
  if (unit == "m") return count * 60'000'000;
  if (unit == "h") return count * 3'600'000'000;
  return std::nullopt;
}

std::optional<ApiError> ReadSearch(const net::HttpMessage& request, std::string_view body,
                                   const Options& options, const std::string& filter, Search& out) {
  std::optional<ApiError> error;
  bool sorted = false;
  auto mark = request.target.find('?');
  std::string_view rest = mark == std::string::npos ? "" : std::string_view(request.target).substr(mark + 1);
  while (!rest.empty() && !error) {
    std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    auto equals = std::min(pair.find('='), pair.size());
    error =
        ReadParameter(pair.substr(0, equals), pair.substr(std::min(pair.size(), equals + 1)), out, sorted);
  }
  if (error) return error;
  if (!body.empty()) {
    bool ok = json::JsonMembers(body, [&](std::string_view name, std::string_view value) {
      error = ReadMember(name, value, out, sorted);
      return !error;
    });
    if (error) return error;
    if (!ok) return ApiError{400, "parsing_exception", "the body is not a JSON object", 0, false};
  }
  if (!filter.empty()) {
    error = CheckConfined(body);
    if (!error) error = Confine(filter, out.query, out.parameters);
    if (error) return error;
  }
  if (out.from + out.size > options.result_window) {
    return BadRequest(
        fmt::format("result window is too large: from + size must be at most {}; use a scroll "
                    "or search_after to go deeper",
                    options.result_window));
  }
  if (out.keep_alive_us > 0 && (out.from > 0 || out.size == 0 || !out.search_after.empty()))
    return BadRequest("a scroll takes a [size] above 0, and neither [from] nor [search_after]");
  if (out.keep_alive_us > options.max_keep_alive_us)
    return BadRequest("[scroll] is kept for longer than allowed");
  return Settle(options, sorted, out);
}

std::string ShardBody(const Search& search) {
  std::string out = fmt::format("{{\"from\":0,\"size\":{},\"sort\":[", search.from + search.size);
  for (const SortKey& key : search.sort) {
    if (&key != &search.sort.front()) out += ',';
    out += key.text;
  }
  out += ']';
  if (!search.search_after.empty()) out += ",\"search_after\":" + search.search_after;
  // With a sort spelled out holders score only when told to, and by_score needs the best score.
  if (search.by_score && search.passed.find("\"track_scores\":") == std::string::npos)
    out += ",\"track_scores\":true";
  if (!search.query.empty()) out += ",\"query\":" + search.query;
  return out + search.passed + "}";
}

}  // namespace liftrudder::opensearch
