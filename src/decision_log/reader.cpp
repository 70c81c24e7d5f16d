#include "decision_log/reader.h"

#include <algorithm>
#include <array>
#include <span>
#include <utility>

#include "decision_log/event_decoding.h"
#include "decision_log/record_format.h"
#include "decision_log/recorder.h"

namespace liftrudder::decision_log {
namespace {

constexpr std::size_t kBlocksPerPause = 256;
constexpr std::size_t kQueriesPerPause = 64;
constexpr std::size_t kMaxChainBlocks = 65536;
constexpr std::uint32_t kNoSecond = 0xffffffff;  // not a second that occurs

using BlockWords = std::array<std::uint64_t, kBlockWords>;

bool MatchesReason(const QueryTrace& trace, const std::string& reason) {
  if (trace.verdict != Verdict::kRejectedAtIntake && reason == Name(trace.cause)) return true;
  return trace.intake != IntakeResult::kNone && reason == Name(trace.intake);
}

bool MatchesId(const QueryTrace& trace, const std::string& id) {
  std::uint64_t hash = HashId(id);
  std::uint64_t label_hash = HashLabel(id);
  if (!trace.label.empty() && trace.label_hash == label_hash) return true;
  // An id that was stored in full is also compared character by character, since hashes may collide.
  if (trace.id_hash == hash && (trace.id_cut || trace.call_id == id)) return true;
  // For a rejection at intake, the id may be a label that its front truncated.
  return trace.verdict == Verdict::kRejectedAtIntake && trace.id_hash == label_hash;
}

bool MatchesEndpoint(const QueryTrace& trace, const std::string& endpoint) {
  auto is_named = [&endpoint](const EndpointName& name) {
    return name.id == endpoint || name.addr == endpoint;
  };
  if (is_named(trace.overloaded_endpoint)) return true;
  return std::ranges::any_of(trace.shard_requests, [&is_named](const ShardRequestTrace& shard_request) {
    return std::ranges::any_of(shard_request.attempts, is_named, &AttemptTrace::endpoint);
  });
}

bool Matches(const QueryTrace& trace, const Filter& filter) {
  if (filter.verdict && trace.verdict != *filter.verdict) return false;
  if (filter.class_name && trace.class_name != *filter.class_name) return false;
  if (filter.from_us && trace.arrived_us < *filter.from_us) return false;
  if (filter.to_us && trace.arrived_us > *filter.to_us) return false;
  if (filter.reason && !MatchesReason(trace, *filter.reason)) return false;
  if (filter.id && !MatchesId(trace, *filter.id)) return false;
  return !filter.endpoint || MatchesEndpoint(trace, *filter.endpoint);
}

bool IsHead(std::uint64_t use_word) { return LowHalf(use_word) != 0 && ChainPosition(use_word) == 0; }

void ReadHeadWord(std::uint64_t link_word, QueryTrace& trace) {
  std::uint8_t flags = ByteAt(link_word, kFlagsShift / 8);
  trace.verdict = static_cast<Verdict>(ByteAt(link_word, kVerdictShift / 8));
  trace.events_dropped = (flags & kEventsDroppedFlag) != 0;
  trace.id_cut = (flags & kIdCutFlag) != 0;
  trace.is_retry = (flags & kRetryFlag) != 0;
}

}  // namespace

Reader::Reader(const RecordFile& record_file, std::function<void()> pause)
    : record_file_(record_file), pause_(std::move(pause)), origin_(record_file.ReadOrigin()) {}

// Checks a block without copying its cell. This excludes most blocks: they are not the first of a query, or
// the filter rejects the verdict or id of their query.
bool Reader::MayMatch(std::size_t block, const Filter& filter, const IdHashes& wanted) const {
  std::size_t at = record_file_.layout().BlockWord(block);
  std::uint64_t use = record_file_.Load(at + kUseWord);
  std::uint64_t link = record_file_.Load(at + kLinkWord);
  if (!IsHead(use)) return false;
  if (filter.verdict && ByteAt(link, kVerdictShift / 8) != static_cast<std::uint8_t>(*filter.verdict)) {
    return false;
  }
  if (!filter.id) return true;
  auto matches_hash = [&](std::size_t word) {
    std::uint64_t hash = record_file_.Load(at + kBlockHeadWords + word);
    return hash == wanted.id || hash == wanted.label;
  };
  return matches_hash(kIdHashWord) || matches_hash(kLabelHashWord);
}

// Returns the newest query first.
std::vector<Reader::QueryHead> Reader::FindHeads(const Filter& filter, SearchResult& result) const {
  const Layout& layout = record_file_.layout();
  IdHashes wanted;
  if (filter.id) wanted = {HashId(*filter.id), HashLabel(*filter.id)};
  std::vector<QueryHead> heads;
  BlockWords words;
  for (std::size_t block = 0; block < layout.blocks; ++block) {
    if (pause_ && block % kBlocksPerPause == kBlocksPerPause - 1) pause_();
    if (!MayMatch(block, filter, wanted)) continue;
    switch (record_file_.ReadCell(layout.BlockWord(block), words)) {
      case RecordFile::CellState::kBusy:
        ++result.busy_blocks;
        break;
      case RecordFile::CellState::kTorn:
        if (LowHalf(record_file_.Load(layout.BlockWord(block) + kUseWord)) != 0) ++result.torn_blocks;
        break;
      case RecordFile::CellState::kGood:
        if (IsHead(words[kUseWord])) {
          heads.push_back({static_cast<std::uint32_t>(block), LowHalf(words[kUseWord])});
        }
        break;
    }
  }
  // Serial numbers wrap around after 2^32 queries; their difference still tells which query is newer.
  std::ranges::sort(heads, [](const QueryHead& a, const QueryHead& b) {
    return static_cast<std::int32_t>(a.serial - b.serial) > 0;
  });
  return heads;
}

// Nullopt if the query was evicted in the meantime or its first block cannot be read.
std::optional<QueryTrace> Reader::ReadQuery(QueryHead head, SearchResult& result) const {
  const Layout& layout = record_file_.layout();
  QueryTrace trace;
  trace.serial = head.serial;
  BlockWords words;
  std::uint32_t block = head.block;
  for (std::size_t position = 0; block != kNoBlock && position < kMaxChainBlocks; ++position) {
    bool exists = block < layout.blocks;
    auto state =
        exists ? record_file_.ReadCell(layout.BlockWord(block), words) : RecordFile::CellState::kTorn;
    // A block that was freed during the read is not damaged.
    bool freed = exists && LowHalf(record_file_.Load(layout.BlockWord(block) + kUseWord)) == 0;
    if (state == RecordFile::CellState::kBusy) ++result.busy_blocks;
    if (state == RecordFile::CellState::kTorn && !freed) ++result.torn_blocks;
    // If the query was evicted during the read, the block may belong to another query now.
    bool belongs_to_query = state == RecordFile::CellState::kGood &&
                            LowHalf(words[kUseWord]) == head.serial &&
                            ChainPosition(words[kUseWord]) == (position & 0xffff);
    if (!belongs_to_query && position == 0) return std::nullopt;
    if (!belongs_to_query) {
      trace.torn = true;
      break;
    }
    if (position == 0) ReadHeadWord(words[kLinkWord], trace);
    std::size_t used = std::min<std::size_t>(words[kUseWord] >> kUsedShift, kMaxEventWords);
    if (!DecodeEvents(record_file_, std::span(words).subspan(kBlockHeadWords, used), trace)) {
      ++result.torn_blocks;
      trace.torn = true;
    }
    block = LowHalf(words[kLinkWord]);
  }
  auto class_index = static_cast<std::size_t>(trace.class_index);
  if (class_index < origin_.classes.size()) trace.class_name = origin_.classes[class_index];
  return trace;
}

void Reader::FindOccurrences(const std::string& id, SearchResult& result) const {
  const Layout& layout = record_file_.layout();
  std::uint64_t id_hash = HashId(id);
  std::uint64_t label_hash = HashLabel(id);
  std::uint32_t oldest = kNoSecond;
  bool full = true;
  for (std::size_t i = 0; i < layout.occurrences; ++i) {
    std::uint64_t hash = record_file_.Load(layout.occurrence_start + 2 * i);
    std::uint64_t details = record_file_.Load(layout.occurrence_start + 2 * i + 1);
    if (details == 0) {
      full = full && hash != 0;
      continue;
    }
    oldest = std::min(oldest, LowHalf(details));
    bool torn = ByteAt(details, 7) != (hash & 0xff);
    if (torn || (hash != id_hash && hash != label_hash)) continue;
    result.occurrences.push_back(
        {LowHalf(details), static_cast<Verdict>(ByteAt(details, 4)), ByteAt(details, 5), ByteAt(details, 6)});
  }
  result.occurrences_since_s = full && oldest != kNoSecond ? oldest : 0;
  auto& occurrences = result.occurrences;
  std::ranges::sort(occurrences, {}, &QueryOccurrence::second);
  if (occurrences.size() > kMaxOccurrences) {
    occurrences.erase(occurrences.begin(), occurrences.end() - kMaxOccurrences);
  }
}

SearchResult Reader::Find(const Filter& filter, const std::function<bool(const QueryTrace&)>& visit) const {
  SearchResult result;
  std::size_t read = 0;
  for (const QueryHead& head : FindHeads(filter, result)) {
    ++read;
    if (pause_ && read % kQueriesPerPause == 0) pause_();
    std::optional<QueryTrace> trace = ReadQuery(head, result);
    if (!trace || !Matches(*trace, filter)) continue;
    if (result.visited >= filter.limit || !visit(*trace)) {
      result.more = true;
      break;
    }
    ++result.visited;
  }
  if (filter.id) FindOccurrences(*filter.id, result);
  return result;
}

}  // namespace liftrudder::decision_log
