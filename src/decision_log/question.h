// Parses questions about the record from the parameters of the `/-/why` page or of the command line. Pure
// functions; usable from any thread.
#ifndef LIFTRUDDER_DECISION_LOG_QUESTION_H_
#define LIFTRUDDER_DECISION_LOG_QUESTION_H_

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <utility>
#include <vector>

#include "decision_log/reader.h"

namespace liftrudder::decision_log {

using Parameters = std::vector<std::pair<std::string, std::string>>;  // decoded names and values

struct Question {
  Filter filter;
  bool summary = false;
  bool json = false;
};

// Why a question is invalid.
struct QuestionError {
  std::string parameter;  // the name of the invalid parameter
  std::string message;    // for the user; names the parameter
};

// Accepts times as Unix seconds with decimals, as 2026-12-01T09:30:00Z, or as -90 (seconds before `now_us`).
tl::expected<Question, QuestionError> ParseQuestion(const Parameters& parameters, std::int64_t now_us);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_QUESTION_H_
