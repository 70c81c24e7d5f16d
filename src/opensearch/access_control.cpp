#include "opensearch/access_control.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <span>
#include <utility>

#include "identity/strict_json.h"
#include "net/http.h"
#include "net/json.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

using Json = nlohmann::json;
using Names = std::span<const std::string_view>;

constexpr std::size_t kMaxDepth = 32;  // nesting of the body's JSON

// Leaf queries, which read only the document's own fields. Deliberately omitted: queries that fetch another
// document (more_like_this, percolate, geo_shape with an indexed shape, terms with a look-up) or run a
// script.
constexpr std::string_view kLeafQueries[] = {"match",
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
struct CompoundQuery {
  std::string_view name;
  std::array<std::string_view, 4> subqueries;    // members that hold a query or an array of queries
  std::array<std::string_view, 4> plain_values;  // members that hold plain values
};
constexpr CompoundQuery kCompoundQueries[] = {
    {"bool",
     {"must", "should", "filter", "must_not"},
     {"minimum_should_match", "boost", "adjust_pure_negative"}},
    {"constant_score", {"filter"}, {"boost"}},
    {"dis_max", {"queries"}, {"tie_breaker", "boost"}},
    {"boosting", {"positive", "negative"}, {"negative_boost", "boost"}},
    {"nested", {"query"}, {"path", "score_mode", "ignore_unmapped", "boost"}}};

// Members of a search that return or order only documents that match the filter. Deliberately omitted:
// runtime_mappings (can redefine the field that the filter uses), explain (shows statistics over all tenants'
// documents) and scripts.
constexpr std::string_view kAllowedMembers[] = {"from",
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
// A URL parameter that is part of a query, and the corresponding member of a query_string query.
struct QueryParameter {
  std::string_view name;
  std::string_view member;
};
constexpr QueryParameter kQueryParameters[] = {{wire::kQueryString, "query"},
                                               {"df", "default_field"},
                                               {"default_operator", "default_operator"},
                                               {"analyzer", "analyzer"},
                                               {"lenient", "lenient"}};

bool IsOneOf(std::string_view name, Names names) { return std::ranges::find(names, name) != names.end(); }

ApiError NotForRestricted(std::string_view what) {
  return Forbidden(fmt::format("[{}] is not for callers whose rows are kept apart", what));
}

// Rejects an object in place of the array of terms: it names another document to read the terms from.
std::optional<ApiError> CheckTerms(const Json& value) {
  for (const auto& [field, terms] : value.items()) {
    if (terms.is_object()) return NotForRestricted("terms look-up");
  }
  if (!value.is_object()) return BadRequest("[terms] must be an object");
  return std::nullopt;
}

std::optional<ApiError> CheckCompound(const CompoundQuery& compound, const Json& value);

std::optional<ApiError> CheckQuery(const Json& query) {
  if (!query.is_object() || query.size() != 1) return BadRequest("a query is an object with one member");
  const std::string& kind = query.begin().key();
  const Json& value = *query.begin();
  if (IsOneOf(kind, kLeafQueries)) return std::nullopt;
  if (kind == "terms") return CheckTerms(value);
  auto compound = std::ranges::find(kCompoundQueries, kind, &CompoundQuery::name);
  if (compound == std::end(kCompoundQueries)) return NotForRestricted(kind);
  if (!value.is_object()) return BadRequest(fmt::format("[{}] must be an object", kind));
  return CheckCompound(*compound, value);
}

// Checks a query or an array of queries.
std::optional<ApiError> CheckSubqueries(const Json& subqueries) {
  if (!subqueries.is_array()) return CheckQuery(subqueries);
  for (const Json& query : subqueries) {
    if (auto error = CheckQuery(query)) return error;
  }
  return std::nullopt;
}

std::optional<ApiError> CheckCompound(const CompoundQuery& compound, const Json& value) {
  for (const auto& [name, subqueries] : value.items()) {
    if (!name.empty() && IsOneOf(name, compound.plain_values)) continue;
    if (name.empty() || !IsOneOf(name, compound.subqueries)) {
      return NotForRestricted(fmt::format("{}.{}", compound.name, name));
    }
    if (auto error = CheckSubqueries(subqueries)) return error;
  }
  return std::nullopt;
}

std::optional<ApiError> CheckSort(const Json& sort) {
  if (sort.is_array()) {
    for (const Json& sort_key : sort) {
      if (auto error = CheckSort(sort_key)) return error;
    }
    return std::nullopt;
  }
  if (sort.is_string()) return std::nullopt;
  if (!sort.is_object()) return BadRequest("[sort] cannot be read");
  for (const auto& [field, key_options] : sort.items()) {
    if (field.starts_with("_") && field != wire::kScoreField && field != wire::kDocField &&
        field != wire::kIdField) {
      return NotForRestricted("sort." + field);
    }
    if (!key_options.is_object()) continue;
    for (const auto& [name, value] : key_options.items()) {
      if (!IsOneOf(name, kSortMembers)) return NotForRestricted(fmt::format("sort.{}.{}", field, name));
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<ApiError> CheckRestricted(std::string_view body) {
  if (body.empty()) return std::nullopt;
  auto parsed = identity::ParseStrictJson(body, net::kMaxBodyBytes, kMaxDepth);
  if (!parsed) return UnreadableBody("the body: " + parsed.error().Message());
  const Json& json = *parsed;
  if (!json.is_object()) return UnreadableBody("the body is not a JSON object");
  for (const auto& [name, value] : json.items()) {
    std::optional<ApiError> error;
    if (name == wire::kQuery || name == wire::kPostFilter) {
      error = CheckQuery(value);
    } else if (name == wire::kSort) {
      error = CheckSort(value);
    } else if (!IsOneOf(name, kAllowedMembers)) {
      error = NotForRestricted(name);
    }
    if (error) return error;
  }
  return std::nullopt;
}

namespace {

// The URL's parameters, separated into those of a query and the others.
struct UrlQuery {
  std::string members;           // of a query_string query, separated by commas
  std::string other_parameters;  // the other parameters, each preceded by an ampersand
  bool has_query = false;
};

tl::expected<UrlQuery, ApiError> SplitQueryParameters(std::string_view parameters) {
  UrlQuery out;
  while (!parameters.empty()) {
    parameters.remove_prefix(1);
    std::string_view parameter = parameters.substr(0, parameters.find('&'));
    parameters.remove_prefix(parameter.size());
    std::string_view name = parameter.substr(0, parameter.find('='));
    if (name == wire::kExplain) return tl::unexpected(NotForRestricted(name));
    auto known = std::ranges::find(kQueryParameters, name, &QueryParameter::name);
    if (known == std::end(kQueryParameters)) {
      out.other_parameters.append("&").append(parameter);
      continue;
    }
    std::string value = net::PercentDecode(parameter.substr(std::min(parameter.size(), name.size() + 1)));
    out.has_query = out.has_query || name == wire::kQueryString;
    if (out.members.find(fmt::format(R"("{}":)", known->member)) != std::string::npos) {
      return tl::unexpected(BadRequest(fmt::format("parameter [{}] is there twice", name)));
    }
    fmt::format_to(std::back_inserter(out.members), R"({}"{}":{})", out.members.empty() ? "" : ",",
                   known->member, net::json::Quote(value));
  }
  return out;
}

}  // namespace

tl::expected<SearchQuery, ApiError> RestrictQuery(const std::string& filter, const SearchQuery& search) {
  auto url = SplitQueryParameters(search.parameters);
  if (!url) return tl::unexpected(std::move(url.error()));
  if (url->has_query && !search.query.empty()) {
    return tl::unexpected(BadRequest("a query stands in the body or in [q], not in both"));
  }
  if (!url->has_query && !url->members.empty()) {
    return tl::unexpected(BadRequest("[df], [default_operator], [analyzer] and [lenient] go with [q]"));
  }
  std::string query = search.query;
  if (url->has_query) query = fmt::format(R"({{"query_string":{{{}}}}})", url->members);
  // Without a query all documents score 1; match_all preserves that.
  if (query.empty()) query = R"({"match_all":{}})";
  return SearchQuery{fmt::format(R"({{"bool":{{"must":[{}],"filter":[{}]}}}})", query, filter),
                     std::move(url->other_parameters)};
}

}  // namespace liftrudder::opensearch
