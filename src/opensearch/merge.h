// Merges the shards' responses into one answer in the requested order. Shards without a response are listed
// as failed. Pure functions, any thread.
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
  std::string last_sort;  // sort values of the last hit on the page; empty when there is none
  std::size_t hits = 0;
};

// What an answer states about its query.
struct AnswerContext {
  coordinator::Micros took_us = 0;
  bool timed_out = false;
  const std::vector<coordinator::ShardRequest>* shard_requests = nullptr;  // of the query, never null
};

// Returns whether an endpoint's response is complete: well formed, with the requested hits or count, and
// without error, timeout, or shards that failed or are left out. Any other response is an error, even one
// that resembles an empty list of hits. `is_count`: a count is expected in place of hits.
bool IsCompleteResponse(std::string_view body, bool is_count);

// Returns none when a shard's hits cannot be read, or lack a sort value for a sort key.
std::optional<MergedHits> MergeHits(const Search& search, const coordinator::FinalAnswer& answer,
                                    const AnswerContext& context);
std::string MergeCounts(const coordinator::FinalAnswer& answer, const AnswerContext& context);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_MERGE_H_
