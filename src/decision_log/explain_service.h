// Answers questions about the record, for the fronts' `/-/why` page and for the command line: bounds how
// often and how much is read, and renders the answer. Knows no socket. Any thread; one question at a time,
// others are rejected.
#ifndef LIFTRUDDER_DECISION_LOG_EXPLAIN_SERVICE_H_
#define LIFTRUDDER_DECISION_LOG_EXPLAIN_SERVICE_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include "decision_log/question.h"
#include "decision_log/record_file.h"

namespace liftrudder::decision_log {

struct Reply {
  int status = 200;  // as HTTP has them: 400, 404, 429
  bool json = false;
  std::string body;
  std::int64_t retry_after_us = 0;  // 0: none
};

// The answer from a record that needs no bounds, such as a file.
Reply AnswerFrom(const RecordFile& record_file, const Question& question);

class ExplainService {
 public:
  // `refresh` has the writer make all readable that it knows; called before each reading, bounded in time by
  // whoever gives it. `now` is the program's clock. The record must outlive the service.
  ExplainService(const RecordFile& record_file, std::function<void()> refresh,
                 std::function<std::int64_t()> now)
      : record_file_(record_file), refresh_(std::move(refresh)), now_(std::move(now)) {}

  Reply Ask(const Parameters& parameters);

 private:
  void RefillTokens(std::int64_t now_us);

  const RecordFile& record_file_;
  std::function<void()> refresh_;
  std::function<std::int64_t()> now_;
  std::mutex asking_;  // held while a question is answered; guards the two below
  double tokens_ = 0;
  std::int64_t refilled_us_ = 0;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EXPLAIN_SERVICE_H_
