// Decides which ended query the record evicts when there is no space: never the only witnesses of something
// rare for more of something common. Does no I/O, has no clock (times are handed in) and allocates only when
// it is made. One object, one thread.
//
// This is stratified sampling. Each query belongs to a stratum, its group (how it ended) and its class. A
// stratum has a share of the blocks by how often its group is asked about; what it does not use is lent, and
// taken back as it fills. Within a stratum, queries lie in slices of time that widen with age, so that a
// burst thins out its own seconds and not the minutes before it.
#ifndef LIFTRUDDER_DECISION_LOG_RETENTION_POLICY_H_
#define LIFTRUDDER_DECISION_LOG_RETENTION_POLICY_H_

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

#include "decision_log/counts.h"

namespace liftrudder::decision_log {

constexpr std::size_t kClassStrata = 4;  // classes beyond these share the last
constexpr std::size_t kStrata = kRetentionGroups * kClassStrata;
constexpr std::size_t kTimeSlices = 24;          // of a stratum
constexpr std::int64_t kMinSliceUs = 1'000'000;  // the narrowest

class RetentionPolicy {
 public:
  // `queries`: how many can be kept at once, each named by a number below that.
  RetentionPolicy(std::size_t queries, std::uint64_t seed);

  static std::size_t Stratum(RetentionGroup group, std::size_t class_index);

  // Takes in an ended query that holds so many blocks. Times must not run back; one that does counts as the
  // newest.
  void Keep(std::uint32_t query, std::size_t stratum, std::int64_t now_us, std::uint32_t blocks);
  // A kept query has come to hold one block more.
  void Grow(std::uint32_t query);
  void Drop(std::uint32_t query);
  // The query to evict next; none where none is kept. It stays until it is dropped.
  std::optional<std::uint32_t> NextEviction(std::int64_t now_us);

  // For tests and figures.
  std::uint64_t Blocks(std::size_t stratum) const { return strata_[stratum].blocks; }
  static constexpr std::size_t BytesPerQuery() { return sizeof(Place); }
  std::size_t BytesHeld() const { return places_.capacity() * sizeof(Place); }

 private:
  static constexpr std::uint32_t kNone = ~std::uint32_t{0};
  struct Place {
    std::uint32_t before = kNone, after = kNone;  // a ring of the queries of one slice
    std::uint32_t blocks = 0;
    std::uint16_t stratum = 0;
    std::uint16_t slice = 0;  // in its stratum's `slices`
  };
  struct TimeSlice {
    bool used = false;
    std::int64_t from_us = 0, to_us = 0;
    std::uint64_t blocks = 0;
    std::uint32_t any = kNone;  // one of its queries, where the search for the next eviction goes on
  };
  struct StratumState {
    std::uint64_t blocks = 0;
    std::array<TimeSlice, kTimeSlices> slices;
    std::size_t newest = 0;
  };

  // Null where none holds anything.
  StratumState* FurthestOverShare();
  static TimeSlice* DensestSlice(StratumState& stratum, std::int64_t now_us);
  static TimeSlice* FreeSlice(StratumState& stratum);
  TimeSlice& SliceFor(StratumState& stratum, std::int64_t now_us);
  void MergeNarrowestPair(StratumState& stratum, std::int64_t now_us);
  void Link(TimeSlice& slice, std::uint32_t query);
  void Unlink(TimeSlice& slice, std::uint32_t query);
  std::uint64_t Random();

  std::vector<Place> places_;
  std::array<StratumState, kStrata> strata_;
  std::uint64_t random_;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_RETENTION_POLICY_H_
