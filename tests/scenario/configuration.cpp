#include "scenario/configuration.h"

namespace liftrudder::tests {

using Json = nlohmann::json;

namespace {

Json QueryClass(const char* name, const char* effect) {
  return {{"name", name}, {"aimUs", 2000000}, {"giveUpUs", 10000000},      {"lateShare", 0.3},
          {"value", 1.0}, {"effect", effect}, {"repeatWindowUs", 5000000}, {"dedupScope", "all"}};
}

}  // namespace

Json DefaultConfiguration() {
  Json settings = {{"az", 0},
                   {"groupSize", 1},
                   {"ordinal", 0},
                   {"resolutionUs", 5000},
                   {"dcs", {"dc1"}},
                   {"kinds", {"k"}},
                   {"registryMode", "automatic"},
                   {"loadInfo", {{"how", "inline"}, {"names", {"q", "rif"}}}},
                   {"grades",
                    {QueryClass("part", "idempotent"), QueryClass("whole", "idempotent"),
                     QueryClass("keyed", "deduplicated")}},
                   {"familyInfo",
                    {{"cells", 2},
                     {"reach", 1},
                     {"slices", 2},
                     {"perCall", 1},
                     {"classFetch", {0, 0, 0}},
                     {"classFloor", {0.4, 1.0, 1.0}},
                     {"wholeAt", {1.0, 1.0, 1.0}},
                     {"incompleteWorth", {0.95, 0.9, 0.9}}}},
                   {"bounds",
                    {{"attemptsCap", 3},
                     {"cancelling", true},
                     {"connectTimeoutUs", 250000},
                     {"idleCloseUs", 30000000},
                     {"maxOpen", 100},
                     {"maxRetryAfterUs", 500000},
                     {"probes", true},
                     {"retryAfter", true},
                     {"secondCopies", true},
                     {"streamsPerConn", 100}}},
                   {"rules", {{"graceToAnswerUs", 20000}, {"stopSendingWithinUs", 1000000}}}};
  return {{"name", "n1"},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"sockets", 1024}, {"memory_mb", 192}}},
          {"settings", settings},
          {"opensearch",
           {{"result_window", 100},
            {"indices",
             {{"lessons",
               {{"class", "part"}, {"whole_class", "whole"}, {"shards", {0, 1}}, {"weights", {3, 1}}}}}}}}};
}

}  // namespace liftrudder::tests
