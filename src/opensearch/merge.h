// Merges the shards' responses into one answer, in the order asked for; shards that are missing are listed as
// failed, never left out. Pure functions, any thread.
#ifndef LIFTRUDDER_OPENSEARCH_MERGE_H_
#define LIFTRUDDER_OPENSEARCH_MERGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordinator/interfaces.h"
#include "opensearch/search.h"

namespace liftrudder::opensearch {

struct MergedHits {
  std::string body;       // without its closing brace, so that a scroll id may follow
  std::string last_sort;  // of the last hit on the page; empty when there is none
  std::size_t hits = 0;
};

// How the answer came about.
struct AnswerContext {
  coordinator::Micros took_us = 0;
  bool timed_out = false;
  const std::vector<coordinator::ShardRequest>* shard_requests = nullptr;  // of the query, never null
};

// Whether an endpoint's response is a complete one: well formed, with what was asked for, and without error,
// timeout or failed shards. Anything else is an error, however much it may look like an empty list of hits.
bool IsCompleteResponse(std::string_view body, bool count);

// None when a shard's hits cannot be ordered.
std::optional<MergedHits> MergeHits(const Search& search, const coordinator::FinalAnswer& answer,
                                    const AnswerContext& context);
std::string MergeCounts(const coordinator::FinalAnswer& answer, const AnswerContext& context);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_MERGE_H_
