// Puts what the record holds into words: a text that a coordinator understands, or JSON. Decides nothing,
// does no I/O. Any thread. Names that clients chose are escaped wherever they are not plain ASCII, and
// results are bounded in bytes.
#ifndef LIFTRUDDER_DECISION_LOG_EXPLAIN_H_
#define LIFTRUDDER_DECISION_LOG_EXPLAIN_H_

#include <string>

#include "decision_log/reader.h"

namespace liftrudder::decision_log {

constexpr std::size_t kMostReply = 512 * 1024;  // bytes; queries beyond are left out and that is said

// One query, in sentences or as an object.
std::string TextOf(const QueryTrace& trace);
std::string JsonOf(const QueryTrace& trace);

// The answer to a question, query by query, so that one at a time is held in memory. Never empty: where
// nothing is kept, it says what is known. `filter` and `about` must outlive it.
class TraceRenderer {
 public:
  TraceRenderer(const Filter& filter, const About& about, bool json);

  // False when the reply is full: this query and those after it are left out.
  bool Add(const QueryTrace& trace);
  std::string Finish(const Found& found) &&;

 private:
  std::string Rest(const Found& found) const;

  const Filter& filter_;
  const About& about_;
  const bool json_;
  std::string out_;
  std::size_t told_ = 0;
};

std::string TextOf(const Summary& summary, const About& about);
std::string JsonOf(const Summary& summary, const About& about);

// Printable ASCII as it is, all else as \xNN.
std::string Escaped(std::string_view text);
// As 2026-12-01T09:30:00.000Z.
std::string WallTime(std::int64_t us);
bool MayHaveRun(routing::AttemptOutcome code);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EXPLAIN_H_
