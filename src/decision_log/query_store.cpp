#include "decision_log/query_store.h"

#include <algorithm>

namespace liftrudder::decision_log {
namespace {

// A query may hold at most 1 / kBlockShareDivisor of all blocks and at most kMaxBlocksPerQuery, since a
// reader holds a whole query in memory.
constexpr std::uint32_t kBlockShareDivisor = 16;
constexpr std::uint32_t kMinBlocksPerQuery = 4;
constexpr std::uint32_t kMaxBlocksPerQuery = 256;

constexpr std::uint64_t kNextBlockMask = 0xffffffff;
constexpr std::uint64_t kUseMask = 0xffffffffffff;  // of a use word: all but the number of words used

}  // namespace

QueryStore::QueryStore(RecordFile& record_file, RecordCounters& counters, std::uint64_t seed)
    : record_file_(record_file),
      counters_(counters),
      retention_(record_file.layout().blocks, seed),
      index_(record_file.layout().blocks),
      queries_(record_file.layout().blocks),
      is_dirty_(record_file.layout().blocks) {
  auto blocks = static_cast<std::uint32_t>(record_file.layout().blocks);
  free_blocks_.reserve(blocks);
  dirty_blocks_.reserve(blocks);
  for (std::uint32_t block = blocks; block > 0; --block) {
    free_blocks_.push_back(block - 1);
    queries_[block - 1].next_free = free_query_;
    free_query_ = block - 1;
  }
  max_blocks_per_query_ = std::clamp(blocks / kBlockShareDivisor, kMinBlocksPerQuery, kMaxBlocksPerQuery);
}

std::size_t QueryStore::BytesFor(std::size_t blocks) {
  // A query, its entry in the retention policy, an entry in each of two lists of blocks, and a dirty flag.
  std::size_t bytes_per_block = sizeof(StoredQuery) + RetentionPolicy::BytesPerQuery() +
                                2 * sizeof(std::uint32_t) + sizeof(std::uint8_t);
  return blocks * bytes_per_block + QueryIndex::BytesFor(blocks);
}

std::size_t QueryStore::BytesHeld() const {
  return queries_.capacity() * sizeof(StoredQuery) + retention_.BytesHeld() +
         (free_blocks_.capacity() + dirty_blocks_.capacity()) * sizeof(std::uint32_t) + is_dirty_.capacity() +
         index_.BytesHeld();
}

StoredQuery* QueryStore::Add(std::uint32_t query, std::int64_t arrived_us) {
  std::uint32_t block = TakeBlock();
  if (block == kNoBlock || free_query_ == kNoBlock) {
    if (block != kNoBlock) free_blocks_.push_back(block);
    counters_.Add(CounterOf(RecordLoss::kNoSpace));
    return nullptr;
  }
  std::uint32_t position = free_query_;
  StoredQuery& added = queries_[position];
  free_query_ = added.next_free;
  added = {};
  added.serial = next_serial_++;
  if (next_serial_ == 0) next_serial_ = 1;
  added.query = query;
  added.arrived_us = arrived_us;
  added.head = added.tail = block;
  added.blocks = 1;
  MarkDirty(block);
  record_file_.Store(WordOf(block) + kUseWord, added.serial);
  record_file_.Store(WordOf(block) + kLinkWord, kNoBlock);
  if (query != 0) index_.Insert(query, position);
  return &added;
}

void QueryStore::Unindex(StoredQuery& query) {
  index_.Erase(query.query);
  query.query = 0;
}

bool QueryStore::Append(StoredQuery& query, const EncodedEvent& event) {
  std::size_t block_word = WordOf(query.tail);
  std::uint64_t use = record_file_.Load(block_word + kUseWord);
  std::size_t used = use >> kUsedShift;
  if (used + event.size > kMaxEventWords) {
    std::uint32_t serial = query.serial;
    if (!AddBlock(query)) {
      counters_.Add(CounterOf(RecordLoss::kEventLimit));
      if (query.serial != serial) return false;
      MarkDirty(query.head);
      record_file_.Store(WordOf(query.head) + kLinkWord,
                         LinkWord(query.head) | std::uint64_t{kEventsDroppedFlag} << kFlagsShift);
      return true;
    }
    block_word = WordOf(query.tail);
    use = record_file_.Load(block_word + kUseWord);
    used = 0;
  }
  MarkDirty(query.tail);
  const std::size_t first = block_word + kBlockHeadWords + used;
  const std::size_t size = event.size;
  for (std::size_t i = 0; i < size; ++i) record_file_.Store(first + i, event.words[i]);
  record_file_.Store(block_word + kUseWord, (use & kUseMask) | std::uint64_t{used + size} << kUsedShift);
  return true;
}

void QueryStore::SetVerdict(const StoredQuery& query, Verdict verdict, std::uint8_t cause,
                            std::uint8_t flags) {
  MarkDirty(query.head);
  std::uint64_t link = LinkWord(query.head);
  std::uint64_t all_flags = ByteAt(link, kFlagsShift / 8) | flags;
  record_file_.Store(WordOf(query.head) + kLinkWord,
                     (link & kNextBlockMask) |
                         std::uint64_t{static_cast<std::uint8_t>(verdict)} << kVerdictShift |
                         std::uint64_t{cause} << kCauseShift | all_flags << kFlagsShift);
}

void QueryStore::Retain(StoredQuery& query, RetentionGroup group) {
  record_file_.Store(WordOf(query.head) + kLinkWord,
                     LinkWord(query.head) | std::uint64_t{static_cast<std::uint8_t>(group)} << kGroupShift);
  query.ended = true;
  query.retained = true;
  retention_.Keep(PositionOf(query), RetentionPolicy::Stratum(group, query.class_index), now_us_,
                  query.blocks);
}

IdHashes QueryStore::HashesOf(const StoredQuery& query) const {
  std::size_t first_event = WordOf(query.head) + kBlockHeadWords;
  return {record_file_.Load(first_event + kIdHashWord), record_file_.Load(first_event + kLabelHashWord)};
}

void QueryStore::Flush() {
  for (std::uint32_t block : dirty_blocks_) {
    record_file_.EndCell(WordOf(block), kBlockWords);
    is_dirty_[block] = 0;
  }
  dirty_blocks_.clear();
}

void QueryStore::BeginBlockWrite(std::uint32_t block) {
  is_dirty_[block] = 1;
  dirty_blocks_.push_back(block);
  record_file_.BeginCell(WordOf(block));
}

std::uint32_t QueryStore::TakeBlock() {
  while (free_blocks_.empty()) {
    auto next = retention_.NextEviction(now_us_);
    if (!next) return kNoBlock;
    Evict(*next);
  }
  std::uint32_t block = free_blocks_.back();
  free_blocks_.pop_back();
  return block;
}

// False if the query has used its share of blocks, if no block can be freed, or if the query itself was
// evicted for the block.
bool QueryStore::AddBlock(StoredQuery& query) {
  if (query.blocks >= max_blocks_per_query_) return false;
  // TakeBlock may evict this query itself if it has ended.
  std::uint32_t serial = query.serial;
  std::uint32_t block = TakeBlock();
  if (block == kNoBlock) return false;
  if (query.serial != serial) {
    free_blocks_.push_back(block);
    return false;
  }
  MarkDirty(block);
  record_file_.Store(WordOf(block) + kUseWord, JoinHalves(query.serial, query.blocks));
  record_file_.Store(WordOf(block) + kLinkWord, kNoBlock);
  MarkDirty(query.tail);
  record_file_.Store(WordOf(query.tail) + kLinkWord, (LinkWord(query.tail) & ~kNextBlockMask) | block);
  query.tail = block;
  ++query.blocks;
  if (query.retained) retention_.Grow(PositionOf(query));
  return true;
}

void QueryStore::Evict(std::uint32_t position) {
  StoredQuery& query = queries_[position];
  counters_.Add(CounterOf(static_cast<RetentionGroup>(LinkWord(query.head) >> kGroupShift)));
  retention_.Drop(position);
  for (std::uint32_t block = query.head; block != kNoBlock;) {
    // Clearing the use word frees the block; its other words are overwritten when it is reused.
    std::uint32_t next = LowHalf(LinkWord(block));
    record_file_.Store(WordOf(block) + kUseWord, 0);
    free_blocks_.push_back(block);
    block = next;
  }
  if (query.query != 0) index_.Erase(query.query);
  query = {};
  query.next_free = free_query_;
  free_query_ = position;
}

}  // namespace liftrudder::decision_log
