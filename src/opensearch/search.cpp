#include "opensearch/search.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <span>
#include <utility>

#include "net/json.h"
#include "opensearch/access_control.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

namespace json = net::json;

constexpr std::string_view kForwardedMembers[] = {
    "_source",          "stored_fields", "fields",  "docvalue_fields",  "script_fields",
    "highlight",        "min_score",     "explain", "version",          "post_filter",
    "track_total_hits", "track_scores",  "timeout", "runtime_mappings", "seq_no_primary_term"};
constexpr std::string_view kForwardedParameters[] = {"q",
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

bool IsOneOf(std::string_view name, std::span<const std::string_view> names) {
  return std::ranges::find(names, name) != names.end();
}

std::optional<std::int64_t> ReadNonNegative(std::string_view text) {
  auto value = json::ParseInteger(text);
  return value && *value >= 0 ? value : std::nullopt;
}

// One element of a sort: "field", {"field":"desc"} or {"field":{"order":"desc","missing":"_first"}}.
bool ReadSortKey(std::string_view element, std::vector<SortKey>& out) {
  if (auto field = json::ParseString(element)) {
    if (*field == wire::kDocField) return true;  // _doc accepts any order: the tiebreak alone decides
    out.push_back({std::string(element), *field == wire::kScoreField, false});
    return true;
  }
  int members = 0;
  bool ok = json::ForEachMember(element, [&](std::string_view field, std::string_view value) {
    ++members;
    if (field == wire::kDocField) return true;
    SortKey key{std::string(element), field == wire::kScoreField, false};
    std::string_view order = value.starts_with('{') ? json::FindMember(value, wire::kOrder) : value;
    if (!order.empty()) {
      auto direction = json::ParseString(order);
      if (!direction || (*direction != wire::kAscending && *direction != wire::kDescending)) return false;
      key.descending = *direction == wire::kDescending;
    }
    if (value.starts_with('{')) {
      std::string_view missing = json::FindMember(value, wire::kMissing);
      key.missing_first = json::ParseString(missing) == wire::kMissingFirst;
      if (!missing.empty() && json::ParseString(missing) != wire::kMissingFirst &&
          json::ParseString(missing) != wire::kMissingLast) {
        return false;
      }
    }
    out.push_back(std::move(key));
    return true;
  });
  return ok && members == 1;
}

bool ReadSort(std::string_view value, std::vector<SortKey>& out) {
  out.clear();
  if (!value.starts_with('[')) return ReadSortKey(value, out);
  return json::ForEachElement(value, [&out](std::string_view element) { return ReadSortKey(element, out); });
}

// Reads the sort in the form of a URL parameter: field or field:desc, separated by commas.
bool ReadSortParameter(std::string_view text, std::vector<SortKey>& out) {
  out.clear();
  while (!text.empty()) {
    std::string_view item = text.substr(0, text.find(','));
    text.remove_prefix(std::min(text.size(), item.size() + 1));
    auto colon = item.find(':');
    std::string field = json::Quote(item.substr(0, colon));
    std::string element = colon == std::string_view::npos ? field
                                                          : fmt::format(R"({{{}:{{"order":{}}}}})", field,
                                                                        json::Quote(item.substr(colon + 1)));
    if (!ReadSortKey(element, out)) return false;
  }
  return true;
}

// Reads the parameters and members of one search.
struct SearchReader {
  Search search;
  bool sort_requested = false;  // by the client

  // `raw`: the value as it is in the URL, still escaped.
  std::optional<ApiError> ReadParameter(std::string_view name, std::string_view raw);
  std::optional<ApiError> ReadMember(std::string_view name, std::string_view value);

 private:
  std::optional<ApiError> ReadFromOrSize(std::string_view name, std::string_view value);
};

std::optional<ApiError> SearchReader::ReadFromOrSize(std::string_view name, std::string_view value) {
  auto number = ReadNonNegative(value);
  if (!number) return BadRequest(fmt::format("[{}] must be a whole number of 0 or more", name));
  (name == wire::kFrom ? search.from : search.size) = *number;
  return std::nullopt;
}

std::optional<ApiError> SearchReader::ReadParameter(std::string_view name, std::string_view raw) {
  std::string value = net::PercentDecode(raw);
  if (name == wire::kFrom || name == wire::kSize) return ReadFromOrSize(name, value);
  if (name == wire::kSort) {
    sort_requested = true;
    if (!ReadSortParameter(value, search.sort)) return BadRequest("[sort] cannot be read");
  } else if (name == wire::kScroll) {
    auto duration_us = ReadDuration(value);
    if (!duration_us || *duration_us <= 0) return BadRequest("[scroll] is not a time such as 1m");
    search.keep_alive_us = *duration_us;
  } else if (name == wire::kAllowPartial) {
    if (value != "true" && value != "false") {
      return BadRequest("[allow_partial_search_results] is no boolean");
    }
    search.allow_partial = value == "true";
  } else if (IsOneOf(name, kForwardedParameters)) {
    // Encoded anew: what a client sent may read otherwise to an endpoint, such as a `;` between parameters.
    fmt::format_to(std::back_inserter(search.parameters), "&{}={}", name, net::PercentEncode(value));
  } else {
    return BadRequest(fmt::format("parameter [{}] is not supported", name));
  }
  return std::nullopt;
}

std::optional<ApiError> SearchReader::ReadMember(std::string_view name, std::string_view value) {
  if (name == wire::kFrom || name == wire::kSize) return ReadFromOrSize(name, value);
  if (name == wire::kSort) {
    sort_requested = true;
    if (!ReadSort(value, search.sort)) return BadRequest("[sort] cannot be read");
  } else if (name == wire::kSearchAfter) {
    if (!value.starts_with('[')) return BadRequest("[search_after] must be an array");
    search.search_after = value;
  } else if (name == wire::kQuery) {
    search.query = value;
  } else if (IsOneOf(name, kForwardedMembers)) {
    fmt::format_to(std::back_inserter(search.forwarded), R"(,"{}":{})", name, value);
  } else {
    return BadRequest(fmt::format("[{}] is not supported in a search here", name));
  }
  return std::nullopt;
}

// Adds the tiebreak unless the sort ends with it, so that the order is total: a page then begins at the same
// hit whichever endpoint answers for a shard. Checks search_after against the sort.
std::optional<ApiError> EnsureTotalOrder(const Options& options, bool sort_requested, Search& out) {
  out.by_score = !sort_requested;
  if (!sort_requested) out.sort = {{R"({"_score":{"order":"desc"}})", true, false}};
  std::string field = json::Quote(options.tiebreak);
  SortKey tiebreak{fmt::format(R"({{{}:{{"order":"asc"}}}})", field), false, false};
  bool ends_with_tiebreak = !out.sort.empty() && out.sort.back().text.find(field) != std::string::npos;
  if (out.search_after.empty()) {
    if (!ends_with_tiebreak) out.sort.push_back(tiebreak);
    return std::nullopt;
  }
  std::size_t value_count = 0;
  bool ok =
      json::ForEachElement(out.search_after, [&value_count](std::string_view) { return ++value_count > 0; });
  if (!ends_with_tiebreak && value_count == out.sort.size() + 1) out.sort.push_back(tiebreak);
  if (!ok || value_count != out.sort.size() || value_count == 0) {
    return BadRequest("[search_after] must have as many values as [sort]");
  }
  if (out.from > 0) return BadRequest("[from] must be 0 when [search_after] is used");
  return std::nullopt;
}

}  // namespace

std::optional<coordinator::Micros> ReadDuration(std::string_view text) {
  std::int64_t number = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || number < 0 || number > 1'000'000'000) return std::nullopt;
  std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  if (unit == "ms") return number * 1'000;
  if (unit == "s") return number * 1'000'000;
  if (unit == "m") return number * 60'000'000;
  if (unit == "h") return number * 3'600'000'000;
  return std::nullopt;
}

namespace {

// Reads the parameters of the URL.
std::optional<ApiError> ReadParameters(std::string_view target, SearchReader& reader) {
  auto question_mark = target.find('?');
  std::string_view remaining =
      question_mark == std::string_view::npos ? "" : target.substr(question_mark + 1);
  while (!remaining.empty()) {
    std::string_view parameter = remaining.substr(0, remaining.find('&'));
    remaining.remove_prefix(std::min(remaining.size(), parameter.size() + 1));
    auto equals = std::min(parameter.find('='), parameter.size());
    std::string_view value = parameter.substr(std::min(parameter.size(), equals + 1));
    if (auto error = reader.ReadParameter(parameter.substr(0, equals), value)) return error;
  }
  return std::nullopt;
}

std::optional<ApiError> ReadBody(std::string_view body, SearchReader& reader) {
  if (body.empty()) return std::nullopt;
  std::optional<ApiError> error;
  bool readable = json::ForEachMember(body, [&](std::string_view name, std::string_view value) {
    error = reader.ReadMember(name, value);
    return !error;
  });
  if (!error && !readable) error = UnreadableBody("the body is not a JSON object");
  return error;
}

std::optional<ApiError> RestrictSearch(const std::string& filter, std::string_view body, Search& search) {
  if (filter.empty()) return std::nullopt;
  if (auto error = CheckRestricted(body)) return error;
  auto restricted = RestrictQuery(filter, {search.query, search.parameters});
  if (!restricted) return std::move(restricted.error());
  search.query = std::move(restricted->query);
  search.parameters = std::move(restricted->parameters);
  return std::nullopt;
}

std::optional<ApiError> CheckLimits(const Search& search, const Options& options) {
  if (search.from + search.size > options.result_window) {
    return BadRequest(
        fmt::format("result window is too large: from + size must be at most {}; use a scroll "
                    "or search_after to go deeper",
                    options.result_window));
  }
  bool can_scroll = search.from == 0 && search.size > 0 && search.search_after.empty();
  if (search.keep_alive_us > 0 && !can_scroll) {
    return BadRequest("a scroll takes a [size] above 0, and neither [from] nor [search_after]");
  }
  if (search.keep_alive_us > options.max_keep_alive_us) {
    return BadRequest("[scroll] is kept for longer than allowed");
  }
  return std::nullopt;
}

}  // namespace

tl::expected<Search, ApiError> ReadSearch(const net::HttpMessage& request, std::string_view body,
                                          const Options& options, const std::string& filter) {
  SearchReader reader;
  auto error = ReadParameters(request.target, reader);
  if (!error) error = ReadBody(body, reader);
  if (!error) error = RestrictSearch(filter, body, reader.search);
  if (!error) error = CheckLimits(reader.search, options);
  if (!error) error = EnsureTotalOrder(options, reader.sort_requested, reader.search);
  if (error) return tl::unexpected(std::move(*error));
  return std::move(reader.search);
}

std::string ShardBody(const Search& search) {
  std::string out = fmt::format(R"({{"from":0,"size":{},"sort":[)", search.from + search.size);
  for (const SortKey& key : search.sort) {
    if (&key != &search.sort.front()) out += ',';
    out += key.text;
  }
  out += ']';
  if (!search.search_after.empty()) out += R"(,"search_after":)" + search.search_after;
  // Endpoints compute no scores when a sort is stated, unless track_scores is set; by_score needs max_score.
  if (search.by_score && search.forwarded.find(R"("track_scores":)") == std::string::npos) {
    out += R"(,"track_scores":true)";
  }
  if (!search.query.empty()) out += R"(,"query":)" + search.query;
  return out + search.forwarded + "}";
}

}  // namespace liftrudder::opensearch
