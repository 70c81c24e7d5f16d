// Renders the contents of the record as text for operators or as JSON. Does no I/O; usable from any thread.
// Names that clients chose are escaped unless they are printable ASCII, and replies about queries are bounded
// in size.
#ifndef LIFTRUDDER_DECISION_LOG_EXPLAIN_H_
#define LIFTRUDDER_DECISION_LOG_EXPLAIN_H_

#include <string>
#include <string_view>
#include <vector>

#include "decision_log/reader.h"

namespace liftrudder::decision_log {

constexpr std::size_t kMaxReplyBytes = 512 * 1024;  // further queries are left out, and the reply says so

// Renders one query as text or as a JSON object.
std::string TextOf(const QueryTrace& trace);
std::string JsonOf(const QueryTrace& trace);

// Renders the reply to a question query by query, so that only one is in memory at a time. Without any query,
// the reply says what is known of the id, or that no query fits. Not thread-safe.
class TraceRenderer {
 public:
  // `filter` and `origin` must outlive the renderer.
  TraceRenderer(const Filter& filter, const RecordOrigin& origin, bool json);

  // False if the reply is full: this query is left out, and further ones should not be added.
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

// Printable ASCII unchanged, except for the backslash; the backslash and all other bytes as \xNN.
std::string Escaped(std::string_view text);
// In UTC, formatted like 2026-12-01T09:30:00.000Z.
std::string WallTime(std::int64_t us);
// Formatted like 0.250 s.
std::string Seconds(std::int64_t us);
// Whether the endpoint may have run an attempt with this outcome.
bool MayHaveRun(routing::AttemptOutcome outcome);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EXPLAIN_H_
