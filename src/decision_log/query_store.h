// The queries that the record holds: each a chain of blocks with its events. Takes blocks for new events,
// evicts whole queries when there are none (which, RetentionPolicy decides), and makes blocks readable when
// they are flushed. Knows nothing of what events mean. The writer's thread; it allocates when it is made and
// never again.
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

// A query in the store. The writer's own notes on it; all else is in its blocks.
struct StoredQuery {
  std::uint32_t serial = 0;  // grows with each query; 0: free
  std::uint32_t query = 0;   // its number; 0: it is not found by one
  std::uint32_t head = kNoBlock, tail = kNoBlock;
  std::uint32_t blocks = 0;
  std::uint32_t next_free = kNoBlock;
  std::uint32_t failed_endpoint = 0;  // whose attempt failed last; 0: none
  std::int64_t arrived_us = 0;
  std::uint8_t class_index = 0;
  bool retained = false;  // has ended, and the retention policy knows it
  bool eventful = false;  // something of it was retried, cancelled as an outlier, or had to wait
  bool ended = false;
};

class QueryStore {
 public:
  // `record_file` and `counters` must outlive it.
  QueryStore(RecordFile& record_file, RecordCounters& counters, std::uint64_t seed);

  // What a store for so many blocks claims beside the record.
  static std::size_t BytesFor(std::size_t blocks);
  std::size_t BytesHeld() const;

  void SetTime(std::int64_t now_us) { now_us_ = now_us; }

  // Null where it is not there: never recorded, or evicted.
  StoredQuery* Find(std::uint32_t query) {
    std::uint32_t place = index_.Find(query);
    return place == QueryIndex::kNotFound ? nullptr : &queries_[place];
  }
  // Null, and counted as lost, where there is no space. `query` 0: a rejection at intake.
  StoredQuery* Add(std::uint32_t query, std::int64_t arrived_us);
  // The query is no longer found by its number.
  void Unindex(StoredQuery& query);
  // False where the query itself had to be evicted for the space; else the event was written, or the query
  // had used its share and is marked so.
  bool Append(StoredQuery& query, const EncodedEvent& event);
  // `cause`: as in RecordCounters::AddOccurrence. Flags are added to those that are set.
  void SetVerdict(const StoredQuery& query, Verdict verdict, std::uint8_t cause, std::uint8_t flags);
  // The query has ended: from now on it may be evicted, as one of this group.
  void Retain(StoredQuery& query, RetentionGroup group);
  IdHashes HashesOf(const StoredQuery& query) const;

  // Makes all that was written since the last call readable.
  void Flush();

 private:
  // Marks a block as being written, until the next Flush.
  void Touch(std::uint32_t block) {
    if (is_dirty_[block] == 0) BeginBlock(block);
  }
  void BeginBlock(std::uint32_t block);
  std::uint32_t TakeBlock();
  bool AddBlock(StoredQuery& query);
  void Evict(std::uint32_t place);
  std::size_t WordOf(std::uint32_t block) const { return record_file_.layout().BlockWord(block); }
  std::uint64_t LinkWord(std::uint32_t block) const { return record_file_.Load(WordOf(block) + kLinkWord); }
  std::uint32_t PlaceOf(const StoredQuery& query) const {
    return static_cast<std::uint32_t>(&query - queries_.data());
  }

  RecordFile& record_file_;
  RecordCounters& counters_;
  RetentionPolicy retention_;
  QueryIndex index_;
  std::vector<StoredQuery> queries_;
  std::vector<std::uint32_t> free_blocks_;
  std::vector<std::uint32_t> dirty_blocks_;  // being written, to be ended by Flush
  std::vector<std::uint8_t> is_dirty_;       // by block
  std::uint32_t free_query_ = kNoBlock;      // the first of a list by next_free
  std::uint32_t next_serial_ = 1;
  std::uint32_t max_blocks_per_query_ = 0;
  std::int64_t now_us_ = 0;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_QUERY_STORE_H_
