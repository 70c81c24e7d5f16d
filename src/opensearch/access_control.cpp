#include "opensearch/access_control.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

#include "identity/strict_json.h"
#include "net/json.h"

namespace liftrudder::opensearch {
namespace {

using Json = nlohmann::json;
using Names = std::span<const std::string_view>;

constexpr std::size_t kMostDepth = 32;

// Queries about the document's own fields, without one inside. Left out on purpose: those that fetch another
// document (more_like_this, percolate, geo_shape with an indexed shape, terms with a look-up) or run a
// script.
constexpr std::string_view kPlainQueries[] = {"match",
                                              "match_phrase",
                                              "match_phrase_prefix",
                                              "match_bool_prefix",
                                              "multi_match",
                                              "term",
                                              "range",
                                              "exists",
                                              "prefix",
                                              "wildcard",
                                              "regexp",
                                              "fuzzy",
                                              "ids",
                                              "match_all",
                                              "match_none",
                                              "query_string",
                                              "simple_query_string"};
struct Compound {
  std::string_view name;
  std::array<std::string_view, 4> inner;  // members that are a query or an array of them
  std::array<std::string_view, 4> plain;  // members that are values
};
constexpr Compound kCompounds[] = {{"bool",
                                    {"must", "should", "filter", "must_not"},
                                    {"minimum_should_match", "boost", "adjust_pure_negative"}},
                                   {"constant_score", {"filter"}, {"boost"}},
                                   {"dis_max", {"queries"}, {"tie_breaker", "boost"}},
                                   {"boosting", {"positive", "negative"}, {"negative_boost", "boost"}},
                                   {"nested", {"query"}, {"path", "score_mode", "ignore_unmapped", "boost"}}};

// Members of a search that show or order documents which the filter has let through. Left out:
// runtime_mappings (gives the filter's own field another meaning), explain (figures over all tenants'
// documents), scripts.
constexpr std::string_view kOwnMembers[] = {"from",
                                            "size",
                                            "search_after",
                                            "_source",
                                            "stored_fields",
                                            "fields",
                                            "docvalue_fields",
                                            "min_score",
                                            "version",
                                            "track_total_hits",
                                            "track_scores",
                                            "timeout",
                                            "seq_no_primary_term"};
constexpr std::string_view kSortMembers[] = {"order",         "missing",      "mode",
                                             "unmapped_type", "numeric_type", "format"};
// Of the query string, those that are a query, with the names that query has for them.
constexpr std::pair<std::string_view, std::string_view> kAsking[] = {{"q", "query"},
                                                                     {"df", "default_field"},
                                                                     {"default_operator", "default_operator"},
                                                                     {"analyzer", "analyzer"},
                                                                     {"lenient", "lenient"}};

bool Among(std::string_view name, Names names) { return std::ranges::find(names, name) != names.end(); }

ApiError Kept(std::string_view what) {
  return {403, "security_exception", fmt::format("[{}] is not for callers whose rows are kept apart", what),
          0, false};
}

std::optional<ApiError> CheckQuery(const Json& query) {
  if (!query.is_object() || query.size() != 1) return BadRequest("a query is an object with one member");
  const std::string& kind = query.begin().key();
  const Json& value = *query.begin();
  if (Among(kind, kPlainQueries)) return std::nullopt;
  if (kind == "terms") {
    // An object in an array's place names a document elsewhere to take the terms from.
    for (const auto& [field, terms] : value.items())
      if (terms.is_object()) return Kept("terms look-up");
    return value.is_object() ? std::nullopt : std::optional(BadRequest("[terms] must be an object"));
  }
  auto compound = std::ranges::find(kCompounds, kind, &Compound::name);
  if (compound == std::end(kCompounds)) return Kept(kind);
  if (!value.is_object()) return BadRequest(fmt::format("[{}] must be an object", kind));
  for (const auto& [name, inner] : value.items()) {
    if (!name.empty() && Among(name, compound->plain)) continue;
    if (name.empty() || !Among(name, compound->inner)) return Kept(fmt::format("{}.{}", kind, name));
    if (!inner.is_array()) {
      if (auto error = CheckQuery(inner)) return error;
      continue;
    }
    for (const Json& one : inner)
      if (auto error = CheckQuery(one)) return error;
  }
  return std::nullopt;
}

std::optional<ApiError> CheckSort(const Json& sort) {
  if (sort.is_array()) {
    for (const Json& one : sort)
      if (auto error = CheckSort(one)) return error;
    return std::nullopt;
  }
  if (sort.is_string()) return std::nullopt;
  if (!sort.is_object()) return BadRequest("[sort] cannot be read");
  for (const auto& [field, how] : sort.items()) {
    if (field.starts_with("_") && field != "_score" && field != "_doc" && field != "_id")
      return Kept("sort." + field);
    if (!how.is_object()) continue;
    for (const auto& [name, value] : how.items())
      if (!Among(name, kSortMembers)) return Kept(fmt::format("sort.{}.{}", field, name));
  }
  return std::nullopt;
}

}  // namespace

std::optional<ApiError> CheckConfined(std::string_view body) {
  if (body.empty()) return std::nullopt;
  auto parsed = identity::ParseStrictJson(body, net::kMaxBodyBytes, kMostDepth);
  if (!parsed) {
    return ApiError{400, "parsing_exception", "the body: " + parsed.error().Message(), 0, false};
  }
  const Json& json = *parsed;
  if (!json.is_object()) return ApiError{400, "parsing_exception", "the body is not a JSON object", 0, false};
  for (const auto& [name, value] : json.items()) {
    std::optional<ApiError> error;
    if (name == "query" || name == "post_filter") {
      error = CheckQuery(value);
    } else if (name == "sort") {
      error = CheckSort(value);
    } else if (!Among(name, kOwnMembers)) {
      error = Kept(name);
    }
    if (error) return error;
  }
  return std::nullopt;
}

std::optional<ApiError> Confine(const std::string& filter, std::string& query, std::string& parameters) {
  std::string asked, left;
  std::string_view rest = parameters;
  bool any = false;
  while (!rest.empty()) {
    rest.remove_prefix(1);
    std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(pair.size());
    std::string_view name = pair.substr(0, pair.find('='));
    auto asks = std::ranges::find(kAsking, name, [](const auto& one) { return one.first; });
    if (name == "explain") return Kept(name);
    if (asks == std::end(kAsking)) {
      left.append("&").append(pair);
      continue;
    }
    std::string value = Unescape(pair.substr(std::min(pair.size(), name.size() + 1)));
    any = any || name == "q";
    if (asked.find(fmt::format("\"{}\":", asks->second)) != std::string::npos)
      return BadRequest(fmt::format("parameter [{}] is there twice", name));
    fmt::format_to(std::back_inserter(asked), "{}\"{}\":{}", asked.empty() ? "" : ",", asks->second,
                   net::json::Quote(value));
  }
  if (any && !query.empty()) return BadRequest("a query stands in the body or in [q], not in both");
  if (!any && !asked.empty())
    return BadRequest("[df], [default_operator], [analyzer] and [lenient] go with [q]");
  if (any) query = fmt::format("{{\"query_string\":{{{}}}}}", asked);
  // All documents score 1 without a query, and still do.
  if (query.empty()) query = "{\"match_all\":{}}";
  query = fmt::format("{{\"bool\":{{\"must\":[{}],\"filter\":[{}]}}}}", query, filter);
  parameters = std::move(left);
  return std::nullopt;
}

}  // namespace liftrudder::opensearch
