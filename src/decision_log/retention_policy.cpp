#include "decision_log/retention_policy.h"

#include <algorithm>
#include <limits>

namespace liftrudder::decision_log {
namespace {

// Relative shares of the groups, in the order of RetentionGroup. Groups that operators ask about get more
// than ordinary queries.
constexpr std::array<double, kRetentionGroups> kShares = {4, 4, 4, 1, 1, 2, 3};
// Fewer queries than this are skipped between two evictions from a slice.
constexpr std::uint64_t kMaxStep = 8;

}  // namespace

RetentionPolicy::RetentionPolicy(std::size_t queries, std::uint64_t seed)
    : entries_(queries), random_(seed | 1) {}

std::size_t RetentionPolicy::Stratum(RetentionGroup group, std::size_t class_index) {
  return static_cast<std::size_t>(group) * kClassStrata + std::min(class_index, kClassStrata - 1);
}

// xorshift64 (G. Marsaglia): spreads evictions and has no security purpose.
std::uint64_t RetentionPolicy::Random() {
  random_ ^= random_ << 13;
  random_ ^= random_ >> 7;
  random_ ^= random_ << 17;
  return random_;
}

void RetentionPolicy::Keep(std::uint32_t query, std::size_t stratum_index, std::int64_t now_us,
                           std::uint32_t blocks) {
  StratumState& stratum = strata_[stratum_index];
  TimeSlice& slice = SliceFor(stratum, now_us);
  Entry& entry = entries_[query];
  entry.stratum = static_cast<std::uint16_t>(stratum_index);
  entry.slice = static_cast<std::uint16_t>(&slice - stratum.slices.data());
  entry.blocks = blocks;
  Link(slice, query);
  slice.blocks += blocks;
  stratum.blocks += blocks;
}

void RetentionPolicy::Grow(std::uint32_t query) {
  Entry& entry = entries_[query];
  ++entry.blocks;
  ++strata_[entry.stratum].blocks;
  ++strata_[entry.stratum].slices[entry.slice].blocks;
}

void RetentionPolicy::Drop(std::uint32_t query) {
  Entry& entry = entries_[query];
  StratumState& stratum = strata_[entry.stratum];
  TimeSlice& slice = stratum.slices[entry.slice];
  Unlink(slice, query);
  slice.blocks -= entry.blocks;
  stratum.blocks -= entry.blocks;
  if (slice.cursor == kNoQuery && entry.slice != stratum.newest) slice.used = false;
  entry = {};
}

std::optional<std::uint32_t> RetentionPolicy::NextEviction(std::int64_t now_us) {
  StratumState* stratum = FurthestOverShare();
  if (stratum == nullptr) return std::nullopt;
  TimeSlice* slice = DensestSlice(*stratum, now_us);
  if (slice == nullptr) return std::nullopt;
  for (std::uint64_t i = Random() % kMaxStep; i > 0; --i) slice->cursor = entries_[slice->cursor].next;
  return slice->cursor;
}

RetentionPolicy::StratumState* RetentionPolicy::FurthestOverShare() {
  StratumState* furthest = nullptr;
  double most = 0;
  for (std::size_t i = 0; i < kStrata; ++i) {
    double over = static_cast<double>(strata_[i].blocks) / kShares[i / kClassStrata];
    if (over > most) {
      most = over;
      furthest = &strata_[i];
    }
  }
  return furthest;
}

// The slice with the most blocks for its width and age. Evicting there keeps about the same number of blocks
// for each doubling of age.
RetentionPolicy::TimeSlice* RetentionPolicy::DensestSlice(StratumState& stratum, std::int64_t now_us) {
  TimeSlice* densest = nullptr;
  double most = 0;
  for (TimeSlice& slice : stratum.slices) {
    if (slice.cursor == kNoQuery) continue;
    auto width_us = static_cast<double>(std::max(slice.to_us - slice.from_us, kMinSliceUs));
    auto age_us = static_cast<double>(std::max<std::int64_t>(now_us - slice.from_us, 0) + kMinSliceUs);
    double density = static_cast<double>(slice.blocks) * age_us / width_us;
    if (density > most) {
      most = density;
      densest = &slice;
    }
  }
  return densest;
}

RetentionPolicy::TimeSlice* RetentionPolicy::FreeSlice(StratumState& stratum) {
  auto free = std::ranges::find(stratum.slices, false, &TimeSlice::used);
  return free == stratum.slices.end() ? nullptr : &*free;
}

RetentionPolicy::TimeSlice& RetentionPolicy::SliceFor(StratumState& stratum, std::int64_t now_us) {
  TimeSlice& newest = stratum.slices[stratum.newest];
  if (newest.used && now_us < newest.from_us + kMinSliceUs) return newest;
  if (newest.used && newest.cursor == kNoQuery) newest.used = false;
  TimeSlice* free = FreeSlice(stratum);
  if (free == nullptr) {
    MergeNarrowestPair(stratum, now_us);
    free = FreeSlice(stratum);
  }
  *free = {true, now_us, now_us + kMinSliceUs, 0, kNoQuery};
  stratum.newest = static_cast<std::size_t>(free - stratum.slices.data());
  return *free;
}

// Merges the two adjacent slices that together are narrowest for their age.
void RetentionPolicy::MergeNarrowestPair(StratumState& stratum, std::int64_t now_us) {
  std::array<std::size_t, kTimeSlices> by_time;
  for (std::size_t i = 0; i < kTimeSlices; ++i) by_time[i] = i;
  std::ranges::sort(by_time, {}, [&stratum](std::size_t i) { return stratum.slices[i].from_us; });
  std::size_t best = 0;
  double least = std::numeric_limits<double>::max();
  for (std::size_t i = 0; i + 1 < kTimeSlices; ++i) {
    const TimeSlice& earlier = stratum.slices[by_time[i]];
    const TimeSlice& later = stratum.slices[by_time[i + 1]];
    auto width_us = static_cast<double>(later.to_us - earlier.from_us);
    auto age_us = static_cast<double>(std::max<std::int64_t>(now_us - later.to_us, 0) + kMinSliceUs);
    if (width_us / age_us < least) {
      least = width_us / age_us;
      best = i;
    }
  }
  std::size_t merged_index = by_time[best];
  TimeSlice& merged = stratum.slices[merged_index];
  TimeSlice& emptied = stratum.slices[by_time[best + 1]];
  while (emptied.cursor != kNoQuery) {
    std::uint32_t query = emptied.cursor;
    Unlink(emptied, query);
    Link(merged, query);
    entries_[query].slice = static_cast<std::uint16_t>(merged_index);
  }
  merged.to_us = std::max(merged.to_us, emptied.to_us);
  merged.blocks += emptied.blocks;
  emptied = {};
}

void RetentionPolicy::Link(TimeSlice& slice, std::uint32_t query) {
  Entry& entry = entries_[query];
  if (slice.cursor == kNoQuery) {
    entry.previous = entry.next = query;
    slice.cursor = query;
    return;
  }
  std::uint32_t next = slice.cursor;
  std::uint32_t previous = entries_[next].previous;
  entry.previous = previous;
  entry.next = next;
  entries_[previous].next = query;
  entries_[next].previous = query;
}

void RetentionPolicy::Unlink(TimeSlice& slice, std::uint32_t query) {
  Entry& entry = entries_[query];
  if (slice.cursor == query) slice.cursor = entry.next == query ? kNoQuery : entry.next;
  entries_[entry.previous].next = entry.next;
  entries_[entry.next].previous = entry.previous;
  entry.previous = kNoQuery;
  entry.next = kNoQuery;
}

}  // namespace liftrudder::decision_log
