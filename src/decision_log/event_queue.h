// A bounded queue of events from the fronts' threads to the record's single writer (after D. Vyukov's bounded
// MPMC queue). An event that finds the queue full is dropped and counted; no call blocks, and nothing is
// allocated after construction. Push: any thread. All else: the writer's thread.
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

constexpr std::size_t kMaxIdBytes = 96;  // bytes of a call id that are stored; the hash covers the whole id

// A report from a front: that it rejected a request at intake, or that it sent a response to a client.
struct FrontEvent {
  IntakeResult intake = IntakeResult::kNone;  // kNone: a response was sent
  FrontKind front = FrontKind::kPlatform;
  std::uint8_t class_index = 0;
  std::uint8_t id_bytes = 0;
  bool id_cut = false;
  bool fully_written = true;  // the response was written completely
  std::uint16_t status = 0;   // HTTP status
  std::uint16_t shard_requests = 0;
  std::uint32_t query = 0;  // of a response: the query's number
  std::uint32_t bytes = 0;  // of a response: bytes written, head and body
  std::int64_t at_us = 0;
  std::uint64_t id_hash = 0;
  float observed = 0, threshold = 0;
  std::array<char, kMaxIdBytes> id;

  void SetId(std::string_view text);
};

class EventQueue {
 public:
  // `capacity` must be a power of two.
  explicit EventQueue(std::size_t capacity)
      : cells_(std::make_unique<Cell[]>(capacity)), mask_(capacity - 1) {
    for (std::size_t i = 0; i < capacity; ++i) cells_[i].sequence.store(i, std::memory_order_relaxed);
  }

  // False if the queue is full; the event is then counted as lost.
  bool Push(const FrontEvent& event) {
    std::size_t position = tail_.load(std::memory_order_relaxed);
    while (true) {
      Cell& cell = cells_[position & mask_];
      std::size_t sequence = cell.sequence.load(std::memory_order_acquire);
      if (sequence == position) {
        if (!tail_.compare_exchange_weak(position, position + 1, std::memory_order_relaxed)) continue;
        cell.event = event;
        cell.sequence.store(position + 1, std::memory_order_release);
        return true;
      }
      if (sequence < position) {  // still holds the event of the previous lap
        lost_.fetch_add(1, std::memory_order_relaxed);
        return false;
      }
      position = tail_.load(std::memory_order_relaxed);
    }
  }

  // False if the queue is empty.
  bool Pop(FrontEvent& event) {
    Cell& cell = cells_[head_ & mask_];
    if (cell.sequence.load(std::memory_order_acquire) != head_ + 1) return false;
    event = cell.event;
    cell.sequence.store(head_ + mask_ + 1, std::memory_order_release);
    ++head_;
    return true;
  }

  // Returns the number of events lost since the last call, and resets it.
  std::uint64_t TakeLostCount() { return lost_.exchange(0, std::memory_order_relaxed); }
  std::size_t Capacity() const { return mask_ + 1; }
  static constexpr std::size_t BytesPerEvent() { return sizeof(Cell); }

 private:
  struct Cell {
    // p: the push at position p may write the cell. p + 1: the pop at position p may read it.
    std::atomic<std::size_t> sequence{0};
    FrontEvent event;
  };
  std::unique_ptr<Cell[]> cells_;
  std::size_t mask_;
  // On separate cache lines, so that pushing threads and the popping thread do not contend for one.
  alignas(64) std::atomic<std::size_t> tail_{0};
  alignas(64) std::size_t head_ = 0;  // used by the writer's thread only
  std::atomic<std::uint64_t> lost_{0};
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EVENT_QUEUE_H_
