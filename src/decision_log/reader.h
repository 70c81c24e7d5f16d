// Reads the record of the running program, or a file that an earlier one left: finds queries by id or filter
// and assembles their traces from blocks that may change during the read. Never waits for the writer and
// holds no lock. Usable from any thread; each call allocates its result and a list of the queries, bounded by
// the size of the record.
#ifndef LIFTRUDDER_DECISION_LOG_READER_H_
#define LIFTRUDDER_DECISION_LOG_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "decision_log/counts.h"
#include "decision_log/event_encoding.h"
#include "decision_log/record_file.h"
#include "decision_log/summary.h"
#include "decision_log/trace.h"

namespace liftrudder::decision_log {

struct Filter {
  std::optional<std::string> id;  // call id, or the client's own label
  std::optional<std::string> class_name;
  std::optional<std::string> endpoint;  // id or address
  std::optional<Verdict> verdict;
  std::optional<std::string> reason;           // the name of a CompletionCause or an IntakeResult
  std::optional<std::int64_t> from_us, to_us;  // time of arrival, by the program's clock
  std::size_t limit = 20;
};

// A query with some id was seen, whether or not it is still in the record.
struct QueryOccurrence {
  std::int64_t second = 0;  // when it ended, was rejected or found no space
  Verdict verdict = Verdict::kOpen;
  int class_index = 0;
  std::uint8_t cause = 0;  // a CompletionCause, or an IntakeResult for a rejection at intake
};

constexpr std::size_t kMaxOccurrences = 16;  // reported per id, since a client may reuse an id without limit

struct SearchResult {
  std::size_t visited = 0;      // queries passed to the visitor
  bool more = false;            // the limit was reached, or the visitor stopped
  std::size_t busy_blocks = 0;  // skipped: being written
  std::size_t torn_blocks = 0;  // damaged: wrong checksum or invalid events
  // For a filter by id: the newest kMaxOccurrences, oldest first.
  std::vector<QueryOccurrence> occurrences;
  std::int64_t occurrences_since_s = 0;  // occurrences before it have been overwritten; 0: none has
};

class Reader {
 public:
  // `pause` is called at intervals during a scan, so that the caller can yield the CPU.
  explicit Reader(const RecordFile& record_file, std::function<void()> pause = {});

  // Passes the queries that match the filter to `visit`, newest first and with one in memory at a time.
  // `visit` returns false to stop.
  SearchResult Find(const Filter& filter, const std::function<bool(const QueryTrace&)>& visit) const;
  Summary Summarize() const { return decision_log::Summarize(record_file_); }
  const RecordOrigin& origin() const { return origin_; }

 private:
  // The first block of a query.
  struct QueryHead {
    std::uint32_t block;
    std::uint32_t serial;
  };
  std::vector<QueryHead> FindHeads(const Filter& filter, SearchResult& result) const;
  bool MayMatch(std::size_t block, const Filter& filter, const IdHashes& wanted) const;
  std::optional<QueryTrace> ReadQuery(QueryHead head, SearchResult& result) const;
  void FindOccurrences(const std::string& id, SearchResult& result) const;

  const RecordFile& record_file_;
  std::function<void()> pause_;
  RecordOrigin origin_;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_READER_H_
