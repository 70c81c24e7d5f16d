// A bounded queue of events from the fronts' threads to the record's one writer (after D. Vyukov's bounded
// MPMC queue). An event is taken in or counted as lost; nobody waits, and nothing is allocated after it is
// made. Post: any thread. Everything else: the writer's thread.
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

constexpr std::size_t kMaxIdBytes = 96;  // of a call id that are kept; the rest goes into its hash only

// What a front reports: that it rejected a request at intake, or what it sent to a client.
struct FrontEvent {
  IntakeResult intake = IntakeResult::kNone;  // kNone: a response was sent
  FrontKind front = FrontKind::kPlatform;
  std::uint8_t class_index = 0;
  std::uint8_t id_bytes = 0;
  bool id_cut = false;
  bool whole = true;         // the response was written to its end
  std::uint16_t status = 0;  // of HTTP
  std::uint16_t shard_requests = 0;
  std::uint32_t query = 0;  // of a response: the query's number
  std::uint32_t bytes = 0;  // of a response: written, head and body
  std::int64_t at_us = 0;
  std::uint64_t id_hash = 0;
  float observed = 0, threshold = 0;
  std::array<char, kMaxIdBytes> id;

  void SetId(std::string_view text);
};

class EventQueue {
 public:
  // `capacity`: a power of two.
  explicit EventQueue(std::size_t capacity)
      : cells_(std::make_unique<Cell[]>(capacity)), mask_(capacity - 1) {
    for (std::size_t i = 0; i < capacity; ++i) cells_[i].turn.store(i, std::memory_order_relaxed);
  }

  // False, and the event counts as lost, where the queue is full.
  bool Push(const FrontEvent& event) {
    std::size_t at = tail_.load(std::memory_order_relaxed);
    while (true) {
      Cell& cell = cells_[at & mask_];
      std::size_t turn = cell.turn.load(std::memory_order_acquire);
      if (turn == at) {
        if (!tail_.compare_exchange_weak(at, at + 1, std::memory_order_relaxed)) continue;
        cell.event = event;
        cell.turn.store(at + 1, std::memory_order_release);
        return true;
      }
      if (turn < at) {  // not emptied since the last time round
        lost_.fetch_add(1, std::memory_order_relaxed);
        return false;
      }
      at = tail_.load(std::memory_order_relaxed);
    }
  }

  // False where the queue is empty.
  bool Pop(FrontEvent& event) {
    Cell& cell = cells_[head_ & mask_];
    if (cell.turn.load(std::memory_order_acquire) != head_ + 1) return false;
    event = cell.event;
    cell.turn.store(head_ + mask_ + 1, std::memory_order_release);
    ++head_;
    return true;
  }

  // Events that found the queue full since the last call.
  std::uint64_t TakeLost() { return lost_.exchange(0, std::memory_order_relaxed); }
  std::size_t Capacity() const { return mask_ + 1; }
  static constexpr std::size_t BytesPerEvent() { return sizeof(Cell); }

 private:
  struct Cell {
    std::atomic<std::size_t> turn{0};  // whose turn it is: place in the sequence of pushes or pops
    FrontEvent event;
  };
  std::unique_ptr<Cell[]> cells_;
  std::size_t mask_;
  // Apart from each other, so that pushing and popping threads share no cache line.
  alignas(64) std::atomic<std::size_t> tail_{0};
  alignas(64) std::size_t head_ = 0;  // the writer's thread alone
  std::atomic<std::uint64_t> lost_{0};
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EVENT_QUEUE_H_
