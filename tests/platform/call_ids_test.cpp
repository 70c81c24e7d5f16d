#include "platform/call_ids.h"

#include <catch2/catch.hpp>
#include <string>

using liftrudder::platform::CallIds;

TEST_CASE("an id is reserved while its query is open and free once it is answered") {
  CallIds ids;
  CHECK(ids.Reserve("a", 10));
  CHECK_FALSE(ids.Reserve("a", 11));
  CHECK(ids.Reserve("b", 12));
  ids.Release("a");
  CHECK(ids.Reserve("a", 13));
}

// Guards against a query that runs twice because its id comes again after its client has left.
TEST_CASE("the id of a query that ended without an answer stays reserved for a time") {
  CallIds ids;
  CHECK(ids.Reserve("a", 10));
  ids.Retain("a", 100);
  CHECK_FALSE(ids.Reserve("a", 99));
  CHECK(ids.Reserve("a", 100));
  CHECK_FALSE(ids.Reserve("a", 101));
}

TEST_CASE("the ids of unanswered queries are bounded in number") {
  CallIds ids;
  for (std::size_t i = 0; i <= CallIds::kMaxRetained; ++i) {
    ids.Reserve(std::to_string(i), 10);
    ids.Retain(std::to_string(i), 100 + static_cast<CallIds::Micros>(i));
  }
  CHECK(ids.Reserve("0", 20));
  CHECK_FALSE(ids.Reserve("1", 20));
}
