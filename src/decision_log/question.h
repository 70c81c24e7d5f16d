// A question about the record, as a page's or a command line's parameters ask it. Pure functions, any thread.
#ifndef LIFTRUDDER_DECISION_LOG_QUESTION_H_
#define LIFTRUDDER_DECISION_LOG_QUESTION_H_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "decision_log/reader.h"

namespace liftrudder::decision_log {

using Parameters = std::vector<std::pair<std::string, std::string>>;  // names and values, unescaped

struct Question {
  Filter filter;
  bool summary = false;
  bool json = false;
};

// What is wrong with a question.
struct QuestionError {
  std::string parameter;  // which
  std::string message;    // for whoever asked: names the parameter and the value
};

// Times are Unix seconds with decimals, 2026-12-01T09:30:00Z, or -90 (seconds before `now_us`).
tl::expected<Question, QuestionError> ReadQuestion(const Parameters& parameters, std::int64_t now_us);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_QUESTION_H_
