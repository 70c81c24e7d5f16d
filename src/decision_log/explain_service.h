// Answers questions about the record for the fronts' `/-/why` page and for the command line: limits how often
// and how much is read, and renders the reply. Uses no sockets. Any thread; one question is answered at a
// time, and concurrent ones are rejected.
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
  int status = 200;  // HTTP status: 200, 400, 404 or 429
  bool json = false;
  std::string body;
  std::int64_t retry_after_us = 0;  // 0: none
};

// Answers from a record that needs no rate limit, such as a file.
Reply AnswerFrom(const RecordFile& record_file, const Question& question);

class ExplainService {
 public:
  // `refresh` makes the writer publish everything that it has recorded so far. It is called before each read
  // and must return within a bounded time. `now` is the program's clock, in microseconds. `record_file` must
  // outlive the service.
  ExplainService(const RecordFile& record_file, std::function<void()> refresh,
                 std::function<std::int64_t()> now)
      : record_file_(record_file), refresh_(std::move(refresh)), now_(std::move(now)) {}

  Reply Ask(const Parameters& parameters);

 private:
  void RefillTokens(std::int64_t now_us);

  const RecordFile& record_file_;
  std::function<void()> refresh_;
  std::function<std::int64_t()> now_;
  std::mutex mutex_;  // held while a question is answered; guards the members below
  double tokens_ = 0;
  std::int64_t refilled_us_ = 0;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EXPLAIN_SERVICE_H_
