// Reads all traces of a record at once, for tests; the program holds one at a time in memory.
#ifndef LIFTRUDDER_TESTS_SUPPORT_EXPLAIN_READING_H_
#define LIFTRUDDER_TESTS_SUPPORT_EXPLAIN_READING_H_

#include <utility>
#include <vector>

#include "decision_log/reader.h"

namespace liftrudder::tests {

struct ReadResult : decision_log::SearchResult {
  std::vector<decision_log::QueryTrace> traces;
};

inline ReadResult ReadAll(const decision_log::RecordFile& record_file, const decision_log::Filter& filter) {
  std::vector<decision_log::QueryTrace> traces;
  decision_log::SearchResult result =
      decision_log::Reader(record_file).Find(filter, [&traces](const decision_log::QueryTrace& trace) {
        traces.push_back(trace);
        return true;
      });
  return {std::move(result), std::move(traces)};
}

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SUPPORT_EXPLAIN_READING_H_
