// Many shards' answers into one, in the order asked for; what is missing is said, never left out.
#ifndef LIFTRUDDER_OPENSEARCH_MERGE_H_
#define LIFTRUDDER_OPENSEARCH_MERGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordinator/interfaces.h"
#include "opensearch/search.h"

namespace liftrudder::opensearch {

struct Merged {
  std::string body;       // without its closing brace, so that a scroll id may follow
  std::string last_sort;  // of the last hit on the page; empty when there is none
  std::size_t hits = 0;
};

// What the merge is told of how the answer came about.
struct Coming {
  coordinator::Micros took_us = 0;
  bool timed_out = false;
  const std::vector<coordinator::ShardRequest>* asked = nullptr;
};

// An answer that counts as served: well formed, with what was asked for, and without error, time-out or
// failed shards. Anything else is an error, however much it may look like an empty list of hits.
bool AnsweredQuery(std::string_view body, bool count);

// Nothing when a piece's hits cannot be ordered.
std::optional<Merged> MergeHits(const Search& search, const coordinator::FinalAnswer& answer,
                                const Coming& coming);
std::string MergeCounts(const coordinator::FinalAnswer& answer, const Coming& coming);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_MERGE_H_
