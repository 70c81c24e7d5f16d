// A configuration of the search API whose callers are authenticated, and the claims of a caller's token.
#ifndef LIFTRUDDER_TESTS_SUPPORT_SEARCH_CONFIGURATION_H_
#define LIFTRUDDER_TESTS_SUPPORT_SEARCH_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "support/token_signer.h"

namespace liftrudder::tests {

inline std::int64_t NowSeconds() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

// Of a caller of the tenant north.
inline Json Claims(std::int64_t lifetime_s) {
  return {{"iss", "issuer"},           {"aud", "gatherer"},
          {"nbf", NowSeconds() - 600}, {"exp", NowSeconds() + lifetime_s},
          {"tenant", "north"},         {"sub", "teacher"}};
}

// One endpoint, one index, one tenant; the key set is keys.json beside the configuration file.
inline Json SearchConfiguration(const std::string& endpoint) {
  Json query_class = {{"name", "whole"},     {"aimUs", 2'000'000}, {"giveUpUs", 8'000'000},
                      {"lateShare", 0.3},    {"value", 1.0},       {"effect", "idempotent"},
                      {"repeatWindowUs", 0}, {"dedupScope", "all"}};
  Json entry = {{"id", "h"}, {"addr", endpoint}, {"zone", "dc1"}, {"kind", "k"},
                {"cell", 0}, {"state", "ready"}, {"weight", 1.0}, {"started_ms", 0}};
  Json settings =
      Json::parse(R"({"az":0,"groupSize":1,"ordinal":0,"resolutionUs":1000,"dcs":["dc1"],"kinds":["k"],
    "registryMode":"automatic","loadInfo":{"how":"inline","names":["queue","inflight"]},
    "familyInfo":{"cells":1,"reach":1,"slices":1,"perCall":1,"classFetch":[0],"classFloor":[1.0],"wholeAt":[1.0],"incompleteWorth":[0.9]},
    "bounds":{"attemptsCap":3,"cancelling":true,"connectTimeoutUs":250000,"idleCloseUs":30000000,"maxOpen":400,"maxRetryAfterUs":500000,"probes":true,"retryAfter":true,"secondCopies":true,"streamsPerConn":1},
    "rules":{"graceToAnswerUs":20000,"stopSendingWithinUs":1000000}})");
  settings["grades"] = Json::array({query_class});
  return {{"name", "n1"},
          {"seed", "8c1f30d27a5be964"},
          {"listen", "127.0.0.1:0"},
          {"discovery", ""},
          {"limits", {{"sockets", 512}, {"memory_mb", 192}}},
          {"known", {{"version", 1}, {"full", true}, {"servers", Json::array({entry})}}},
          {"settings", settings},
          {"opensearch", {{"indices", {{"lessons", {{"class", "whole"}, {"shards", {0}}}}}}}},
          {"identity",
           {{"keys", "keys.json"},
            {"issuer", "issuer"},
            {"audience", "gatherer"},
            {"tenants", {{"north", {{"indices", {"lessons"}}}}}}}}};
}

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SUPPORT_SEARCH_CONFIGURATION_H_
