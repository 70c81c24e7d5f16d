// The record's one writer: takes in the life of each query, as the coordinator's stages and the fronts report
// it, and keeps it in a record file of fixed size. Decides nothing about queries; what is evicted,
// RetentionPolicy decides. It allocates when it is made and never again.
//
// Post, HasPostedEvents and FlushCount: any thread. All else: the coordinator's thread.
#ifndef LIFTRUDDER_DECISION_LOG_RECORDER_H_
#define LIFTRUDDER_DECISION_LOG_RECORDER_H_

#include <atomic>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "decision_log/counts.h"
#include "decision_log/event_encoding.h"
#include "decision_log/event_queue.h"
#include "decision_log/query_store.h"
#include "decision_log/record_counters.h"
#include "decision_log/record_file.h"
#include "routing/router.h"

namespace liftrudder::decision_log {

class Recorder {
 public:
  // `bytes` bounds all that is claimed: the record, the index beside it and the queue. `path`: the record's
  // file, or empty for memory alone. Throws RecordFileError where it cannot be had.
  Recorder(std::size_t bytes, const std::string& path, const RecordOrigin& origin, std::uint64_t seed);

  // Exactly what has been claimed.
  std::size_t ClaimedBytes() const { return claimed_bytes_; }
  const RecordFile& record_file() const { return record_file_; }

  // Takes in what a front reports; where the queue is full the event is dropped and counted. True: the queue
  // fills up and the coordinator should be woken to flush.
  bool Post(const FrontEvent& event);
  bool HasPostedEvents() const { return posted_events_.load(std::memory_order_relaxed) > 0; }
  // How often Flush has run; a reader that wants the newest waits for the next but one.
  std::uint64_t FlushCount() const { return flush_count_.load(std::memory_order_acquire); }

  // All that follows happens at this time.
  void SetTime(std::int64_t now_us);
  void NameEndpoint(std::uint32_t number, std::string_view id, std::string_view address);
  void Opened(const RecordedQuery& query, std::span<const RecordedShardRequest> shard_requests);
  void Sent(std::uint32_t query, int shard_request, int attempt, const routing::Send& send);
  void Ended(std::uint32_t query, int shard_request, int attempt, std::uint32_t endpoint,
             routing::AttemptOutcome outcome, Progress progress, Cause cause);
  void Cancelled(std::uint32_t query, int shard_request, const routing::Cancel& cancel);
  void Closed(const routing::Close& close);
  void Pending(std::uint32_t query, int shard_request, const routing::PendingShardRequest& pending);
  // The query's end, by the routing module or by its front, whichever came first; a second one is only
  // counted.
  void Completed(std::uint32_t query, const RecordedCompletion& completion);
  // Takes in what the fronts posted, and makes all that was written since the last call readable.
  void Flush();

 private:
  // Bounds how many rejections at intake are recorded, so that a flood of unreadable requests takes neither
  // the record nor the coordinator's time.
  class IntakeRateLimiter {
   public:
    bool Admit(std::int64_t now_us);

   private:
    double tokens_ = 0;
    std::int64_t refilled_us_ = 0;
  };

  std::uint32_t TimeSinceArrival(const StoredQuery& query) const;
  void CountEndpointsAtFault(const StoredQuery& query, const RecordedCompletion& completion);
  void TakeIn(const FrontEvent& event);
  void TakeInRejection(const FrontEvent& event);

  RecordFile record_file_;
  RecordCounters counters_;
  QueryStore store_;
  EventQueue event_queue_;
  std::size_t claimed_bytes_ = 0;
  std::int64_t now_us_ = 0;
  IntakeRateLimiter intake_limiter_;
  std::atomic<std::uint64_t> flush_count_{0};
  std::atomic<int> posted_events_{0};
};

// The hash of a whole call id, by which readers look it up.
std::uint64_t HashId(std::string_view id);
// The same of a client's own label, which fronts cut at kMaxIdBytes before they keep it.
std::uint64_t HashLabel(std::string_view label);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_RECORDER_H_
