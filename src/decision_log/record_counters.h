// Writes the record's tables: counters per second and in total, names and counts of endpoints, and
// occurrences (the ids that were seen, whether or not their queries were kept). Allocates nothing. Used by
// the writer's thread only.
#ifndef LIFTRUDDER_DECISION_LOG_RECORD_COUNTERS_H_
#define LIFTRUDDER_DECISION_LOG_RECORD_COUNTERS_H_

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "decision_log/counts.h"
#include "decision_log/record_file.h"
#include "decision_log/record_format.h"

namespace liftrudder::decision_log {

constexpr std::int64_t kCounterSecondUs = 1'000'000;
constexpr int kBucketShift = 48;  // position of the bucket's number in a word of an endpoint's counts
constexpr std::uint64_t kBucketMask = 0xffff;
constexpr std::uint64_t kMaxCounter = 0xffffffff;

class RecordCounters {
 public:
  // `record_file` must outlive it.
  explicit RecordCounters(RecordFile& record_file) : record_file_(record_file) {}

  void SetTime(std::int64_t now_us) { now_us_ = now_us; }

  // `counter` is a result of CounterOf.
  void Add(std::size_t counter, std::uint64_t count = 1);
  void AddEndpoint(std::uint32_t endpoint, EndpointCount kind);
  // Writes the endpoint's id and address. If its slot held another endpoint, that one's counts are cleared.
  void SetEndpointName(std::uint32_t number, std::string_view id, std::string_view address);
  // Records that a query with this id was seen. `cause` is a CompletionCause, or an IntakeResult for a
  // rejection at intake.
  void AddOccurrence(std::uint64_t id_hash, Verdict verdict, std::uint8_t class_index, std::uint8_t cause);

 private:
  RecordFile& record_file_;
  std::int64_t now_us_ = 0;
  std::uint64_t next_occurrence_ = 0;
};

// Inline, since they are on the hot path: each event adds to several counters.

// A word holds both the second and the count, so that a reader never sees one without the other. A slot with
// an older second is restarted.
inline void RecordCounters::Add(std::size_t counter, std::uint64_t count) {
  const Layout& layout = record_file_.layout();
  record_file_.Store(layout.total_start + counter, record_file_.Load(layout.total_start + counter) + count);
  auto second = static_cast<std::uint32_t>(now_us_ / kCounterSecondUs);
  std::size_t at = layout.counter_start + second % kCounterSeconds * kCounters + counter;
  std::uint64_t word = record_file_.Load(at);
  std::uint64_t sum = HighHalf(word) == second ? LowHalf(word) + count : count;
  record_file_.Store(at, std::uint64_t{second} << 32 | std::min(sum, kMaxCounter));
}

inline void RecordCounters::AddEndpoint(std::uint32_t endpoint, EndpointCount kind) {
  auto bucket = static_cast<std::uint32_t>(now_us_ / kCounterSecondUs / kBucketSeconds);
  std::size_t at = record_file_.layout().EndpointCountWord(endpoint) + bucket % kCountBuckets;
  std::uint64_t word = record_file_.Load(at);
  std::uint64_t bucket_number = bucket & kBucketMask;
  if (word >> kBucketShift != bucket_number) word = bucket_number << kBucketShift;
  int shift = static_cast<int>(kind) * kEndpointCountBits;
  if ((word >> shift & kMaxEndpointCount) < kMaxEndpointCount) word += std::uint64_t{1} << shift;
  record_file_.Store(at, word);
}

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_RECORD_COUNTERS_H_
