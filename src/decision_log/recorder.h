// The only writer of the record: writes each query's events, as the coordinator's stages and the fronts
// report them, to a record file of fixed size. RetentionPolicy decides which queries are evicted. Allocates
// only on construction.
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
  // `bytes` bounds the total memory: the record, the index beside it and the queue. `path` is the record
  // file, or empty to keep the record in memory only. Throws RecordFileError if the record cannot be created.
  Recorder(std::size_t bytes, const std::string& path, const RecordOrigin& origin, std::uint64_t seed);

  // The number of bytes that are actually allocated.
  std::size_t AllocatedBytes() const { return allocated_bytes_; }
  const RecordFile& record_file() const { return record_file_; }

  // Queues a front's event; if the queue is full, the event is dropped and counted. Returns whether the queue
  // is filling up and the coordinator should be woken to flush it.
  bool Post(const FrontEvent& event);
  bool HasPostedEvents() const { return posted_events_.load(std::memory_order_relaxed) > 0; }
  // The number of completed flushes. A reader that needs the newest events waits until it has grown by two,
  // since a flush that is already running may have missed them.
  std::uint64_t FlushCount() const { return flush_count_.load(std::memory_order_acquire); }

  // Sets the time of the events that follow.
  void SetTime(std::int64_t now_us);
  void SetEndpointName(std::uint32_t number, std::string_view id, std::string_view address);
  void RecordArrival(const RecordedQuery& query, std::span<const RecordedShardRequest> shard_requests);
  void RecordSend(std::uint32_t query, int shard_request, int attempt, const routing::Send& send);
  void RecordAttemptEnd(std::uint32_t query, int shard_request, int attempt, std::uint32_t endpoint,
                        routing::AttemptOutcome outcome, Progress progress, Cause cause);
  void RecordCancellation(std::uint32_t query, int shard_request, const routing::Cancel& cancel);
  void RecordClose(const routing::Close& close);
  void RecordPending(std::uint32_t query, int shard_request, const routing::PendingShardRequest& pending);
  // Records the end of a query, by the routing module or by its front, whichever comes first. A second end is
  // only counted.
  void RecordCompletion(std::uint32_t query, const RecordedCompletion& completion);
  // Processes the events that the fronts posted, and makes everything written since the last call readable.
  void Flush();

 private:
  // Limits the rate at which rejections at intake are recorded, so that a flood of unreadable requests
  // neither fills the record nor takes the coordinator's time.
  class IntakeRateLimiter {
   public:
    bool Admit(std::int64_t now_us);

   private:
    double tokens_ = 0;
    std::int64_t refilled_us_ = 0;
  };

  std::uint32_t MicrosSinceArrival(const StoredQuery& query) const;
  void CountEndpointsAtFault(const StoredQuery& query, const RecordedCompletion& completion);
  void ProcessFrontEvent(const FrontEvent& event);
  void ProcessIntakeRejection(const FrontEvent& event);

  RecordFile record_file_;
  RecordCounters counters_;
  QueryStore store_;
  EventQueue queue_;
  std::size_t allocated_bytes_ = 0;
  std::int64_t now_us_ = 0;
  IntakeRateLimiter intake_limiter_;
  std::atomic<std::uint64_t> flush_count_{0};
  std::atomic<int> posted_events_{0};
};

// The hash of a full call id, by which readers look it up.
std::uint64_t HashId(std::string_view id);
// The same for a client's own label, which fronts truncate to kMaxIdBytes.
std::uint64_t HashLabel(std::string_view label);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_RECORDER_H_
