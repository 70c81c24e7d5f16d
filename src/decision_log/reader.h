// Reads the record, of this program while it runs or from a file that a dead one left: finds queries by id or
// filter and puts their lives together from blocks that may be changing under it. Never waits for the writer
// and holds nothing it wants. Any thread; each call allocates what it returns and the index of heads, bounded
// by the record's size.
#ifndef LIFTRUDDER_DECISION_LOG_READER_H_
#define LIFTRUDDER_DECISION_LOG_READER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "decision_log/counts.h"
#include "decision_log/record_file.h"

namespace liftrudder::decision_log {

struct EndpointName {
  std::uint32_t number = 0;
  std::string id, addr;  // id: "#number" where the name has been overwritten
};

struct CandidateTrace {
  EndpointName endpoint;
  int out = 0;
  routing::Eligibility standing = routing::Eligibility::kEligible;
  bool eligible = false;
};

struct AttemptTrace {
  int number = 0;
  EndpointName endpoint;
  std::int64_t at_us = 0;  // all times: since the query's arrival
  std::int64_t timeout_us = 0;
  routing::DispatchKind kind = routing::DispatchKind::kFirst;
  routing::AttemptOutcome after = routing::AttemptOutcome::kOk;
  std::vector<CandidateTrace> considered;
  int unlisted = 0;
  std::optional<std::int64_t> cancelled_us;
  routing::CancelReason cancel_why = routing::CancelReason::kAnswered;
  std::optional<std::int64_t> ended_us;  // none: still out, or the record ends before
  routing::AttemptOutcome outcome = routing::AttemptOutcome::kOk;
  Progress progress = Progress::kNotConnected;
  Cause cause = Cause::kServed;
};

struct PendingTrace {
  std::int64_t at_us = 0;
  routing::PendingReason reason = routing::PendingReason::kNone;
  double observed = 0, threshold = 0;
  std::vector<CandidateTrace> considered;
};

struct ShardRequestTrace {
  int shard = 0;
  double weight = 0;
  std::int64_t work_us = 0;
  std::vector<AttemptTrace> attempts;
  std::vector<PendingTrace> pending;
};

struct ResponseTrace {
  std::int64_t at_us = 0;
  int status = 0;
  std::int64_t bytes = 0;
  bool whole = true;
};

struct QueryTrace {
  std::uint32_t serial = 0;    // of the record; grows with each query
  std::string call_id, label;  // raw bytes, as a client chose them
  std::uint64_t id_hash = 0, label_hash = 0;
  bool id_cut = false, is_retry = false;
  bool events_cut = false;  // the query's share of the record was full
  bool torn = false;        // a block of it could not be read
  std::int64_t arrived_us = 0, budget_us = 0;
  int class_index = 0;
  std::string class_name;
  FrontKind front = FrontKind::kPlatform;
  int parts_told = 0;
  std::vector<ShardRequestTrace> shard_requests;
  Verdict verdict = Verdict::kOpen;
  IntakeResult intake = IntakeResult::kNone;
  routing::CompletionCause cause = routing::CompletionCause::kUnspecified;
  double observed = 0, threshold = 0;
  EndpointName blamed;  // of kEndpointLoad
  std::int64_t ended_us = 0, retry_after_us = 0;
  int shard_responses = 0;
  std::vector<ResponseTrace> given;
};

struct Filter {
  std::optional<std::string> id;  // call id, or the client's own label
  std::optional<std::string> class_name, endpoint;
  std::optional<Verdict> verdict;
  std::optional<std::string> reason;           // name of an CompletionCause or a Door
  std::optional<std::int64_t> from_us, to_us;  // of arrival
  std::size_t limit = 20;
};

// A query that was seen, kept or not.
struct QueryOccurrence {
  std::int64_t second = 0;  // when it ended or was turned away
  Verdict verdict = Verdict::kOpen;
  int class_index = 0;
  std::uint8_t cause = 0;  // an CompletionCause, or a Door where turned away
};

constexpr std::size_t kMaxOccurrences = 16;  // a client may use one id for ever

struct Found {
  std::size_t told = 0;            // queries given to the visitor
  bool more = false;               // the limit was met, or the visitor had enough
  std::size_t busy = 0, torn = 0;  // blocks that were being written, or do not fit their checksum
  std::vector<QueryOccurrence>
      occurrences;  // asked for by id: when it was seen, kept or not; the newest kMaxOccurrences
  std::int64_t occurrences_from = 0;  // seconds: sightings before this have been overwritten; 0: none have
};

struct Summary {
  std::int64_t now_s = 0;                          // the newest second counted in
  std::vector<std::uint64_t> last_minute, totals;  // by kind, as counts.h numbers them
  struct Endpoint {
    EndpointName name;
    std::uint64_t sent = 0, resent_after = 0, refused_for = 0, missing = 0;
  };
  std::vector<Endpoint> endpoints;                                // with anything counted in the last minute
  std::vector<std::pair<std::int64_t, std::uint64_t>> dropped;  // let go of or lost, by second
  std::size_t blocks = 0, blocks_used = 0, bytes = 0;
};

class Reader {
 public:
  // `pause` is called now and then while a whole record is scanned, so that a caller can leave the core to
  // others.
  explicit Reader(const RecordFile& record_file, std::function<void()> pause = {});

  // Gives what fits to `each`, newest first and one at a time, so that only one is held; false: enough.
  Found Find(const Filter& filter, const std::function<bool(const QueryTrace&)>& each) const;
  Summary Summarize() const;
  const About& about() const { return about_; }

 private:
  struct Head {
    std::uint32_t block, serial;
  };
  std::vector<Head> Heads(const Filter& filter, Found& found) const;
  std::optional<QueryTrace> Read(Head head, Found& found) const;
  bool Decode(const std::uint64_t* words, std::size_t count, QueryTrace& trace) const;
  std::vector<CandidateTrace> Choice(const std::uint64_t* words, std::size_t count) const;
  EndpointName Endpoint(std::uint32_t number) const;
  bool Matches(const QueryTrace& trace, const Filter& filter) const;
  void Sight(const std::string& id, Found& found) const;

  const RecordFile& record_file_;
  std::function<void()> pause_;
  About about_;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_READER_H_
