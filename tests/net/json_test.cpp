#include "net/json.h"

#include <catch2/catch.hpp>
#include <string>

using namespace liftrudder;

TEST_CASE("JSON is scanned strictly and to a bounded depth") {
  CHECK(net::json::FindMember(R"( {"a" : [1, {"b":"}"}], "c":-1.5e3} )", "a") == R"([1, {"b":"}"}])");
  CHECK(net::json::ParseNumber(net::json::FindMember(R"({"c":-1.5e3})", "c")) == -1500);
  CHECK(net::json::ParseString(R"("\u00e9\ud83d\ude00\n")") == "\xc3\xa9\xf0\x9f\x98\x80\n");
  for (const char* bad :
       {R"({"a":1,})", "[1 2]", "01", R"("\x")", R"({"a" 1})", "tru", "\"a", "[", "1.", "{} x"}) {
    INFO(bad);
    CHECK_FALSE(net::json::Valid(bad));
  }
  CHECK_FALSE(net::json::Valid(std::string(100'000, '[')));
}
