#include "decision_log/recorder.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>

namespace liftrudder::decision_log {
namespace {

constexpr std::size_t kQueueSize = 256;    // notes
constexpr int kMailWake = kQueueSize / 2;  // from here on the core is woken for them
constexpr std::size_t kLabelBytes = 48;
constexpr std::uint32_t kBlocksShare = 16;  // one query may hold this part of all blocks at most,
constexpr std::uint32_t kMostBlocks = 256;  // and no more than these, as a reader holds a whole query
                                            // unpacked one query may hold this part of all blocks at most
constexpr double kIntakeRate = 20;          // refusals at the door kept a second, in the long run
constexpr double kIntakeBurst = 40;
constexpr std::size_t kMostEvent = kBlockWords - kBlockHeadWords;
constexpr std::size_t kIndexSlot = 8;  // bytes

std::uint64_t Pair(std::uint32_t low, std::uint32_t high) { return std::uint64_t{high} << 32 | low; }
std::uint64_t Pair(float low, float high) {
  return Pair(std::bit_cast<std::uint32_t>(low), std::bit_cast<std::uint32_t>(high));
}
std::uint32_t Bits(double value) { return std::bit_cast<std::uint32_t>(static_cast<float>(value)); }

// What lies beside an arena of so many blocks: of each a query's entry, its place in Retention, a place in
// two lists and a mark; the index; the mailbox.
std::size_t Beside(std::size_t blocks, std::size_t entry_bytes) {
  std::size_t each = entry_bytes + RetentionPolicy::BytesEach() + 2 * sizeof(std::uint32_t) + 1;
  return blocks * each + std::bit_ceil(blocks * 2) * kIndexSlot + kQueueSize * EventQueue::BytesEach();
}

// The largest arena that, with what lies beside it, stays within `bytes`.
std::size_t ArenaBytes(std::size_t bytes, std::size_t entry_bytes) {
  constexpr std::size_t kStep = 4096;
  std::size_t low = kLeastBytes / kStep, high = std::max(bytes, kLeastBytes) / kStep;
  while (low < high) {
    std::size_t middle = (low + high + 1) / 2;
    Layout layout = Layout::Of(middle * kStep);
    if (layout.bytes + Beside(layout.blocks, entry_bytes) <= bytes) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  return low * kStep;
}

std::size_t PutText(std::string_view text, std::uint64_t* words) {
  std::size_t count = (text.size() + 7) / 8;
  std::memset(words, 0, count * 8);
  std::memcpy(words, text.data(), text.size());
  return count;
}

}  // namespace

std::uint64_t HashLabel(std::string_view label) { return HashId(label.substr(0, kNoteId)); }

std::uint64_t HashId(std::string_view id) { return XXH3_64bits(id.data(), id.size()); }

void Note::SetId(std::string_view text) {
  id_cut = text.size() > id.size();
  id_bytes = static_cast<std::uint8_t>(std::min(text.size(), id.size()));
  std::memcpy(id.data(), text.data(), id_bytes);
  id_hash = HashId(text);
}

Recorder::Recorder(std::size_t bytes, const std::string& path, const About& about, std::uint64_t seed)
    : record_file_(path.empty() ? RecordFile::InMemory(ArenaBytes(bytes, sizeof(Entry)), about)
                                : RecordFile::InFile(path, ArenaBytes(bytes, sizeof(Entry)), about)),
      retention_(record_file_.layout().blocks, seed),
      event_queue_(kQueueSize),
      entries_(record_file_.layout().blocks),
      is_dirty_(record_file_.layout().blocks),
      index_(std::bit_ceil(record_file_.layout().blocks * 2)) {
  auto blocks = static_cast<std::uint32_t>(record_file_.layout().blocks);
  free_blocks_.reserve(blocks);
  dirty_.reserve(blocks);
  for (std::uint32_t block = blocks; block > 0; --block) {
    free_blocks_.push_back(block - 1);
    entries_[block - 1].next_free = free_entry_;
    free_entry_ = block - 1;
  }
  most_blocks_ = std::clamp<std::uint32_t>(blocks / kBlocksShare, 4, kMostBlocks);
  claimed_ = record_file_.layout().bytes + entries_.capacity() * sizeof(Entry) + retention_.BytesHeld() +
             (free_blocks_.capacity() + dirty_.capacity()) * sizeof(std::uint32_t) + is_dirty_.capacity() +
             index_.capacity() * sizeof(Slot) + event_queue_.Size() * EventQueue::BytesEach();
}

bool Recorder::Tell(const Note& note) {
  if (!event_queue_.Push(note)) return true;
  return queue_waits_.fetch_add(1, std::memory_order_relaxed) + 1 >= kMailWake;
}

// ---- Blocks and entries ----

void Recorder::Touch(std::uint32_t block) {
  if (is_dirty_[block] != 0) return;
  is_dirty_[block] = 1;
  dirty_.push_back(block);
  record_file_.BeginCell(WordOf(block));
}

std::uint32_t Recorder::TakeBlock() {
  while (free_blocks_.empty()) {
    auto victim = retention_.Victim(now_us_);
    if (!victim) return kNoBlock;
    LetGo(*victim);
  }
  std::uint32_t block = free_blocks_.back();
  free_blocks_.pop_back();
  return block;
}

void Recorder::LetGo(std::uint32_t number) {
  Entry& entry = entries_[number];
  std::uint64_t verdict = record_file_.Load(WordOf(entry.head) + 2);
  Group group = static_cast<Group>(verdict >> 58);
  Count(kTallyDropped + static_cast<std::size_t>(group));
  retention_.Drop(number);
  for (std::uint32_t block = entry.head; block != kNoBlock;) {
    // One word says that it is nobody's; what else it holds is overwritten when it is taken again.
    auto next = static_cast<std::uint32_t>(record_file_.Load(WordOf(block) + 2));
    record_file_.Store(WordOf(block) + 1, 0);
    free_blocks_.push_back(block);
    block = next;
  }
  if (entry.query != 0) IndexErase(entry.query);
  entry = {};
  entry.next_free = free_entry_;
  free_entry_ = number;
}

Recorder::Entry* Recorder::NewEntry(std::uint32_t query, std::int64_t arrived_us) {
  std::uint32_t block = TakeBlock();
  if (block == kNoBlock || free_entry_ == kNoBlock) {
    if (block != kNoBlock) free_blocks_.push_back(block);
    Count(kTallyLost + static_cast<std::size_t>(Lost::kNoRoom));
    return nullptr;
  }
  std::uint32_t number = free_entry_;
  Entry& entry = entries_[number];
  free_entry_ = entry.next_free;
  entry = {};
  entry.serial = next_serial_++;
  if (next_serial_ == 0) next_serial_ = 1;
  entry.query = query;
  entry.arrived_us = arrived_us;
  entry.head = entry.tail = block;
  entry.blocks = 1;
  Touch(block);
  record_file_.Store(WordOf(block) + 1, entry.serial);
  record_file_.Store(WordOf(block) + 2, kNoBlock);
  if (query != 0) IndexPut(query, number);
  return &entry;
}

std::uint32_t Recorder::NewBlock(Entry& entry) {
  if (entry.blocks >= most_blocks_) return kNoBlock;
  // Guards an ended query against being let go of for a block of its own.
  auto number = static_cast<std::uint32_t>(&entry - entries_.data());
  std::uint32_t serial = entry.serial;
  std::uint32_t block = TakeBlock();
  if (block == kNoBlock) return kNoBlock;
  if (entries_[number].serial != serial) {
    free_blocks_.push_back(block);
    return kNoBlock;
  }
  Touch(block);
  record_file_.Store(WordOf(block) + 1, Pair(entry.serial, entry.blocks));
  record_file_.Store(WordOf(block) + 2, kNoBlock);
  Touch(entry.tail);
  std::uint64_t link = record_file_.Load(WordOf(entry.tail) + 2);
  record_file_.Store(WordOf(entry.tail) + 2, (link & ~std::uint64_t{0xffffffff}) | block);
  entry.tail = block;
  ++entry.blocks;
  if (entry.kept) retention_.Grow(number);
  return block;
}

void Recorder::Append(Entry& entry, std::span<const std::uint64_t> words) {
  std::uint64_t use = record_file_.Load(WordOf(entry.tail) + 1);
  std::size_t used = use >> 48;
  if (used + words.size() > kMostEvent) {
    std::uint32_t serial = entry.serial;
    if (NewBlock(entry) == kNoBlock) {
      Count(kTallyLost + static_cast<std::size_t>(Lost::kCutoff));
      if (entry.serial != serial) return;
      Touch(entry.head);
      record_file_.Store(WordOf(entry.head) + 2,
                         record_file_.Load(WordOf(entry.head) + 2) | std::uint64_t{kFlagCut} << 48);
      return;
    }
    use = record_file_.Load(WordOf(entry.tail) + 1);
    used = 0;
  }
  Touch(entry.tail);
  std::size_t at = WordOf(entry.tail);
  for (std::size_t i = 0; i < words.size(); ++i)
    record_file_.Store(at + kBlockHeadWords + used + i, words[i]);
  record_file_.Store(at + 1, (use & 0xffffffffffffULL) | std::uint64_t{used + words.size()} << 48);
}

// The head's third word: next block, verdict, cause, flags, and the group (6 bits from 58) it is kept in.
void Recorder::SetHead(const Entry& entry, Verdict verdict, std::uint8_t cause, std::uint8_t flags) {
  Touch(entry.head);
  std::uint64_t word = record_file_.Load(WordOf(entry.head) + 2);
  std::uint64_t kept_flags = word >> 48 & 0xff;
  record_file_.Store(WordOf(entry.head) + 2, (word & 0xffffffff) |
                                                 std::uint64_t{static_cast<std::uint8_t>(verdict)} << 32 |
                                                 std::uint64_t{cause} << 40 | (kept_flags | flags) << 48);
}

// ---- The index of queries by number ----

void Recorder::IndexPut(std::uint32_t query, std::uint32_t entry) {
  std::size_t mask = index_.size() - 1;
  std::size_t at = query * 0x9e3779b1u & mask;
  while (index_[at].entry != kNoBlock && index_[at].query != query) at = (at + 1) & mask;
  index_[at] = {query, entry};
}

void Recorder::IndexErase(std::uint32_t query) {
  std::size_t mask = index_.size() - 1;
  std::size_t at = query * 0x9e3779b1u & mask;
  while (index_[at].entry != kNoBlock && index_[at].query != query) at = (at + 1) & mask;
  if (index_[at].entry == kNoBlock) return;
  // Backward shift: those behind it move up, as far as their own place allows.
  for (std::size_t next = (at + 1) & mask; index_[next].entry != kNoBlock; next = (next + 1) & mask) {
    std::size_t home = index_[next].query * 0x9e3779b1u & mask;
    if (((next - home) & mask) >= ((next - at) & mask)) {
      index_[at] = index_[next];
      at = next;
    }
  }
  index_[at] = {};
}

Recorder::Entry* Recorder::Find(std::uint32_t query) {
  std::size_t mask = index_.size() - 1;
  for (std::size_t at = query * 0x9e3779b1u & mask; index_[at].entry != kNoBlock; at = (at + 1) & mask) {
    if (index_[at].query == query) return &entries_[index_[at].entry];
  }
  return nullptr;
}

// ---- Events ----

std::uint32_t Recorder::Since(const Entry& entry) const {
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(now_us_ - entry.arrived_us, 0, 0xffffffff));
}

std::uint64_t Recorder::First(EventKind kind, std::size_t words, std::uint32_t operand,
                              std::uint32_t time) const {
  return static_cast<std::uint64_t>(kind) | std::uint64_t{words} << 8 |
         std::uint64_t{operand & 0xffff} << 16 | std::uint64_t{time} << 32;
}

void Recorder::AddChoice(const routing::Choice& choice, std::uint64_t* words, std::size_t& count) const {
  for (std::size_t i = 0; i < choice.count; ++i) {
    const routing::Candidate& one = choice.endpoints[i];
    words[count++] =
        Pair(one.endpoint.address, std::uint32_t{one.in_flight} |
                                      std::uint32_t{static_cast<std::uint8_t>(one.eligibility)} << 16 |
                                      std::uint32_t{one.eligible} << 24);
  }
}

void Recorder::Endpoint(std::uint32_t number, std::string_view id, std::string_view addr) {
  const Layout& layout = record_file_.layout();
  std::size_t at = layout.endpoint_at + number % layout.endpoints * kEndpointWords;
  std::array<std::uint64_t, kEndpointWords> words{};
  // Words 1 to 15: number and lengths, 72 bytes of id, 40 of address.
  id = id.substr(0, 72);
  addr = addr.substr(0, 40);
  words[1] = Pair(number, static_cast<std::uint32_t>(id.size() | addr.size() << 8));
  PutText(id, words.data() + 2);
  PutText(addr, words.data() + 11);
  bool same = true;
  for (std::size_t i = 1; i < kEndpointWords; ++i) same = same && record_file_.Load(at + i) == words[i];
  if (same) return;
  auto before = static_cast<std::uint32_t>(record_file_.Load(at + 1));
  if (before != 0 && before != number) {
    Count(kTallyLost + static_cast<std::size_t>(Lost::kEndpointName));
    std::size_t tally = layout.endpoint_count_at + number % layout.endpoints * kEndpointCounts;
    for (std::size_t i = 0; i < kEndpointCounts; ++i) record_file_.Store(tally + i, 0);
  }
  record_file_.BeginCell(at);
  for (std::size_t i = 1; i < kEndpointWords; ++i) record_file_.Store(at + i, words[i]);
  record_file_.EndCell(at, kEndpointWords);
}

void Recorder::Open(const RecordedQuery& query, std::span<const RecordedShardRequest> shard_requests) {
  // A number that came round again after 2^32: the old query is no longer found by it.
  if (Entry* old = Find(query.query)) {
    IndexErase(query.query);
    old->query = 0;
  }
  std::uint64_t hash = HashId(query.call_id), label_hash = query.label.empty() ? 0 : HashLabel(query.label);
  auto class_index = static_cast<std::uint8_t>(std::clamp(query.class_index, 0, 255));
  Entry* entry = NewEntry(query.query, query.arrived_us);
  if (entry == nullptr) {
    Seen(hash, Verdict::kOpen, class_index, 0);
    if (label_hash != 0) Seen(label_hash, Verdict::kOpen, class_index, 0);
    return;
  }
  entry->class_index = class_index;
  std::string_view id = query.call_id.substr(0, kNoteId), label = query.label.substr(0, kLabelBytes);
  std::array<std::uint64_t, kMostEvent> words;
  std::uint64_t budget = static_cast<std::uint64_t>(
      std::clamp<std::int64_t>(query.deadline_us - query.arrived_us, 0, 0xffffffff));
  words[1] = static_cast<std::uint64_t>(query.arrived_us);
  words[2] = budget | std::uint64_t{std::min<std::size_t>(shard_requests.size(), 0xffff)} << 32 |
             std::uint64_t{class_index} << 48 | std::uint64_t{static_cast<std::uint8_t>(query.front)} << 56;
  words[3] = hash;
  words[4] = label_hash;
  std::size_t count = 5;
  count += PutText(id, words.data() + count);
  count += PutText(label, words.data() + count);
  words[0] = First(EventKind::kOpen, count, static_cast<std::uint32_t>(id.size() | label.size() << 8), 0);
  Append(*entry, {words.data(), count});
  std::uint8_t flags =
      (id.size() < query.call_id.size() ? kFlagIdCut : 0) | (query.is_retry ? kFlagRepeated : 0);
  SetHead(*entry, Verdict::kOpen, 0, flags);
  for (std::size_t i = 0; i < shard_requests.size(); ++i) {
    const RecordedShardRequest& shard_request = shard_requests[i];
    words[0] =
        First(EventKind::kPart, 2, static_cast<std::uint32_t>(i), static_cast<std::uint32_t>(shard_request.shard));
    words[1] = Pair(Bits(shard_request.weight),
                    static_cast<std::uint32_t>(std::clamp<std::int64_t>(shard_request.work_us, 0, 0xffffffff)));
    Append(*entry, {words.data(), 2});
  }
}

void Recorder::Sent(std::uint32_t query, int shard_request, int attempt, const routing::Send& send) {
  std::uint32_t endpoint = send.endpoint.address;
  CountEndpoint(endpoint, EndpointCount::kSent);
  Count(kTallySend + static_cast<std::size_t>(send.reason.kind));
  if (send.reason.kind == routing::DispatchKind::kRetry)
    Count(kTallyAfter + static_cast<std::size_t>(send.reason.after));
  Entry* entry = Find(query);
  if (entry == nullptr) return;
  if (attempt > 0) {
    entry->eventful = true;
    if (entry->blamed != 0 && send.reason.kind == routing::DispatchKind::kRetry)
      CountEndpoint(entry->blamed, EndpointCount::kResentAfter);
  }
  std::array<std::uint64_t, kMostEvent> words;
  const routing::Choice& choice = send.reason.choice;
  words[1] = Pair(endpoint, static_cast<std::uint32_t>(attempt & 0xff) |
                                std::uint32_t{static_cast<std::uint8_t>(send.reason.kind)} << 8 |
                                static_cast<std::uint32_t>(send.reason.after) << 16 |
                                std::uint32_t{choice.count} << 24);
  words[2] = Pair(static_cast<std::uint32_t>(std::clamp<std::int64_t>(send.timeout_us, 0, 0xffffffff)),
                  choice.unlisted);
  std::size_t count = 3;
  AddChoice(choice, words.data(), count);
  words[0] = First(EventKind::kSend, count, static_cast<std::uint32_t>(shard_request), Since(*entry));
  Append(*entry, {words.data(), count});
}

void Recorder::Ended(std::uint32_t query, int shard_request, int attempt, std::uint32_t endpoint,
                     routing::AttemptOutcome code, Progress progress, Cause cause) {
  Entry* entry = Find(query);
  if (entry == nullptr) return;
  using routing::AttemptOutcome;
  if (code != AttemptOutcome::kOk && code != AttemptOutcome::kCancelled && code != AttemptOutcome::kNotSent)
    entry->blamed = endpoint;
  std::uint64_t words[2] = {First(EventKind::kEnd, 2, static_cast<std::uint32_t>(shard_request), Since(*entry)),
                            static_cast<std::uint64_t>(attempt & 0xff) |
                                static_cast<std::uint64_t>(code) << 8 |
                                std::uint64_t{static_cast<std::uint8_t>(progress)} << 16 |
                                std::uint64_t{static_cast<std::uint8_t>(cause)} << 24};
  Append(*entry, words);
}

void Recorder::Cancelled(std::uint32_t query, int shard_request, const routing::Cancel& cancel) {
  Entry* entry = Find(query);
  if (entry == nullptr) return;
  using routing::CancelReason;
  entry->eventful |=
      cancel.reason == CancelReason::kEndpointOutlier || cancel.reason == CancelReason::kDeadConnection;
  std::uint64_t words[2] = {First(EventKind::kCancel, 2, static_cast<std::uint32_t>(shard_request), Since(*entry)),
                            static_cast<std::uint64_t>(cancel.attempt & 0xff) |
                                std::uint64_t{static_cast<std::uint8_t>(cancel.reason)} << 8};
  Append(*entry, words);
}

void Recorder::Closed(const routing::Close& close) {
  Count(kTallyClose + static_cast<std::size_t>(close.reason));
}

void Recorder::Pending(std::uint32_t query, int shard_request, const routing::PendingShardRequest& pending) {
  Count(kTallyHeld + static_cast<std::size_t>(pending.reason));
  Entry* entry = Find(query);
  if (entry == nullptr) return;
  entry->eventful |=
      pending.reason != routing::PendingReason::kCutoff && pending.reason != routing::PendingReason::kCanary;
  std::array<std::uint64_t, kMostEvent> words;
  words[1] = Pair(pending.observed, pending.threshold);
  words[2] = Pair(static_cast<std::uint8_t>(pending.reason),
                  std::uint32_t{pending.choice.count} | std::uint32_t{pending.choice.unlisted} << 8);
  std::size_t count = 3;
  AddChoice(pending.choice, words.data(), count);
  words[0] = First(EventKind::kHeld, count, static_cast<std::uint32_t>(shard_request), Since(*entry));
  Append(*entry, {words.data(), count});
}

void Recorder::Final(std::uint32_t query, Verdict verdict, const routing::CompletionReason& reason,
                     IntakeResult intake, std::int64_t retry_after_us, int shard_responses) {
  Count(kTallyVerdict + static_cast<std::size_t>(verdict));
  Count(kTallyEnd + static_cast<std::size_t>(reason.cause));
  if (intake != IntakeResult::kNone) Count(kTallyIntake + static_cast<std::size_t>(intake));
  Entry* entry = Find(query);
  if (entry == nullptr || entry->ended) return;
  entry->ended = true;
  bool given_up = verdict == Verdict::kRejected || verdict == Verdict::kFailed || verdict == Verdict::kLate;
  std::uint32_t whose = reason.endpoint.address != 0 ? reason.endpoint.address : entry->blamed;
  if (given_up && whose != 0 && reason.cause != routing::CompletionCause::kLoad)
    CountEndpoint(whose, EndpointCount::kRefusedFor);
  if (verdict == Verdict::kPartial && entry->blamed != 0)
    CountEndpoint(entry->blamed, EndpointCount::kMissing);
  auto cause = static_cast<std::uint8_t>(reason.cause);
  std::uint64_t words[4] = {
      First(EventKind::kFinal, 4, static_cast<std::uint32_t>(verdict) | std::uint32_t{cause} << 8,
            Since(*entry)),
      Pair(reason.observed, reason.threshold),
      Pair(reason.endpoint.address,
           static_cast<std::uint32_t>(std::clamp<std::int64_t>(retry_after_us, 0, 0xffffffff))),
      Pair(static_cast<std::uint32_t>(shard_responses), static_cast<std::uint8_t>(intake))};
  std::uint32_t serial = entry->serial;
  Append(*entry, words);
  if (entry->serial != serial) return;
  Group group = verdict == Verdict::kRejected                               ? Group::kRejected
                : verdict == Verdict::kPartial                             ? Group::kPartial
                : verdict == Verdict::kFailed || verdict == Verdict::kLate ? Group::kFailed
                : verdict == Verdict::kGone                                ? Group::kGone
                : entry->eventful                                          ? Group::kEventful
                                                                           : Group::kOrdinary;
  SetHead(*entry, verdict, cause, 0);
  record_file_.Store(WordOf(entry->head) + 2, record_file_.Load(WordOf(entry->head) + 2) |
                                                  std::uint64_t{static_cast<std::uint8_t>(group)} << 58);
  entry->kept = true;
  retention_.Keep(static_cast<std::uint32_t>(entry - entries_.data()),
                  RetentionPolicy::Stratum(group, entry->class_index), now_us_, entry->blocks);
  // Both hashes stand in the first event.
  std::size_t first = WordOf(entry->head) + kBlockHeadWords;
  Seen(record_file_.Load(first + 3), verdict, entry->class_index, cause);
  if (std::uint64_t label = record_file_.Load(first + 4)) Seen(label, verdict, entry->class_index, cause);
}

// ---- What the fronts tell ----

void Recorder::Flush() {
  queue_waits_.store(0, std::memory_order_relaxed);
  Note note;
  for (std::size_t i = 0; i < event_queue_.Size() && event_queue_.Pop(note); ++i) Take(note);
  if (std::uint64_t lost = event_queue_.TakeLost())
    Count(kTallyLost + static_cast<std::size_t>(Lost::kQueueFull), lost);
  for (std::uint32_t block : dirty_) {
    record_file_.EndCell(WordOf(block), kBlockWords);
    is_dirty_[block] = 0;
  }
  dirty_.clear();
  flushes_.fetch_add(1, std::memory_order_release);
}

void Recorder::Take(const Note& note) {
  if (note.intake != IntakeResult::kNone) return TakeIntake(note);
  Entry* entry = Find(note.query);
  if (entry == nullptr) return;
  auto time =
      static_cast<std::uint32_t>(std::clamp<std::int64_t>(note.at_us - entry->arrived_us, 0, 0xffffffff));
  std::uint64_t words[2] = {First(EventKind::kGiven, 2, note.status, time),
                            Pair(note.bytes, std::uint32_t{note.whole})};
  Append(*entry, words);
}

void Recorder::TakeIntake(const Note& note) {
  Count(kTallyIntake + static_cast<std::size_t>(note.intake));
  Count(kTallyVerdict + static_cast<std::size_t>(Verdict::kRejectedAtIntake));
  auto cause = static_cast<std::uint8_t>(static_cast<std::size_t>(note.intake));
  if (note.id_bytes > 0) Seen(note.id_hash, Verdict::kRejectedAtIntake, note.class_index, cause);
  // Guards the record, and the core's time, against a flood of what cannot be read: it is counted all the
  // same.
  double passed = static_cast<double>(now_us_ - intake_us_) / 1e6;
  intake_tokens_ = std::min(kIntakeBurst, intake_tokens_ + std::max(passed, 0.0) * kIntakeRate);
  intake_us_ = now_us_;
  if (intake_tokens_ < 1) return Count(kTallyLost + static_cast<std::size_t>(Lost::kIntakeRate));
  intake_tokens_ -= 1;
  Entry* entry = NewEntry(0, note.at_us);
  if (entry == nullptr) return;
  entry->class_index = note.class_index;
  entry->ended = entry->kept = true;
  std::array<std::uint64_t, kMostEvent> words;
  words[1] = static_cast<std::uint64_t>(note.at_us);
  words[2] = Pair(note.status, std::uint32_t{note.shard_requests} | std::uint32_t{note.class_index} << 16 |
                                   std::uint32_t{static_cast<std::uint8_t>(note.front)} << 24);
  words[3] = note.id_hash;
  words[4] = Pair(note.observed, note.threshold);
  std::size_t count = 5 + PutText({note.id.data(), note.id_bytes}, words.data() + 5);
  words[0] = First(EventKind::kIntake, count, note.id_bytes | std::uint32_t{cause} << 8, 0);
  Append(*entry, {words.data(), count});
  SetHead(*entry, Verdict::kRejectedAtIntake, cause, note.id_cut ? kFlagIdCut : 0);
  record_file_.Store(WordOf(entry->head) + 2,
                     record_file_.Load(WordOf(entry->head) + 2) |
                         std::uint64_t{static_cast<std::uint8_t>(Group::kRejectedAtIntake)} << 58);
  retention_.Keep(static_cast<std::uint32_t>(entry - entries_.data()),
                  RetentionPolicy::Stratum(Group::kRejectedAtIntake, note.class_index), now_us_, entry->blocks);
}

// ---- Counts ----

// A word is a second and a count: a slot that an older second has is begun anew, and one word never tears.
void Recorder::Count(std::size_t kind, std::uint64_t n) {
  const Layout& layout = record_file_.layout();
  record_file_.Store(layout.total_at + kind, record_file_.Load(layout.total_at + kind) + n);
  auto second = static_cast<std::uint32_t>(now_us_ / 1'000'000);
  std::size_t at = layout.tally_at + second % kSeconds * kTallies + kind;
  std::uint64_t word = record_file_.Load(at);
  std::uint64_t count = word >> 32 == second ? (word & 0xffffffff) + n : n;
  record_file_.Store(at, std::uint64_t{second} << 32 | std::min<std::uint64_t>(count, 0xffffffff));
}

void Recorder::CountEndpoint(std::uint32_t endpoint, EndpointCount kind) {
  const Layout& layout = record_file_.layout();
  auto bucket = static_cast<std::uint32_t>(now_us_ / 1'000'000 / kBucketSeconds);
  std::size_t at =
      layout.endpoint_count_at + endpoint % layout.endpoints * kEndpointCounts + bucket % kEndpointCounts;
  std::uint64_t word = record_file_.Load(at);
  std::uint64_t mark = bucket & 0xffff;
  if (word >> 48 != mark) word = mark << 48;
  int shift = static_cast<int>(kind) * kTallyBits;
  if ((word >> shift & kMostTally) < kMostTally) word += std::uint64_t{1} << shift;
  record_file_.Store(at, word);
}

// Two words: the id's hash; the second, verdict, class, cause and, against a torn pair, eight bits of the
// hash.
void Recorder::Seen(std::uint64_t id_hash, Verdict verdict, std::uint8_t class_index, std::uint8_t cause) {
  const Layout& layout = record_file_.layout();
  std::size_t at = layout.seen_at + next_seen_++ % layout.seen * 2;
  auto second = static_cast<std::uint32_t>(now_us_ / 1'000'000);
  record_file_.Store(at + 1, 0);
  record_file_.Store(at, id_hash);
  record_file_.Store(at + 1, Pair(second, std::uint32_t{static_cast<std::uint8_t>(verdict)} |
                                              std::uint32_t{class_index} << 8 | std::uint32_t{cause} << 16 |
                                              static_cast<std::uint32_t>(id_hash & 0xff) << 24));
}

}  // namespace liftrudder::decision_log
