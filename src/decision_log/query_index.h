// Finds a query's place in the record by its number: a hash table with open addressing that allocates only
// when it is made. One thread.
#ifndef LIFTRUDDER_DECISION_LOG_QUERY_INDEX_H_
#define LIFTRUDDER_DECISION_LOG_QUERY_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace liftrudder::decision_log {

class QueryIndex {
 public:
  static constexpr std::uint32_t kNotFound = ~std::uint32_t{0};

  // For at most `queries` at a time; the table is a power of two and at most half full.
  explicit QueryIndex(std::size_t queries);

  void Put(std::uint32_t query, std::uint32_t place);
  void Erase(std::uint32_t query);
  // kNotFound where the query is not there.
  std::uint32_t Find(std::uint32_t query) const { return slots_[SlotOf(query)].place; }

  static std::size_t BytesFor(std::size_t queries);
  std::size_t BytesHeld() const { return slots_.capacity() * sizeof(Slot); }

 private:
  static constexpr std::uint32_t kHashMultiplier =
      0x9e3779b1u;  // 2^32 over the golden ratio (Knuth, vol. 3, 6.4)
  struct Slot {
    std::uint32_t query = 0;
    std::uint32_t place = kNotFound;  // kNotFound: an empty slot
  };
  std::size_t Mask() const { return slots_.size() - 1; }
  std::size_t Home(std::uint32_t query) const { return query * kHashMultiplier & Mask(); }
  // The query's slot, or the empty one where it would go.
  std::size_t SlotOf(std::uint32_t query) const {
    std::size_t at = Home(query);
    while (slots_[at].place != kNotFound && slots_[at].query != query) at = (at + 1) & Mask();
    return at;
  }

  std::vector<Slot> slots_;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_QUERY_INDEX_H_
