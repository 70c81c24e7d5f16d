// Decides which ended query the record evicts when it is full. The few queries of a rare kind are not evicted
// to keep more of a common kind. Does no I/O, takes the time as a parameter and allocates only on
// construction. Not thread-safe.
//
// This is stratified sampling. A stratum has the queries of one group (how they ended) and class. Its share
// of the blocks reflects how often operators ask about its group; other strata may use the blocks that a
// stratum leaves free, until that stratum needs them itself. Within a stratum, queries are grouped into time
// slices that widen with age, so that a burst evicts queries from its own seconds and not from the minutes
// before it.
#ifndef LIFTRUDDER_DECISION_LOG_RETENTION_POLICY_H_
#define LIFTRUDDER_DECISION_LOG_RETENTION_POLICY_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "decision_log/counts.h"

namespace liftrudder::decision_log {

constexpr std::size_t kClassStrata = 4;  // further classes share the last stratum
constexpr std::size_t kStrata = kRetentionGroups * kClassStrata;
constexpr std::size_t kTimeSlices = 24;          // per stratum
constexpr std::int64_t kMinSliceUs = 1'000'000;  // minimum width of a slice

class RetentionPolicy {
 public:
  // At most `queries` can be kept at a time; each is identified by a number below `queries`.
  RetentionPolicy(std::size_t queries, std::uint64_t seed);

  static std::size_t Stratum(RetentionGroup group, std::size_t class_index);

  // Adds an ended query that holds `blocks` blocks. Times should not decrease; a query with an earlier time
  // is put into the newest slice.
  void Keep(std::uint32_t query, std::size_t stratum, std::int64_t now_us, std::uint32_t blocks);
  // A kept query holds one more block.
  void Grow(std::uint32_t query);
  void Drop(std::uint32_t query);
  // The query to evict next, or nullopt if none is kept. It stays until Drop is called.
  std::optional<std::uint32_t> NextEviction(std::int64_t now_us);

  // For tests and for accounting of memory.
  std::uint64_t Blocks(std::size_t stratum) const { return strata_[stratum].blocks; }
  static constexpr std::size_t BytesPerQuery() { return sizeof(Entry); }
  std::size_t BytesHeld() const { return entries_.capacity() * sizeof(Entry); }

 private:
  static constexpr std::uint32_t kNoQuery = ~std::uint32_t{0};
  struct Entry {
    std::uint32_t previous = kNoQuery, next = kNoQuery;  // circular list of the queries of a slice
    std::uint32_t blocks = 0;
    std::uint16_t stratum = 0;
    std::uint16_t slice = 0;  // index in its stratum's `slices`
  };
  struct TimeSlice {
    bool used = false;
    std::int64_t from_us = 0, to_us = 0;
    std::uint64_t blocks = 0;
    std::uint32_t cursor = kNoQuery;  // the query at which the search for the next eviction continues
  };
  struct StratumState {
    std::uint64_t blocks = 0;
    std::array<TimeSlice, kTimeSlices> slices;
    std::size_t newest = 0;
  };

  // Null if no stratum holds a block.
  StratumState* FurthestOverShare();
  static TimeSlice* DensestSlice(StratumState& stratum, std::int64_t now_us);
  static TimeSlice* FreeSlice(StratumState& stratum);
  TimeSlice& SliceFor(StratumState& stratum, std::int64_t now_us);
  void MergeNarrowestPair(StratumState& stratum, std::int64_t now_us);
  void Link(TimeSlice& slice, std::uint32_t query);
  void Unlink(TimeSlice& slice, std::uint32_t query);
  std::uint64_t Random();

  std::vector<Entry> entries_;
  std::array<StratumState, kStrata> strata_;
  std::uint64_t random_;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_RETENTION_POLICY_H_
