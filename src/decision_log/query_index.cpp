#include "decision_log/query_index.h"

#include <bit>

namespace liftrudder::decision_log {
namespace {

std::size_t SlotsFor(std::size_t queries) { return std::bit_ceil(queries * 2); }

}  // namespace

QueryIndex::QueryIndex(std::size_t queries) : slots_(SlotsFor(queries)) {}

std::size_t QueryIndex::BytesFor(std::size_t queries) { return SlotsFor(queries) * sizeof(Slot); }

void QueryIndex::Put(std::uint32_t query, std::uint32_t place) { slots_[SlotOf(query)] = {query, place}; }

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
