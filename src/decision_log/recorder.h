// The record's one writer: takes in the life of each query, as the core's stages and the fronts tell it, and
// keeps it in an Arena of fixed size. Decides nothing about queries; what it lets go of, Retention decides.
// Everything but Tell is the core's thread alone; Tell is for any thread. It allocates when it is made and
// never again.
#ifndef LIFTRUDDER_DECISION_LOG_RECORDER_H_
#define LIFTRUDDER_DECISION_LOG_RECORDER_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "decision_log/counts.h"
#include "decision_log/event_queue.h"
#include "decision_log/record_file.h"
#include "decision_log/retention_policy.h"
#include "routing/router.h"

namespace liftrudder::decision_log {

// One event in a block: whole words, the first with its kind, number of words, an operand and the time since
// the query's arrival. docs/design/why.md has the words of each.
enum class EventKind : std::uint8_t {
  kNone,
  kOpen,
  kPart,
  kSend,
  kEnd,
  kCancel,
  kHeld,
  kFinal,
  kGiven,
  kIntake
};

constexpr std::uint32_t kNoBlock = ~std::uint32_t{0};
constexpr std::uint8_t kFlagCut = 1;       // events were dropped, as the query's share was full
constexpr std::uint8_t kFlagIdCut = 2;     // the call id was longer than what is kept of it
constexpr std::uint8_t kFlagRepeated = 4;  // the client marked it as a further try

struct RecordedQuery {
  std::uint32_t query = 0;  // its parts are numbered from 0
  std::int64_t arrived_us = 0, deadline_us = 0;
  int class_index = 0;
  FrontKind front = FrontKind::kPlatform;
  bool is_retry = false;
  std::string_view call_id, label;  // label: the client's own name for it, where the front has such a thing
};
struct RecordedShardRequest {
  int shard = 0;
  double weight = 0;
  std::int64_t work_us = 0;
};

class Recorder {
 public:
  // `bytes` bounds all that is claimed, the arena, the index beside it and the mailbox; path: the file the
  // arena lies in, or empty. Throws std::runtime_error when it cannot be had.
  Recorder(std::size_t bytes, const std::string& path, const About& about, std::uint64_t seed);

  // Exactly what has been claimed, in bytes.
  std::size_t Claimed() const { return claimed_; }
  const RecordFile& record_file() const { return record_file_; }

  // From a front's thread: dropped and counted when the box is full. Says whether the box is filling up, so
  // that the core should be woken.
  bool Tell(const Note& note);
  bool QueueWaits() const { return queue_waits_.load(std::memory_order_relaxed) > 0; }

  // ---- The core's thread ----
  void Now(std::int64_t now_us) { now_us_ = now_us; }
  void Endpoint(std::uint32_t number, std::string_view id, std::string_view addr);
  void Open(const RecordedQuery& query, std::span<const RecordedShardRequest> shard_requests);
  void Sent(std::uint32_t query, int shard_request, int attempt, const routing::Send& send);
  void Ended(std::uint32_t query, int shard_request, int attempt, std::uint32_t endpoint, routing::AttemptOutcome code,
             Progress progress, Cause cause);
  void Cancelled(std::uint32_t query, int shard_request, const routing::Cancel& cancel);
  void Closed(const routing::Close& close);
  void Pending(std::uint32_t query, int shard_request, const routing::PendingShardRequest& pending);
  // The module's last word, or the front's (`door`) where that came first.
  void Final(std::uint32_t query, Verdict verdict, const routing::CompletionReason& reason,
             IntakeResult intake, std::int64_t retry_after_us, int shard_responses);
  // Takes the fronts' notes in and makes all that was written since the last call readable.
  void Flush();
  // How often Flush has run; a reader that wants the newest waits for the next but one.
  std::uint64_t Flushes() const { return flushes_.load(std::memory_order_acquire); }

 private:
  struct Entry {
    std::uint32_t serial = 0;  // 0: free
    std::uint32_t query = 0;
    std::uint32_t head = kNoBlock, tail = kNoBlock;
    std::uint32_t blocks = 0;
    std::uint32_t next_free = kNoBlock;
    std::uint32_t blamed = 0;  // the holder whose attempt failed last
    std::int64_t arrived_us = 0;
    std::uint8_t class_index = 0;
    bool kept = false;      // has ended, and Retention holds it
    bool eventful = false;  // something of it was sent again, called off as sick, or held
    bool ended = false;
  };

  Entry* Find(std::uint32_t query);
  Entry* NewEntry(std::uint32_t query, std::int64_t arrived_us);
  void LetGo(std::uint32_t entry);
  std::uint32_t TakeBlock();
  std::uint32_t NewBlock(Entry& entry);
  void Append(Entry& entry, std::span<const std::uint64_t> words);
  void SetHead(const Entry& entry, Verdict verdict, std::uint8_t cause, std::uint8_t flags);
  void Touch(std::uint32_t block);
  std::size_t WordOf(std::uint32_t block) const {
    return record_file_.layout().block_at + block * kBlockWords;
  }
  std::uint32_t Since(const Entry& entry) const;
  std::uint64_t First(EventKind kind, std::size_t words, std::uint32_t operand, std::uint32_t time) const;
  void AddChoice(const routing::Choice& choice, std::uint64_t* words, std::size_t& count) const;

  void Count(std::size_t kind, std::uint64_t n = 1);
  void CountEndpoint(std::uint32_t endpoint, EndpointCount kind);
  void Seen(std::uint64_t id_hash, Verdict verdict, std::uint8_t class_index, std::uint8_t cause);
  void Take(const Note& note);
  void TakeIntake(const Note& note);

  void IndexPut(std::uint32_t query, std::uint32_t entry);
  void IndexErase(std::uint32_t query);

  RecordFile record_file_;
  RetentionPolicy retention_;
  EventQueue event_queue_;
  std::size_t claimed_ = 0;
  std::vector<Entry> entries_;
  std::vector<std::uint32_t> free_blocks_, dirty_;
  std::vector<std::uint8_t> is_dirty_;
  struct Slot {
    std::uint32_t query = 0, entry = kNoBlock;
  };
  std::vector<Slot> index_;  // open addressing by query, a power of two and at most half full
  std::uint32_t free_entry_ = kNoBlock;
  std::uint32_t next_serial_ = 1;
  std::uint32_t most_blocks_ = 0;  // of one query
  std::uint64_t next_seen_ = 0;
  std::int64_t now_us_ = 0;
  double intake_tokens_ = 0;
  std::int64_t intake_us_ = 0;
  std::atomic<std::uint64_t> flushes_{0};
  std::atomic<int> queue_waits_{0};
};

// Of a call id, whole; what readers look it up by.
std::uint64_t HashId(std::string_view id);
// Of a client's own name for a request, which fronts cut at kNoteId bytes before they keep it.
std::uint64_t HashLabel(std::string_view label);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_RECORDER_H_
