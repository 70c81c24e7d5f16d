#include "routing/coverage_cutoff.h"

namespace liftrudder::routing {
namespace {

constexpr double kWeightRounding = 1e-12;

}  // namespace

SlowestRequest ApplyCoverageCutoff(const QueryClassSettings& cls, double cutoff_level,
                                   std::vector<CutoffCandidate>& by_weight) {
  bool may_skip = cls.min_coverage < cls.complete_coverage;
  double max_skipped_weight = may_skip ? 1 - cls.min_coverage : 0;
  double skipped_weight = 0;
  for (CutoffCandidate& candidate : by_weight) {
    double weight = candidate.shard_request->weight;
    candidate.shard_request->selected =
        !may_skip || skipped_weight + weight > cutoff_level * max_skipped_weight + kWeightRounding;
    if (candidate.shard_request->selected) continue;
    skipped_weight += weight;
    candidate.skip_reason = PendingReason::kCutoff;
  }
  // Also drops requests that no replica can answer in time: they only delay the ones that can be answered.
  SlowestRequest slowest;
  for (CutoffCandidate& candidate : by_weight) {
    if (!candidate.shard_request->selected) continue;
    double weight = candidate.shard_request->weight;
    if (candidate.latency_ratio > kMaxLatencyRatio && skipped_weight + weight <= max_skipped_weight) {
      candidate.shard_request->selected = false;
      skipped_weight += weight;
      candidate.skip_reason = PendingReason::kEndpointLoad;
    } else if (!may_skip && candidate.latency_ratio > slowest.latency_ratio) {
      slowest = {candidate.latency_ratio, candidate.endpoint};
    }
  }
  return slowest;
}

}  // namespace liftrudder::routing
