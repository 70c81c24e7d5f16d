// Counters of what is taken in, sent and answered; printed on request and at exit.
#ifndef LIFTRUDDER_METRICS_METRICS_H_
#define LIFTRUDDER_METRICS_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace liftrudder::metrics {

class Counter {
 public:
  void Set(std::int64_t n) { value_.store(n, std::memory_order_relaxed); }
  void Add(std::int64_t n = 1) { value_.fetch_add(n, std::memory_order_relaxed); }
  std::int64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

struct Counters {
  Counter taken, turned_away, malformed, denied, gone;
  Counter whole, partial, refused, failed, late;
  Counter sent, retried, rounds, connects, connects_failed, lists, evicted, spoilt;
  std::array<Counter, 8> outcomes;  // in the order of routing::AttemptOutcome

  std::string Text() const;
};

}  // namespace liftrudder::metrics

#endif  // LIFTRUDDER_METRICS_METRICS_H_
