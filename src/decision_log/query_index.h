// Maps a query's number to its position in the QueryStore: a hash table with open addressing that allocates
// only on construction. Not thread-safe.
#ifndef LIFTRUDDER_DECISION_LOG_QUERY_INDEX_H_
#define LIFTRUDDER_DECISION_LOG_QUERY_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace liftrudder::decision_log {

class QueryIndex {
 public:
  static constexpr std::uint32_t kNotFound = ~std::uint32_t{0};

  // Holds at most `queries` at a time. The table size is a power of two, and at most half of it is used.
  explicit QueryIndex(std::size_t queries);

  void Insert(std::uint32_t query, std::uint32_t position);
  void Erase(std::uint32_t query);
  // kNotFound if the query is not in the table.
  std::uint32_t Find(std::uint32_t query) const { return slots_[SlotOf(query)].position; }

  static std::size_t BytesFor(std::size_t queries);
  std::size_t BytesHeld() const { return slots_.capacity() * sizeof(Slot); }

 private:
  // 2^32 divided by the golden ratio (Knuth, vol. 3, 6.4).
  static constexpr std::uint32_t kHashMultiplier = 0x9e3779b1u;
  struct Slot {
    std::uint32_t query = 0;
    std::uint32_t position = kNotFound;  // kNotFound: an empty slot
  };
  std::size_t Mask() const { return slots_.size() - 1; }
  std::size_t HomeSlot(std::uint32_t query) const { return query * kHashMultiplier & Mask(); }
  // The query's slot, or the empty slot where it would be inserted.
  std::size_t SlotOf(std::uint32_t query) const {
    std::size_t slot = HomeSlot(query);
    while (slots_[slot].position != kNotFound && slots_[slot].query != query) slot = (slot + 1) & Mask();
    return slot;
  }

  std::vector<Slot> slots_;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_QUERY_INDEX_H_
