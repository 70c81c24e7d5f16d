// What the tests read of a record: the stories themselves, where the program holds one at a time.
#ifndef LIFTRUDDER_TESTS_SUPPORT_EXPLAIN_READING_H_
#define LIFTRUDDER_TESTS_SUPPORT_EXPLAIN_READING_H_

#include <utility>
#include <vector>

#include "decision_log/reader.h"

namespace liftrudder::tests {

struct Kept : decision_log::Found {
  std::vector<decision_log::QueryTrace> traces;
};

inline Kept ReadAll(const decision_log::RecordFile& record_file, const decision_log::Filter& filter) {
  Kept out;
  std::vector<decision_log::QueryTrace> traces;
  static_cast<decision_log::Found&>(out) =
      decision_log::Reader(record_file).Find(filter, [&traces](const decision_log::QueryTrace& trace) {
        traces.push_back(trace);
        return true;
      });
  out.traces = std::move(traces);
  return out;
}

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SUPPORT_EXPLAIN_READING_H_
