// Answers questions about the record, for the fronts' `/-/why` page and for the command line: reads the
// filter, bounds how often and how much is read, and puts the answer into text or JSON. Knows no socket. Any
// thread; one question at a time, the others are turned away.
#ifndef LIFTRUDDER_DECISION_LOG_EXPLAIN_SERVICE_H_
#define LIFTRUDDER_DECISION_LOG_EXPLAIN_SERVICE_H_

#include <atomic>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "decision_log/reader.h"

namespace liftrudder::decision_log {

using Parameters = std::vector<std::pair<std::string, std::string>>;  // names and values, unescaped

struct Question {
  Filter filter;
  bool summary = false, json = false;
};

// What is asked, or what is wrong with it. Times are Unix seconds with decimals, 2026-12-01T09:30:00Z, or -90
// (seconds before `now_us`).
std::variant<Question, std::string> ReadQuestion(const Parameters& parameters, std::int64_t now_us);

struct Reply {
  int status = 200;  // as HTTP has them: 400, 404, 429
  bool json = false;
  std::string body;
  std::int64_t retry_after_us = 0;
};

// The answer of a record that needs no bounds, such as a file.
Reply AnswerFrom(const RecordFile& record_file, const Question& question);

class ExplainService {
 public:
  // `freshen` has the writer make all readable that it knows; called before each reading, bounded in time by
  // whoever gives it. `now` is the program's clock.
  ExplainService(const RecordFile& record_file, std::function<void()> refresh,
                 std::function<std::int64_t()> now)
      : record_file_(record_file), refresh_(std::move(refresh)), now_(std::move(now)) {}

  Reply Ask(const Parameters& parameters);

 private:
  const RecordFile& record_file_;
  std::function<void()> refresh_;
  std::function<std::int64_t()> now_;
  std::atomic<bool> busy_{false};
  // Guarded by busy_.
  double tokens_ = 0;
  std::int64_t filled_us_ = 0;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EXPLAIN_SERVICE_H_
