// The record's tables of numbers: counters by second and in total, counts of endpoints, and occurrences
// (which ids were seen, kept or not). Writes to the record and allocates nothing. The writer's thread.
#ifndef LIFTRUDDER_DECISION_LOG_RECORD_COUNTERS_H_
#define LIFTRUDDER_DECISION_LOG_RECORD_COUNTERS_H_

#include <cstdint>
#include <string_view>

#include "decision_log/counts.h"
#include "decision_log/record_file.h"

namespace liftrudder::decision_log {

class RecordCounters {
 public:
  // `record_file` must outlive it.
  explicit RecordCounters(RecordFile& record_file) : record_file_(record_file) {}

  void SetTime(std::int64_t now_us) { now_us_ = now_us; }

  // `counter`: one of CounterOf.
  void Add(std::size_t counter, std::uint64_t count = 1);
  void AddEndpoint(std::uint32_t endpoint, EndpointCount kind);
  // Writes the endpoint's name; where its slot had another's, that one's counts are dropped.
  void SetEndpointName(std::uint32_t number, std::string_view id, std::string_view address);
  // That a query with this id was seen; `cause` is a CompletionCause, or an IntakeResult of one rejected at
  // intake.
  void AddOccurrence(std::uint64_t id_hash, Verdict verdict, std::uint8_t class_index, std::uint8_t cause);

 private:
  RecordFile& record_file_;
  std::int64_t now_us_ = 0;
  std::uint64_t next_occurrence_ = 0;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_RECORD_COUNTERS_H_
