// Reads the record's counters: what happened in the last minute and since the program started, by reason and
// by endpoint. Works while the writer writes; usable from any thread.
#ifndef LIFTRUDDER_DECISION_LOG_SUMMARY_H_
#define LIFTRUDDER_DECISION_LOG_SUMMARY_H_

#include <cstdint>
#include <vector>

#include "decision_log/record_file.h"
#include "decision_log/trace.h"

namespace liftrudder::decision_log {

struct Summary {
  struct Endpoint {
    EndpointName name;
    std::uint64_t sent = 0;
    std::uint64_t retried_after = 0;   // retries sent when the query's last failed attempt had been here
    std::uint64_t unanswered_for = 0;  // queries rejected, failed or expired because of it
    std::uint64_t missing = 0;         // partial results of queries whose last failed attempt was here
  };
  struct SecondCount {
    std::int64_t second = 0;
    std::uint64_t count = 0;
  };

  std::int64_t now_s = 0;                  // the newest second with a count
  std::vector<std::uint64_t> last_minute;  // indexed by CounterOf
  std::vector<std::uint64_t> totals;       // since the start, indexed by CounterOf
  std::vector<Endpoint> endpoints;         // those with a count in the last minute, most faults first
  std::vector<SecondCount> not_kept;       // queries and events evicted or lost in the last minute
  std::size_t blocks = 0, blocks_used = 0, bytes = 0;
};

Summary Summarize(const RecordFile& record_file);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_SUMMARY_H_
