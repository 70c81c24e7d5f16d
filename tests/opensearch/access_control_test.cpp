// A confined tenant's searches: whatever it asks, what endpoints get matches its own rows and no other, and
// what could reach past the filter is rejected. The endpoint is a small evaluator that would serve anything.
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

const std::string kNorth = R"({"term":{"school":"north"}})";

bool Matches(const Json& query, const Json& row);

// Of a list, or of the one query that may stand in its place.
template <typename Quantifier>
bool Each(const Json& clause, const Json& row, Quantifier quantifier) {
  std::vector<Json> all = clause.is_array() ? clause.get<std::vector<Json>>() : std::vector<Json>{clause};
  return quantifier(all, [&row](const Json& one) { return Matches(one, row); });
}
constexpr auto kAll = [](const auto& all, auto holds) { return std::ranges::all_of(all, holds); };
constexpr auto kAny = [](const auto& all, auto holds) { return std::ranges::any_of(all, holds); };

bool Matches(const Json& query, const Json& row) {
  const std::string& kind = query.begin().key();
  const Json& value = *query.begin();
  if (kind == "match_all") return true;
  if (kind == "match_none") return false;
  if (kind == "term") return row[value.begin().key()] == *value.begin();
  if (kind == "terms") {
    return std::ranges::find(*value.begin(), row[value.begin().key()]) != value.begin()->end();
  }
  if (kind == "constant_score") return Matches(value["filter"], row);
  if (kind == "dis_max") return Each(value["queries"], row, kAny);
  if (kind == "boosting") return Matches(value["positive"], row);
  if (kind != "bool") throw std::runtime_error("no such query: " + kind);
  bool required = value.contains("must") || value.contains("filter");
  for (const char* name : {"must", "filter"}) {
    if (value.contains(name) && !Each(value[name], row, kAll)) return false;
  }
  if (value.contains("must_not") && Each(value["must_not"], row, kAny)) return false;
  return required || !value.contains("should") || Each(value["should"], row, kAny);
}

rc::Gen<Json> Query(int depth) {
  auto leaf = rc::gen::oneOf(rc::gen::just(Json{{"match_all", Json::object()}}),
                             rc::gen::just(Json{{"match_none", Json::object()}}),
                             rc::gen::map(rc::gen::element<std::string>("north", "south", "east"),
                                          [](const std::string& school) {
                                            return Json{{"term", {{"school", school}}}};
                                          }),
                             rc::gen::map(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4)),
                                          [](const std::vector<int>& ns) {
                                            return Json{{"terms", {{"n", ns}}}};
                                          }));
  if (depth == 0) return leaf;
  auto inner = rc::gen::container<std::vector<Json>>(2, rc::gen::lazy([depth] { return Query(depth - 1); }));
  return rc::gen::oneOf(
      leaf,
      rc::gen::map(inner,
                   [](const std::vector<Json>& q) {
                     return Json{{"bool", {{"should", q}, {"must_not", {q[0]}}}}};
                   }),
      rc::gen::map(inner,
                   [](const std::vector<Json>& q) {
                     return Json{{"bool", {{"must", q[0]}, {"should", q}, {"boost", 2}}}};
                   }),
      rc::gen::map(inner,
                   [](const std::vector<Json>& q) {
                     return Json{{"bool", {{"must_not", q}}}};
                   }),
      rc::gen::map(inner,
                   [](const std::vector<Json>& q) {
                     return Json{{"constant_score", {{"filter", q[0]}}}};
                   }),
      rc::gen::map(
          inner,
          [](const std::vector<Json>& q) {
            return Json{{"boosting", {{"positive", q[0]}, {"negative", q[1]}, {"negative_boost", 0.5}}}};
          }),
      rc::gen::map(inner, [](const std::vector<Json>& q) {
        return Json{{"dis_max", {{"queries", q}}}};
      }));
}

int Status(const std::string& body) {
  auto error = opensearch::CheckConfined(body);
  return error ? error->status : 200;
}

}  // namespace

TEST_CASE("whatever a confined tenant asks, it gets its own rows that match, and no other") {
  rc::check([] {
    Json query = *Query(4);
    RC_ASSERT(Status(Json{{"query", query}}.dump()) == 200);
    auto search = opensearch::Confine(kNorth, {query.dump(), ""});
    RC_ASSERT(search.has_value());
    Json confined = Json::parse(search->query);
    for (const char* school : {"north", "south", "east"}) {
      for (int n = 0; n < 4; ++n) {
        Json row = {{"school", school}, {"n", n}};
        RC_ASSERT(Matches(confined, row) == (row["school"] == "north" && Matches(query, row)));
      }
    }
  });
}

TEST_CASE("what could reach past a filter is rejected by name, what cannot is not") {
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

TEST_CASE("a query in the URL goes into the body, where the filter is, and never beside one") {
  auto search = opensearch::Confine(kNorth, {"", "&q=a%22%7D+OR+b&df=t&_source=n"});
  REQUIRE(search.has_value());
  CHECK(search->parameters == "&_source=n");
  Json confined = Json::parse(search->query);
  CHECK(confined["bool"]["must"][0]["query_string"]["query"] == "a\"} OR b");
  CHECK(confined["bool"]["must"][0]["query_string"]["default_field"] == "t");
  CHECK(confined["bool"]["filter"] == Json::array({Json::parse(kNorth)}));
  for (std::string wrong : {"&q=a&q=b", "&df=t", "&explain=true"}) {
    INFO(wrong);
    CHECK_FALSE(opensearch::Confine(kNorth, {"", wrong}).has_value());
  }
  CHECK_FALSE(opensearch::Confine(kNorth, {R"({"match_all":{}})", "&q=a"}).has_value());
}

TEST_CASE("networks contain addresses of both kinds, and a permission table that is wrong says where") {
  auto networks = identity::Networks::Parse({"10.1.0.0/16", "fd00:12::/32", "192.0.2.7"});
  REQUIRE(networks);
  for (const char* in : {"10.1.255.3", "fd00:12::9", "192.0.2.7", "::ffff:10.1.2.3"}) {
    CHECK(networks->Contains(in));
  }
  for (const char* out : {"10.2.0.1", "fd00:13::1", "192.0.2.8", "", "x", "::ffff:10.2.0.1", "a01::"}) {
    CHECK_FALSE(networks->Contains(out));
  }
  Json permission_table = {
      {"keys", "k"}, {"issuer", "i"}, {"audience", "a"}, {"tenants", {{"north", {{"indices", {"x"}}}}}}};
  CHECK(identity::PermissionTable::Parse(permission_table.dump()));
  for (auto [place, value, says] :
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
    bad[Json::json_pointer(place)] = value;
    auto table = identity::PermissionTable::Parse(bad.dump());
    INFO(place);
    REQUIRE_FALSE(table);
    CHECK_THAT(table.error().Message(), Catch::Matchers::Contains(says));
  }
}

TEST_CASE("rejections are logged a few a second, and those left out are counted") {
  identity::AuditLimiter audit;
  int written = 0;
  for (int i = 0; i < 1000; ++i) written += audit.TryWrite(1'000'000 + i).has_value() ? 1 : 0;
  CHECK(written == 20);
  auto suppressed = audit.TryWrite(2'100'000);
  CHECK(suppressed.has_value());
  CHECK(suppressed == 980);
}
