// The queries in the record, each a chain of blocks with its events. Takes blocks for new events, evicts
// whole queries that RetentionPolicy chooses when no block is free, and makes written blocks readable on
// Flush. Does not interpret events, except for the hashes in the first one. Used by the writer's thread only;
// allocates only on construction.
#ifndef LIFTRUDDER_DECISION_LOG_QUERY_STORE_H_
#define LIFTRUDDER_DECISION_LOG_QUERY_STORE_H_

#include <cstdint>
#include <span>
#include <vector>

#include "decision_log/counts.h"
#include "decision_log/event_encoding.h"
#include "decision_log/query_index.h"
#include "decision_log/record_counters.h"
#include "decision_log/record_file.h"
#include "decision_log/record_format.h"
#include "decision_log/retention_policy.h"

namespace liftrudder::decision_log {

// The writer's own state of a query; everything else is in the query's blocks.
struct StoredQuery {
  std::uint32_t serial = 0;  // increases with each query; 0: this entry is free
  std::uint32_t query = 0;   // its number; 0: not in the index
  std::uint32_t head = kNoBlock, tail = kNoBlock;
  std::uint32_t blocks = 0;
  std::uint32_t next_free = kNoBlock;
  std::uint32_t last_failed_endpoint = 0;  // the endpoint whose attempt failed last; 0: none
  std::int64_t arrived_us = 0;
  std::uint8_t class_index = 0;
  bool retained = false;  // has ended and was given to the retention policy
  bool eventful = false;  // retried, hedged, cancelled for an outlier or dead connection, or had to wait
  bool ended = false;
};

class QueryStore {
 public:
  // `record_file` and `counters` must outlive it.
  QueryStore(RecordFile& record_file, RecordCounters& counters, std::uint64_t seed);

  // Bytes that a store for `blocks` blocks allocates in addition to the record.
  static std::size_t BytesFor(std::size_t blocks);
  std::size_t BytesHeld() const;

  void SetTime(std::int64_t now_us) { now_us_ = now_us; }

  // Null if the query is not in the store: never recorded, evicted, or removed from the index.
  StoredQuery* Find(std::uint32_t query) {
    std::uint32_t position = index_.Find(query);
    return position == QueryIndex::kNotFound ? nullptr : &queries_[position];
  }
  // Null if there is no space; the query is then counted as lost. `query` is 0 for a rejection at intake.
  StoredQuery* Add(std::uint32_t query, std::int64_t arrived_us);
  // Removes the query from the index, so that Find no longer returns it.
  void Unindex(StoredQuery& query);
  // False if the query itself was evicted to make space. Otherwise the event was written, or it was dropped
  // for lack of space and the query is marked with kEventsDroppedFlag.
  bool Append(StoredQuery& query, const EncodedEvent& event);
  // `cause` is as in RecordCounters::AddOccurrence; `flags` are added to those already set.
  void SetVerdict(const StoredQuery& query, Verdict verdict, std::uint8_t cause, std::uint8_t flags);
  // Marks the query as ended, so that it may be evicted as one of this group.
  void Retain(StoredQuery& query, RetentionGroup group);
  IdHashes HashesOf(const StoredQuery& query) const;

  // Makes everything written since the last call readable.
  void Flush();

 private:
  // Marks a block as being written, until the next Flush.
  void MarkDirty(std::uint32_t block) {
    if (is_dirty_[block] == 0) BeginBlockWrite(block);
  }
  void BeginBlockWrite(std::uint32_t block);
  std::uint32_t TakeBlock();
  bool AddBlock(StoredQuery& query);
  void Evict(std::uint32_t position);
  std::size_t WordOf(std::uint32_t block) const { return record_file_.layout().BlockWord(block); }
  std::uint64_t LinkWord(std::uint32_t block) const { return record_file_.Load(WordOf(block) + kLinkWord); }
  std::uint32_t PositionOf(const StoredQuery& query) const {
    return static_cast<std::uint32_t>(&query - queries_.data());
  }

  RecordFile& record_file_;
  RecordCounters& counters_;
  RetentionPolicy retention_;
  QueryIndex index_;
  std::vector<StoredQuery> queries_;
  std::vector<std::uint32_t> free_blocks_;
  std::vector<std::uint32_t> dirty_blocks_;  // being written until Flush
  std::vector<std::uint8_t> is_dirty_;       // indexed by block
  std::uint32_t free_query_ = kNoBlock;      // head of the list that next_free links
  std::uint32_t next_serial_ = 1;
  std::uint32_t max_blocks_per_query_ = 0;
  std::int64_t now_us_ = 0;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_QUERY_STORE_H_
