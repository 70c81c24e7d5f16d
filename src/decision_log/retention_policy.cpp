#include "decision_log/retention_policy.h"

#include <algorithm>
#include <limits>

namespace liftrudder::decision_log {
namespace {

// Shares of the groups, in the order of RetentionGroup, relative to each other: what operators ask about
// before what is ordinary.
constexpr std::array<double, kRetentionGroups> kShares = {4, 4, 4, 1, 1, 2, 3};
constexpr std::uint64_t kMaxStep = 8;  // along a slice between two evictions

}  // namespace

RetentionPolicy::RetentionPolicy(std::size_t queries, std::uint64_t seed)
    : places_(queries), random_(seed | 1) {}

std::size_t RetentionPolicy::Stratum(RetentionGroup group, std::size_t class_index) {
  return static_cast<std::size_t>(group) * kClassStrata + std::min(class_index, kClassStrata - 1);
}

// xorshift64 (G. Marsaglia): spreads evictions, guards nothing.
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
  Place& place = places_[query];
  place.stratum = static_cast<std::uint16_t>(stratum_index);
  place.slice = static_cast<std::uint16_t>(&slice - stratum.slices.data());
  place.blocks = blocks;
  Link(slice, query);
  slice.blocks += blocks;
  stratum.blocks += blocks;
}

void RetentionPolicy::Grow(std::uint32_t query) {
  Place& place = places_[query];
  ++place.blocks;
  ++strata_[place.stratum].blocks;
  ++strata_[place.stratum].slices[place.slice].blocks;
}

void RetentionPolicy::Drop(std::uint32_t query) {
  Place& place = places_[query];
  StratumState& stratum = strata_[place.stratum];
  TimeSlice& slice = stratum.slices[place.slice];
  Unlink(slice, query);
  slice.blocks -= place.blocks;
  stratum.blocks -= place.blocks;
  if (slice.any == kNone && place.slice != stratum.newest) slice.used = false;
  place = {};
}

std::optional<std::uint32_t> RetentionPolicy::NextEviction(std::int64_t now_us) {
  StratumState* stratum = FurthestOverShare();
  if (stratum == nullptr) return std::nullopt;
  TimeSlice* densest = DensestSlice(*stratum, now_us);
  if (densest == nullptr) return std::nullopt;
  for (std::uint64_t step = Random() % kMaxStep; step > 0; --step) densest->any = places_[densest->any].after;
  return densest->any;
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

// The slice that holds most for its width and age: each doubling of age keeps about as much.
RetentionPolicy::TimeSlice* RetentionPolicy::DensestSlice(StratumState& stratum, std::int64_t now_us) {
  TimeSlice* densest = nullptr;
  double most = 0;
  for (TimeSlice& slice : stratum.slices) {
    if (slice.any == kNone) continue;
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
  if (newest.used && newest.any == kNone) newest.used = false;
  TimeSlice* free = FreeSlice(stratum);
  if (free == nullptr) {
    MergeNarrowestPair(stratum, now_us);
    free = FreeSlice(stratum);
  }
  *free = {true, now_us, now_us + kMinSliceUs, 0, kNone};
  stratum.newest = static_cast<std::size_t>(free - stratum.slices.data());
  return *free;
}

// The two neighbours in time that together are narrowest for their age become one.
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
  std::size_t into = by_time[best];
  TimeSlice& merged = stratum.slices[into];
  TimeSlice& emptied = stratum.slices[by_time[best + 1]];
  while (emptied.any != kNone) {
    std::uint32_t query = emptied.any;
    Unlink(emptied, query);
    Link(merged, query);
    places_[query].slice = static_cast<std::uint16_t>(into);
  }
  merged.to_us = std::max(merged.to_us, emptied.to_us);
  merged.blocks += emptied.blocks;
  emptied = {};
}

void RetentionPolicy::Link(TimeSlice& slice, std::uint32_t query) {
  Place& place = places_[query];
  if (slice.any == kNone) {
    place.before = place.after = query;
    slice.any = query;
    return;
  }
  std::uint32_t after = slice.any;
  std::uint32_t before = places_[after].before;
  place.before = before;
  place.after = after;
  places_[before].after = query;
  places_[after].before = query;
}

void RetentionPolicy::Unlink(TimeSlice& slice, std::uint32_t query) {
  Place& place = places_[query];
  if (slice.any == query) slice.any = place.after == query ? kNone : place.after;
  places_[place.before].after = place.after;
  places_[place.after].before = place.before;
  place.before = kNone;
  place.after = kNone;
}

}  // namespace liftrudder::decision_log
