// Endpoint lists as discovery may send them: on one line or several, split at any byte, long, or malformed.
#define CATCH_CONFIG_MAIN
#include "config/endpoint_list.h"

#include <fmt/format.h>
#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "config/config.h"
#include "net/json_object_splitter.h"

using namespace liftrudder;
using Json = nlohmann::json;

namespace {

// A random JSON value, with strings that contain bytes of JSON's structure.
Json RandomValue(int depth) {
  static const std::vector<std::string> texts = {"", "}", "{\"a\":[", "\\", "\"", "a\nb", "\\\"}", "\u00e9]"};
  switch (*rc::gen::inRange(0, depth > 0 ? 5 : 3)) {
    case 0:
      return *rc::gen::inRange(-9, 9);
    case 1:
      return *rc::gen::elementOf(texts);
    case 2:
      return nullptr;
    case 3:
      return Json::array({RandomValue(depth - 1), RandomValue(depth - 1)});
    default:
      return Json{{*rc::gen::elementOf(texts), RandomValue(depth - 1)}, {"k", RandomValue(depth - 1)}};
  }
}

std::string RandomWhitespace() {
  return *rc::gen::elementOf(std::vector<std::string>{"", "\n", "\r\n", "\n\n", " \t", "\n  \n"});
}

std::vector<std::string> FeedInPieces(net::JsonObjectSplitter& splitter, std::string_view text,
                                      std::size_t size, bool& ok) {
  std::vector<std::string> parsed;
  ok = true;
  for (std::size_t at = 0; ok && at < text.size(); at += size) {
    ok = splitter.Feed(text.substr(at, size), [&parsed](std::string_view one) { parsed.emplace_back(one); });
  }
  return parsed;
}

config::Config ConfigWithNames() {
  config::Config config;
  config.zones = {"z"};
  config.kinds = {"k"};
  return config;
}

}  // namespace

TEST_CASE("objects are unchanged by their layout and by where the stream is split") {
  rc::check([] {
    std::vector<Json> input;
    std::string text;
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i) {
      input.push_back(Json{{"v", RandomValue(3)}});
      text += RandomWhitespace() + input.back().dump(*rc::gen::inRange(-1, 4)) + RandomWhitespace();
    }
    for (std::size_t size = 1; size <= text.size(); ++size) {
      net::JsonObjectSplitter splitter(text.size());
      bool ok = false;
      std::vector<std::string> parsed = FeedInPieces(splitter, text, size, ok);
      RC_ASSERT(ok);
      RC_ASSERT(!splitter.open());
      RC_ASSERT(parsed.size() == input.size());
      for (std::size_t i = 0; i < input.size(); ++i) RC_ASSERT(Json::parse(parsed[i]) == input[i]);
    }
  });
}

TEST_CASE("random bytes yield the same objects and the same error wherever the stream is split") {
  rc::check([] {
    auto text =
        *rc::gen::container<std::string>(rc::gen::elementOf(std::string("{{{}}}[[]]\"\"\\\n ,:a\x01")));
    net::JsonObjectSplitter whole(32);
    bool ok = false;
    auto parsed = FeedInPieces(whole, text, std::max<std::size_t>(1, text.size()), ok);
    for (std::size_t size = 1; size < text.size(); ++size) {
      net::JsonObjectSplitter splitter(32);
      bool same = false;
      RC_ASSERT(FeedInPieces(splitter, text, size, same) == parsed);
      RC_ASSERT(same == ok && splitter.error() == whole.error() && splitter.open() == whole.open());
    }
  });
}

TEST_CASE("an invalid byte or an oversized object is an error with its position, and ends the stream") {
  auto error_of = [](std::string_view text) {
    net::JsonObjectSplitter splitter(12);
    bool ok = true;
    FeedInPieces(splitter, text, 1, ok);
    CHECK_FALSE(ok);
    CHECK_FALSE(splitter.Feed("{}", [](std::string_view) { FAIL("an object after the error"); }));
    return splitter.error();
  };
  CHECK(error_of("{}\nx{}") == "expected white space or the start of an object: byte 0x78 at offset 3");
  CHECK(error_of("[{}]") == "expected white space or the start of an object: byte 0x5b at offset 0");
  CHECK(error_of("{\"a\n\":1}") == "control character inside a string: byte 0x0a at offset 3");
  CHECK(error_of("{} {\"a\":  123456}") == "object is longer than 12 bytes: byte 0x36 at offset 15");
}

TEST_CASE("a list of 1,024 endpoints with long names is parsed, on one line and indented") {
  Json servers = Json::array();
  for (int i = 0; i < 1024; ++i) {
    servers.push_back({{"id", fmt::format("s-{:0>200}", i)},
                       {"addr", "127.0.0.1:9000"},
                       {"zone", "z"},
                       {"kind", "k"},
                       {"cell", i},
                       {"state", i % 2 == 0 ? "ready" : "draining"},
                       {"weight", 1.5},
                       {"started_ms", i}});
  }
  Json all = {{"version", 7}, {"full", true}, {"servers", servers}};
  for (int indent : {-1, 4}) {
    coordinator::EndpointList list = config::ParseEndpointList(all.dump(indent), ConfigWithNames());
    CHECK(list.version == 7);
    CHECK(list.kind == liftrudder::routing::EndpointListKind::kFull);
    REQUIRE(list.entries.size() == 1024);
    CHECK(list.entries[1023].id == fmt::format("s-{:0>200}", 1023));
    CHECK(list.entries[1023].endpoint.cell == 1023);
    CHECK(list.entries[1023].endpoint.started_us == 1'023'000);
    CHECK(list.entries[1023].endpoint.weight == 1.5);
    CHECK(list.entries[1023].endpoint.availability == liftrudder::routing::Availability::kDraining);
  }
}

TEST_CASE("a malformed list is an error that names the entry and the reason") {
  auto error_of = [](const std::string& entry) -> std::string {
    std::string valid = R"({"id":"a","addr":"h:1","cell":0,"state":"ready"})";
    try {
      config::ParseEndpointList(R"({"version":9,"full":false,"servers":[)" + valid + "," + entry + "]}",
                                ConfigWithNames());
    } catch (const config::EndpointListError& error) {
      return error.what();
    }
    return "";
  };
  CHECK(error_of(R"({"id":"b","state":"ready"})").empty());
  CHECK(error_of(R"({"id":"b","state":"asleep"})") == R"(endpoint list 9: entry 2: unknown state "asleep")");
  CHECK(error_of(R"({"id":"b"})") == "endpoint list 9: entry 2: no state");
  CHECK(error_of(R"({"state":"gone"})") == "endpoint list 9: entry 2: no id");
  CHECK(error_of(R"({"id":"b","state":"ready","cell":"x"})") ==
        "endpoint list 9: entry 2: cell is \"x\", not an integer");
  CHECK(error_of("7") == "endpoint list 9: entry 2: not an object");
}
