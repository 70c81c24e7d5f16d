// The coverage cutoff: decides which shard requests of a query are sent at all. Under load the lightest ones
// are dropped, as far as the class's minimum coverage allows. Stateless.
#ifndef LIFTRUDDER_ROUTING_COVERAGE_CUTOFF_H_
#define LIFTRUDDER_ROUTING_COVERAGE_CUTOFF_H_

#include <vector>

#include "routing/query_table.h"
#include "routing/reasons.h"
#include "routing/settings.h"
#include "routing/types.h"

namespace liftrudder::routing {

// A shard request whose expected latency, divided by the time to the objective, is higher than this cannot be
// answered in time.
constexpr double kMaxLatencyRatio = 1.2;

struct CutoffCandidate {
  ShardRequest* shard_request = nullptr;
  double latency_ratio = 0;                          // expected latency divided by the time to the objective
  EndpointId endpoint;                               // the one with that expected latency
  PendingReason skip_reason = PendingReason::kNone;  // set by ApplyCoverageCutoff: kCutoff or kEndpointLoad
};

// The slowest shard request of a query that needs all of them. Its ratio is 0 for any other query.
struct SlowestRequest {
  double latency_ratio = 0;
  EndpointId endpoint;
};

// Sets ShardRequest::selected and CutoffCandidate::skip_reason. `by_weight` is in ascending order of weight.
// `cutoff_level`: of the weight that the class allows to be dropped, the share that is dropped (0 to 1).
SlowestRequest ApplyCoverageCutoff(const QueryClassSettings& cls, double cutoff_level,
                                   std::vector<CutoffCandidate>& by_weight);

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_COVERAGE_CUTOFF_H_
