// Renders what the record holds: as text that an operator understands, or as JSON. Decides nothing, does no
// I/O. Any thread. Names that clients chose are escaped wherever they are not plain ASCII, and answers are
// bounded in bytes.
#ifndef LIFTRUDDER_DECISION_LOG_EXPLAIN_H_
#define LIFTRUDDER_DECISION_LOG_EXPLAIN_H_

#include <string>
#include <string_view>
#include <vector>

#include "decision_log/reader.h"

namespace liftrudder::decision_log {

constexpr std::size_t kMaxReplyBytes = 512 * 1024;  // queries beyond are left out, and the answer says so

// One query, in sentences or as a JSON object.
std::string TextOf(const QueryTrace& trace);
std::string JsonOf(const QueryTrace& trace);

// The answer to a question, query by query, so that one at a time is in memory. Never empty: where no query
// is in the record, it says what is known. One thread.
class TraceRenderer {
 public:
  // `filter` and `origin` must outlive it.
  TraceRenderer(const Filter& filter, const RecordOrigin& origin, bool json);

  // False when the answer is full: this query and those after it are left out.
  bool Add(const QueryTrace& trace);
  std::string Finish(const SearchResult& result) &&;

 private:
  std::string JsonTail(const SearchResult& result) const;

  const Filter& filter_;
  const RecordOrigin& origin_;
  const bool json_;
  std::string out_;
  std::size_t rendered_ = 0;
};

std::string TextOf(const Summary& summary, const RecordOrigin& origin);
std::string JsonOf(const Summary& summary, const RecordOrigin& origin);

// Printable ASCII as it is, all else as \xNN.
std::string Escaped(std::string_view text);
// As 2026-12-01T09:30:00.000Z.
std::string WallTime(std::int64_t us);
// As 0.250 s.
std::string Seconds(std::int64_t us);
// Whether the endpoint may have run the request.
bool MayHaveRun(routing::AttemptOutcome outcome);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EXPLAIN_H_
