#include "decision_log/query_index.h"

#include <bit>

namespace liftrudder::decision_log {
namespace {

constexpr std::uint32_t kHashMultiplier = 0x9e3779b1u;  // 2^32 over the golden ratio (Knuth, vol. 3, 6.4)

std::size_t SlotsFor(std::size_t queries) { return std::bit_ceil(queries * 2); }

}  // namespace

QueryIndex::QueryIndex(std::size_t queries) : slots_(SlotsFor(queries)) {}

std::size_t QueryIndex::BytesFor(std::size_t queries) { return SlotsFor(queries) * sizeof(Slot); }

std::size_t QueryIndex::Home(std::uint32_t query) const { return query * kHashMultiplier & Mask(); }

std::size_t QueryIndex::SlotOf(std::uint32_t query) const {
  std::size_t at = Home(query);
  while (slots_[at].place != kNotFound && slots_[at].query != query) at = (at + 1) & Mask();
  return at;
}

void QueryIndex::Put(std::uint32_t query, std::uint32_t place) { slots_[SlotOf(query)] = {query, place}; }

std::uint32_t QueryIndex::Find(std::uint32_t query) const { return slots_[SlotOf(query)].place; }

void QueryIndex::Erase(std::uint32_t query) {
  std::size_t at = SlotOf(query);
  if (slots_[at].place == kNotFound) return;
  // Backward shift: the slots behind it move up, as far as their own home allows.
  for (std::size_t next = (at + 1) & Mask(); slots_[next].place != kNotFound; next = (next + 1) & Mask()) {
    std::size_t home = Home(slots_[next].query);
    if (((next - home) & Mask()) >= ((next - at) & Mask())) {
      slots_[at] = slots_[next];
      at = next;
    }
  }
  slots_[at] = {};
}

}  // namespace liftrudder::decision_log
