// A bounded box of notes from many threads to the record's one writer (after D. Vyukov's bounded queue).
// Takes a note or says that it is full; waits for nobody, allocates only when it is made.
#ifndef LIFTRUDDER_DECISION_LOG_EVENT_QUEUE_H_
#define LIFTRUDDER_DECISION_LOG_EVENT_QUEUE_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "decision_log/counts.h"

namespace liftrudder::decision_log {

constexpr std::size_t kNoteId = 96;  // bytes of a call id that are kept; the rest goes into its hash only

// What a front has to say: that it turned a request away, or what it gave a client.
struct Note {
  IntakeResult intake = IntakeResult::kNone;  // kNone: a client was given something
  FrontKind front = FrontKind::kPlatform;
  std::uint8_t class_index = 0;
  std::uint8_t id_bytes = 0;
  bool id_cut = false;
  bool whole = true;         // what the client was given was written to its end
  std::uint16_t status = 0;  // of HTTP
  std::uint16_t shard_requests = 0;
  std::uint32_t query = 0;  // given: which
  std::uint32_t bytes = 0;  // given: written, head and body
  std::int64_t at_us = 0;
  std::uint64_t id_hash = 0;
  float observed = 0, threshold = 0;
  std::array<char, kNoteId> id;

  void SetId(std::string_view id);
};

class EventQueue {
 public:
  // `size`: a power of two.
  explicit EventQueue(std::size_t size) : cells_(std::make_unique<Cell[]>(size)), mask_(size - 1) {
    for (std::size_t i = 0; i < size; ++i) cells_[i].turn.store(i, std::memory_order_relaxed);
  }

  bool Push(const Note& note) {
    std::size_t at = in_.load(std::memory_order_relaxed);
    while (true) {
      Cell& cell = cells_[at & mask_];
      std::size_t turn = cell.turn.load(std::memory_order_acquire);
      if (turn == at) {
        if (!in_.compare_exchange_weak(at, at + 1, std::memory_order_relaxed)) continue;
        cell.note = note;
        cell.turn.store(at + 1, std::memory_order_release);
        return true;
      }
      if (turn < at) {  // not yet emptied since the last time round
        lost_.fetch_add(1, std::memory_order_relaxed);
        return false;
      }
      at = in_.load(std::memory_order_relaxed);
    }
  }

  // The writer's only.
  bool Pop(Note& note) {
    Cell& cell = cells_[out_ & mask_];
    if (cell.turn.load(std::memory_order_acquire) != out_ + 1) return false;
    note = cell.note;
    cell.turn.store(out_ + mask_ + 1, std::memory_order_release);
    ++out_;
    return true;
  }

  // Notes that found it full since this was last asked.
  std::uint64_t TakeLost() { return lost_.exchange(0, std::memory_order_relaxed); }
  std::size_t Size() const { return mask_ + 1; }
  static constexpr std::size_t BytesEach() { return sizeof(Cell); }

 private:
  struct Cell {
    std::atomic<std::size_t> turn{0};
    Note note;
  };
  std::unique_ptr<Cell[]> cells_;
  std::size_t mask_;
  alignas(64) std::atomic<std::size_t> in_{0};
  alignas(64) std::size_t out_ = 0;
  std::atomic<std::uint64_t> lost_{0};
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EVENT_QUEUE_H_
