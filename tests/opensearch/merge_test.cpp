#include "opensearch/merge.h"

#include <catch2/catch.hpp>
#include <string>
#include <string_view>
#include <vector>

using namespace liftrudder;

TEST_CASE("only a well-formed response without failures is complete") {
  CHECK(opensearch::IsCompleteResponse(R"({"timed_out":false,"_shards":{"failed":0},"hits":{"hits":[]}})",
                                       false));
  CHECK(opensearch::IsCompleteResponse(R"({"count":0})", true));
  CHECK(opensearch::IsCompleteResponse(
      R"({"_shards":{"total":1,"successful":1,"skipped":1,"failed":0},"hits":{"hits":[]}})", false));
  CHECK_FALSE(opensearch::IsCompleteResponse(
      R"({"count":0,"_shards":{"total":1,"successful":0,"skipped":0,"failed":0}})", true));
  for (const char* bad :
       {"", "{}", "[]", R"({"hits":{}})", R"({"hits":[]})", R"({"error":{},"hits":{"hits":[]}})",
        R"({"timed_out":true,"hits":{"hits":[]}})", R"({"_shards":{"failed":1},"hits":{"hits":[]}})",
        R"({"count":3})", R"({"hits":{"hits":[]})",
        // Guards against an answer that counts as complete without the documents of an unallocated shard.
        R"({"_shards":{"total":1,"successful":0,"skipped":0,"failed":0},"hits":{"hits":[]}})",
        R"({"_shards":{"total":2,"successful":1},"hits":{"hits":[]}})",
        R"({"_shards":{"total":0,"successful":0},"hits":{"hits":[]}})",
        R"({"_shards":{"total":1},"hits":{"hits":[]}})", R"({"_shards":{"successful":1},"hits":{"hits":[]}})",
        R"({"_shards":{"total":"1","successful":"1"},"hits":{"hits":[]}})",
        R"({"_shards":{"total":-1,"successful":-1},"hits":{"hits":[]}})"}) {
    INFO(bad);
    CHECK_FALSE(opensearch::IsCompleteResponse(bad, false));
  }
}

TEST_CASE("hits are merged by sort key, with missing values last by default and ties by shard") {
  opensearch::Search search;
  search.sort = {{"", true, false}};
  auto shard_response = [](int shard, const std::string& hits) {
    return coordinator::ShardResponse{shard, R"({"hits":{"total":2,"hits":[)" + hits + "]}}"};
  };
  coordinator::FinalAnswer answer;
  answer.shard_responses = {
      shard_response(1, R"({"n":"b","sort":[9007199254740993]},{"n":"d","sort":[null]})"),
      shard_response(0, R"({"n":"a","sort":[9007199254740993]},{"n":"c","sort":[9007199254740992]})")};
  std::vector<coordinator::ShardRequest> requested(2);
  auto merged = opensearch::MergeHits(search, answer, {0, false, &requested});
  REQUIRE(merged);
  constexpr std::string_view kName = R"({"n":")";
  std::string order;
  const std::string& body = merged->body;
  for (auto at = body.find(kName); at != std::string::npos; at = body.find(kName, at + 1)) {
    order += body[at + kName.size()];
  }
  CHECK(order == "abcd");
  CHECK(merged->body.find(R"("total":{"value":4,"relation":"eq"})") != std::string::npos);
  answer.shard_responses[0] = shard_response(1, R"({"n":"b"})");
  CHECK_FALSE(opensearch::MergeHits(search, answer, {0, false, &requested}));
}
