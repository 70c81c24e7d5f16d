// Guards against a tenant that reads another tenant's documents: the query sent to endpoints matches only its
// own documents, and requests that could bypass the filter are rejected. A small evaluator of queries,
// without any access control, stands in for the endpoint.
#define CATCH_CONFIG_MAIN
#include "opensearch/access_control.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "identity/authenticator.h"

using namespace liftrudder;
using Json = nlohmann::json;

namespace {

const std::string kNorthFilter = R"({"term":{"school":"north"}})";

bool Matches(const Json& query, const Json& document);

// Applies the quantifier to a clause: a list of queries, or a single query in place of a list.
template <typename Quantifier>
bool MatchesClause(const Json& clause, const Json& document, Quantifier quantifier) {
  std::vector<Json> all = clause.is_array() ? clause.get<std::vector<Json>>() : std::vector<Json>{clause};
  return quantifier(all, [&document](const Json& one) { return Matches(one, document); });
}
constexpr auto kAllOf = [](const auto& all, auto predicate) { return std::ranges::all_of(all, predicate); };
constexpr auto kAnyOf = [](const auto& all, auto predicate) { return std::ranges::any_of(all, predicate); };

bool Matches(const Json& query, const Json& document) {
  const std::string& kind = query.begin().key();
  const Json& value = *query.begin();
  if (kind == "match_all") return true;
  if (kind == "match_none") return false;
  if (kind == "term") return document[value.begin().key()] == *value.begin();
  if (kind == "terms") {
    return std::ranges::find(*value.begin(), document[value.begin().key()]) != value.begin()->end();
  }
  if (kind == "constant_score") return Matches(value["filter"], document);
  if (kind == "dis_max") return MatchesClause(value["queries"], document, kAnyOf);
  if (kind == "boosting") return Matches(value["positive"], document);
  if (kind != "bool") throw std::runtime_error("no such query: " + kind);
  bool required = value.contains("must") || value.contains("filter");
  for (const char* name : {"must", "filter"}) {
    if (value.contains(name) && !MatchesClause(value[name], document, kAllOf)) return false;
  }
  if (value.contains("must_not") && MatchesClause(value["must_not"], document, kAnyOf)) return false;
  return required || !value.contains("should") || MatchesClause(value["should"], document, kAnyOf);
}

rc::Gen<Json> GenerateQuery(int depth) {
  auto leaf = rc::gen::oneOf(rc::gen::just(Json{{"match_all", Json::object()}}),
                             rc::gen::just(Json{{"match_none", Json::object()}}),
                             rc::gen::map(rc::gen::element<std::string>("north", "south", "east"),
                                          [](const std::string& school) {
                                            return Json{{"term", {{"school", school}}}};
                                          }),
                             rc::gen::map(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4)),
                                          [](const std::vector<int>& numbers) {
                                            return Json{{"terms", {{"n", numbers}}}};
                                          }));
  if (depth == 0) return leaf;
  auto inner =
      rc::gen::container<std::vector<Json>>(2, rc::gen::lazy([depth] { return GenerateQuery(depth - 1); }));
  return rc::gen::oneOf(
      leaf,
      rc::gen::map(inner,
                   [](const std::vector<Json>& queries) {
                     return Json{{"bool", {{"should", queries}, {"must_not", {queries[0]}}}}};
                   }),
      rc::gen::map(inner,
                   [](const std::vector<Json>& queries) {
                     return Json{{"bool", {{"must", queries[0]}, {"should", queries}, {"boost", 2}}}};
                   }),
      rc::gen::map(inner,
                   [](const std::vector<Json>& queries) {
                     return Json{{"bool", {{"must_not", queries}}}};
                   }),
      rc::gen::map(inner,
                   [](const std::vector<Json>& queries) {
                     return Json{{"constant_score", {{"filter", queries[0]}}}};
                   }),
      rc::gen::map(inner,
                   [](const std::vector<Json>& queries) {
                     return Json{
                         {"boosting",
                          {{"positive", queries[0]}, {"negative", queries[1]}, {"negative_boost", 0.5}}}};
                   }),
      rc::gen::map(inner, [](const std::vector<Json>& queries) {
        return Json{{"dis_max", {{"queries", queries}}}};
      }));
}

int Status(const std::string& body) {
  auto error = opensearch::CheckRestricted(body);
  return error ? error->status : 200;
}

}  // namespace

TEST_CASE("any query of a restricted tenant returns exactly those of its own documents that match") {
  rc::check([] {
    Json query = *GenerateQuery(4);
    RC_ASSERT(Status(Json{{"query", query}}.dump()) == 200);
    auto search = opensearch::RestrictQuery(kNorthFilter, {query.dump(), ""});
    RC_ASSERT(search.has_value());
    Json restricted = Json::parse(search->query);
    for (const char* school : {"north", "south", "east"}) {
      for (int n = 0; n < 4; ++n) {
        Json document = {{"school", school}, {"n", n}};
        RC_ASSERT(Matches(restricted, document) ==
                  (document["school"] == "north" && Matches(query, document)));
      }
    }
  });
}

TEST_CASE("requests that could bypass a filter are rejected, all others are accepted") {
  for (const char* body :
       {R"({"runtime_mappings":{"school":{"type":"keyword"}}})", R"({"explain":true})",
        R"({"script_fields":{}})", R"({"aggs":{"all":{"global":{}}}})", R"({"suggest":{}})",
        R"({"highlight":{"highlight_query":{}}})", R"({"query":{"script":{"script":"true"}}})",
        R"({"query":{"function_score":{}}})", R"({"query":{"more_like_this":{"like":[{"_id":"1"}]}}})",
        R"({"query":{"has_parent":{}}})",
        R"({"query":{"terms":{"n":{"index":"staff","id":"1","path":"n"}}}})",
        R"({"query":{"bool":{"must":[{"bool":{"should":{"percolate":{}}}}]}}})",
        R"({"query":{"bool":{"must_be":[]}}})",
        R"({"query":{"nested":{"path":"a","query":{},"inner_hits":{}}}})",
        R"({"post_filter":{"wrapper":{"query":"e30="}}})", R"({"sort":[{"_script":{}}]})",
        R"({"sort":{"n":{"nested":{"path":"a","filter":{}}}}})"}) {
    INFO(body);
    CHECK((Status(body) == 403 || Status(body) == 400));
  }
  for (const char* body :
       {R"({"query":{"match_all":{}},"query":{"match_none":{}}})", R"([])", R"({"query":)",
        R"({"query":{"match_all":{},"term":{"n":1}}})", R"({"query":[]})", R"({"query":{"terms":3}})"}) {
    INFO(body);
    CHECK(Status(body) == 400);
  }
  for (const char* body :
       {"", "{}",
        R"({"from":1,"size":2,"_source":["n"],"sort":["n",{"t":{"order":"desc"}},{"_score":"asc"}]})",
        R"({"query":{"match":{"t":"x"}},"post_filter":{"range":{"n":{"gt":1}}},"search_after":[1]})"}) {
    INFO(body);
    CHECK(Status(body) == 200);
  }
}

TEST_CASE("a query in the URL is moved into the body, within the filter, and rejected if the body has one") {
  auto search = opensearch::RestrictQuery(kNorthFilter, {"", "&q=a%22%7D+OR+b&df=t&_source=n"});
  REQUIRE(search.has_value());
  CHECK(search->parameters == "&_source=n");
  Json restricted = Json::parse(search->query);
  CHECK(restricted["bool"]["must"][0]["query_string"]["query"] == "a\"} OR b");
  CHECK(restricted["bool"]["must"][0]["query_string"]["default_field"] == "t");
  CHECK(restricted["bool"]["filter"] == Json::array({Json::parse(kNorthFilter)}));
  for (std::string wrong : {"&q=a&q=b", "&df=t", "&explain=true"}) {
    INFO(wrong);
    CHECK_FALSE(opensearch::RestrictQuery(kNorthFilter, {"", wrong}).has_value());
  }
  CHECK_FALSE(opensearch::RestrictQuery(kNorthFilter, {R"({"match_all":{}})", "&q=a"}).has_value());
}

TEST_CASE("networks contain IPv4 and IPv6 addresses, and an error in a permission table names its place") {
  auto networks = identity::Networks::Parse({"10.1.0.0/16", "fd00:12::/32", "192.0.2.7"});
  REQUIRE(networks);
  for (const char* inside : {"10.1.255.3", "fd00:12::9", "192.0.2.7", "::ffff:10.1.2.3"}) {
    CHECK(networks->Contains(inside));
  }
  for (const char* outside : {"10.2.0.1", "fd00:13::1", "192.0.2.8", "", "x", "::ffff:10.2.0.1", "a01::"}) {
    CHECK_FALSE(networks->Contains(outside));
  }
  Json permission_table = {
      {"keys", "k"}, {"issuer", "i"}, {"audience", "a"}, {"tenants", {{"north", {{"indices", {"x"}}}}}}};
  CHECK(identity::PermissionTable::Parse(permission_table.dump()));
  for (auto [pointer, value, expected_message] :
       {std::tuple("/tenants/north/netwroks", Json::array({"10.0.0.0/8"}),
                   "tenant 'north': [netwroks] is not known"),
        {"/tenants/north/networks", Json::array({"10.0.0.0/33"}), "tenant 'north': [networks] '10.0.0.0/33'"},
        {"/tenants/north/networks", Json::array(), "[networks] is empty"},
        {"/tenants/north/indices", Json("x"), "[indices]"},
        {"/tenants/a\nb", Json::object(), "control character"},
        {"/tenants/north/filter", Json::object(), "[filter]"},
        {"/tenants/north/pages", Json(1), "[pages]"},
        {"/skewS", Json(301), "[skewS]"},
        {"/issuer", Json(""), "[issuer] is missing"},
        {"/tenants", Json(), "[tenants]"}}) {
    Json bad = permission_table;
    bad[Json::json_pointer(pointer)] = value;
    auto table = identity::PermissionTable::Parse(bad.dump());
    INFO(pointer);
    REQUIRE_FALSE(table);
    CHECK_THAT(table.error().Message(), Catch::Matchers::Contains(expected_message));
  }
}

TEST_CASE("the audit log limits rejections to a burst and a rate, and counts those it suppresses") {
  identity::AuditLimiter audit;
  int written = 0;
  for (int i = 0; i < 1000; ++i) written += audit.TryWrite(1'000'000 + i).has_value() ? 1 : 0;
  CHECK(written == 20);
  auto suppressed = audit.TryWrite(2'100'000);
  CHECK(suppressed.has_value());
  CHECK(suppressed == 980);
}
