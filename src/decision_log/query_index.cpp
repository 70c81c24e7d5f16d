#include "decision_log/query_index.h"

#include <bit>

namespace liftrudder::decision_log {
namespace {

std::size_t SlotsFor(std::size_t queries) { return std::bit_ceil(queries * 2); }

}  // namespace

QueryIndex::QueryIndex(std::size_t queries) : slots_(SlotsFor(queries)) {}

std::size_t QueryIndex::BytesFor(std::size_t queries) { return SlotsFor(queries) * sizeof(Slot); }

void QueryIndex::Insert(std::uint32_t query, std::uint32_t position) {
  slots_[SlotOf(query)] = {query, position};
}

void QueryIndex::Erase(std::uint32_t query) {
  std::size_t gap = SlotOf(query);
  if (slots_[gap].position == kNotFound) return;
  // Backward-shift deletion: later entries move into the gap, but never before their home slot.
  for (std::size_t next = (gap + 1) & Mask(); slots_[next].position != kNotFound;
       next = (next + 1) & Mask()) {
    std::size_t home = HomeSlot(slots_[next].query);
    if (((next - home) & Mask()) >= ((next - gap) & Mask())) {
      slots_[gap] = slots_[next];
      gap = next;
    }
  }
  slots_[gap] = {};
}

}  // namespace liftrudder::decision_log
