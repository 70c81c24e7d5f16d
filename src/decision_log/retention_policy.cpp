#include "decision_log/retention_policy.h"

#include <algorithm>

namespace liftrudder::decision_log {
namespace {

// Shares of the groups, in the order of Group: what coordinators ask about before what is ordinary. Relative.
constexpr std::array<double, kGroups> kShare = {4, 4, 4, 1, 1, 2, 3};
constexpr std::uint64_t kLongestStep = 8;  // of the walk along a slice between two victims

}  // namespace

RetentionPolicy::RetentionPolicy(std::size_t entries, std::uint64_t seed)
    : places_(entries), random_(seed | 1) {}

std::size_t RetentionPolicy::Stratum(Group group, std::size_t class_index) {
  return static_cast<std::size_t>(group) * kClassStrata + std::min(class_index, kClassStrata - 1);
}

std::uint64_t RetentionPolicy::Random() {  // xorshift64: spreads victims, guards nothing
  random_ ^= random_ << 13;
  random_ ^= random_ >> 7;
  random_ ^= random_ << 17;
  return random_;
}

void RetentionPolicy::Keep(std::uint32_t entry, std::size_t stratum_index, std::int64_t now_us,
                           std::uint32_t blocks) {
  StratumState& stratum = strata_[stratum_index];
  Slice& slice = SliceFor(stratum, now_us);
  Place& place = places_[entry];
  place.stratum = static_cast<std::uint16_t>(stratum_index);
  place.slice = static_cast<std::uint16_t>(&slice - stratum.slices.data());
  place.blocks = blocks;
  Link(slice, entry);
  slice.blocks += blocks;
  stratum.blocks += blocks;
}

void RetentionPolicy::Grow(std::uint32_t entry) {
  Place& place = places_[entry];
  ++place.blocks;
  ++strata_[place.stratum].blocks;
  ++strata_[place.stratum].slices[place.slice].blocks;
}

void RetentionPolicy::Drop(std::uint32_t entry) {
  Place& place = places_[entry];
  StratumState& stratum = strata_[place.stratum];
  Slice& slice = stratum.slices[place.slice];
  Unlink(slice, entry);
  slice.blocks -= place.blocks;
  stratum.blocks -= place.blocks;
  if (slice.any == kNone && place.slice != stratum.newest) slice.used = false;
  place = {};
}

std::optional<std::uint32_t> RetentionPolicy::Victim(std::int64_t now_us) {
  // The stratum furthest over its share; one block alone is never more than a share that is not used
  // elsewhere.
  std::size_t worst = 0;
  double most = 0;
  for (std::size_t s = 0; s < kStrata; ++s) {
    double over = static_cast<double>(strata_[s].blocks) / kShare[s / kClassStrata];
    if (over > most) most = over, worst = s;
  }
  if (most <= 0) return std::nullopt;
  StratumState& stratum = strata_[worst];
  // The slice that holds most for its width and age: each doubling of age keeps about as much.
  Slice* fullest = nullptr;
  double densest = 0;
  for (Slice& slice : stratum.slices) {
    if (slice.any == kNone) continue;
    auto width = static_cast<double>(std::max(slice.to_us - slice.from_us, kSliceUs));
    auto age = static_cast<double>(std::max<std::int64_t>(now_us - slice.from_us, 0) + kSliceUs);
    double density = static_cast<double>(slice.blocks) * age / width;
    if (density > densest) densest = density, fullest = &slice;
  }
  if (fullest == nullptr) return std::nullopt;
  for (std::uint64_t step = Random() % kLongestStep; step > 0; --step)
    fullest->any = places_[fullest->any].after;
  return fullest->any;
}

RetentionPolicy::Slice& RetentionPolicy::SliceFor(StratumState& stratum, std::int64_t now_us) {
  Slice* newest = &stratum.slices[stratum.newest];
  if (newest->used && now_us < newest->from_us + kSliceUs) return *newest;
  if (newest->used && newest->any == kNone) newest->used = false;
  auto free = std::ranges::find(stratum.slices, false, &Slice::used);
  if (free == stratum.slices.end()) {
    Merge(stratum, now_us);
    free = std::ranges::find(stratum.slices, false, &Slice::used);
  }
  *free = {true, now_us, now_us + kSliceUs, 0, kNone};
  stratum.newest = static_cast<std::size_t>(free - stratum.slices.begin());
  return *free;
}

// The two neighbours in time that together are narrowest for their age become one.
void RetentionPolicy::Merge(StratumState& stratum, std::int64_t now_us) {
  std::array<std::size_t, kSlices> order;
  for (std::size_t i = 0; i < kSlices; ++i) order[i] = i;
  std::ranges::sort(order, {}, [&](std::size_t i) { return stratum.slices[i].from_us; });
  std::size_t best = 0;
  double least = 1e300;
  for (std::size_t i = 0; i + 1 < kSlices; ++i) {
    const Slice &one = stratum.slices[order[i]], &next = stratum.slices[order[i + 1]];
    double width = static_cast<double>(next.to_us - one.from_us);
    double age = static_cast<double>(std::max<std::int64_t>(now_us - next.to_us, 0) + kSliceUs);
    if (width / age < least) least = width / age, best = i;
  }
  std::size_t into = order[best], from = order[best + 1];
  Slice &one = stratum.slices[into], &next = stratum.slices[from];
  while (next.any != kNone) {
    std::uint32_t entry = next.any;
    Unlink(next, entry);
    Link(one, entry);
    places_[entry].slice = static_cast<std::uint16_t>(into);
  }
  one.to_us = std::max(one.to_us, next.to_us);
  one.blocks += next.blocks;
  next = {};
}

void RetentionPolicy::Link(Slice& slice, std::uint32_t entry) {
  if (slice.any == kNone) {
    places_[entry].before = places_[entry].after = entry;
  } else {
    std::uint32_t after = slice.any, before = places_[after].before;
    places_[entry].before = before;
    places_[entry].after = after;
    places_[before].after = places_[after].before = entry;
  }
  if (slice.any == kNone) slice.any = entry;
}

void RetentionPolicy::Unlink(Slice& slice, std::uint32_t entry) {
  Place& place = places_[entry];
  if (slice.any == entry) slice.any = place.after == entry ? kNone : place.after;
  places_[place.before].after = place.after;
  places_[place.after].before = place.before;
  place.before = place.after = kNone;
}

}  // namespace liftrudder::decision_log
