// Reads the record, of this program while it runs or from a file that a dead one left: finds queries by id or
// filter, and puts their traces together from blocks that may be changing under it. Never waits for the
// writer and holds nothing that it wants. Any thread; each call allocates what it returns and an index of the
// queries, bounded by the record's size.
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
  std::optional<std::int64_t> from_us, to_us;  // of arrival, by the program's clock
  std::size_t limit = 20;
};

// That a query with some id was seen, whether it is still in the record or not.
struct QueryOccurrence {
  std::int64_t second = 0;  // when it ended or was rejected
  Verdict verdict = Verdict::kOpen;
  int class_index = 0;
  std::uint8_t cause = 0;  // a CompletionCause, or an IntakeResult where it was rejected at intake
};

constexpr std::size_t kMaxOccurrences = 16;  // given of one id: a client may use it for ever

struct SearchResult {
  std::size_t visited = 0;      // queries given to the visitor
  bool more = false;            // the limit was met, or the visitor had enough
  std::size_t busy_blocks = 0;  // that were being written
  std::size_t torn_blocks = 0;  // that do not fit their checksum
  // Where an id was asked for: the newest kMaxOccurrences, oldest first.
  std::vector<QueryOccurrence> occurrences;
  std::int64_t occurrences_since_s = 0;  // older ones have been overwritten; 0: none have
};

class Reader {
 public:
  // `pause` is called now and then during a scan, so that a caller can leave the processor to others.
  explicit Reader(const RecordFile& record_file, std::function<void()> pause = {});

  // Gives what fits to `visit`, newest first and one at a time, so that only one is in memory; false: enough.
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
