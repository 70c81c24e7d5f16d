#include "decision_log/reader.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>
#include <map>

#include "decision_log/recorder.h"

namespace liftrudder::decision_log {
namespace {

constexpr std::size_t kPauseEvery = 256;  // blocks
constexpr std::size_t kMostChain = 65536;
constexpr std::uint32_t kMostParts = 4096;  // more than any front takes in; a damaged record may name any

std::uint32_t Low(std::uint64_t word) { return static_cast<std::uint32_t>(word); }
std::uint32_t High(std::uint64_t word) { return static_cast<std::uint32_t>(word >> 32); }
std::uint8_t Byte(std::uint64_t word, int place) { return static_cast<std::uint8_t>(word >> (8 * place)); }
double Real(std::uint32_t bits) { return std::bit_cast<float>(bits); }

std::string Text(const std::uint64_t* words, std::size_t size) {
  std::string out(size, '\0');
  std::memcpy(out.data(), words, size);
  return out;
}

}  // namespace

Reader::Reader(const RecordFile& record_file, std::function<void()> pause)
    : record_file_(record_file), pause_(std::move(pause)), about_(record_file.ReadAbout()) {}

EndpointName Reader::Endpoint(std::uint32_t number) const {
  const Layout& layout = record_file_.layout();
  std::array<std::uint64_t, kEndpointWords> words;
  EndpointName out{number, "#" + std::to_string(number), ""};
  if (number == 0) return {0, "", ""};
  auto cell = record_file_.ReadCell(layout.endpoint_at + number % layout.endpoints * kEndpointWords, words);
  if (cell != RecordFile::Cell::kGood || Low(words[1]) != number) return out;
  out.id = Text(words.data() + 2, std::min<std::size_t>(Byte(words[1], 4), 72));
  out.addr = Text(words.data() + 11, std::min<std::size_t>(Byte(words[1], 5), 40));
  return out;
}

// Where the filter is decided by a query's first block, or can be ruled out there, the others are not read.
std::vector<Reader::Head> Reader::Heads(const Filter& filter, Found& found) const {
  const Layout& layout = record_file_.layout();
  std::vector<Head> heads;
  std::array<std::uint64_t, kBlockWords> words;
  std::uint64_t id_hash = filter.id ? HashId(*filter.id) : 0,
                label_hash = filter.id ? HashLabel(*filter.id) : 0;
  for (std::size_t block = 0; block < layout.blocks; ++block) {
    if (pause_ && block % kPauseEvery == kPauseEvery - 1) pause_();
    std::size_t at = layout.block_at + block * kBlockWords;
    // A glance at the unguarded words first: most blocks are not heads, or not of interest.
    std::uint64_t use = record_file_.Load(at + 1), link = record_file_.Load(at + 2);
    if (Low(use) == 0 || (use >> 32 & 0xffff) != 0) continue;
    if (filter.verdict && Byte(link, 4) != static_cast<std::uint8_t>(*filter.verdict)) continue;
    auto named = [&](std::size_t word) {
      std::uint64_t hash = record_file_.Load(at + kBlockHeadWords + word);
      return hash == id_hash || hash == label_hash;
    };
    if (filter.id && !named(3) && !named(4)) continue;
    switch (record_file_.ReadCell(at, words)) {
      case RecordFile::Cell::kBusy:
        ++found.busy;
        continue;
      case RecordFile::Cell::kTorn:
        found.torn += Low(record_file_.Load(at + 1)) != 0 ? 1 : 0;
        continue;
      case RecordFile::Cell::kGood:
        break;
    }
    if (Low(words[1]) != 0 && (words[1] >> 32 & 0xffff) == 0)
      heads.push_back({static_cast<std::uint32_t>(block), Low(words[1])});
  }
  // Serials wrap after 2^32 queries; by then the difference still tells which is newer.
  std::ranges::sort(
      heads, [](const Head& a, const Head& b) { return static_cast<std::int32_t>(a.serial - b.serial) > 0; });
  return heads;
}

std::optional<QueryTrace> Reader::Read(Head head, Found& found) const {
  const Layout& layout = record_file_.layout();
  QueryTrace trace;
  trace.serial = head.serial;
  std::array<std::uint64_t, kBlockWords> words;
  std::uint32_t block = head.block;
  for (std::size_t index = 0; block != kNoBlock && index < kMostChain; ++index) {
    auto cell = block < layout.blocks ? record_file_.ReadCell(layout.block_at + block * kBlockWords, words)
                                      : RecordFile::Cell::kTorn;
    bool good = cell == RecordFile::Cell::kGood;
    // Nobody's any more: it was let go of while it was read, which is no damage.
    bool freed =
        block < layout.blocks && Low(record_file_.Load(layout.block_at + block * kBlockWords + 1)) == 0;
    found.busy += cell == RecordFile::Cell::kBusy ? 1 : 0;
    found.torn += cell == RecordFile::Cell::kTorn && !freed ? 1 : 0;
    // Let go of while it was read: the block is another's now. Of the head, the whole query is gone then.
    bool its = good && Low(words[1]) == head.serial && (words[1] >> 32 & 0xffff) == (index & 0xffff);
    if (!its && index == 0) return std::nullopt;
    if (!its) {
      trace.torn = true;
      break;
    }
    if (index == 0) {
      std::uint8_t flags = Byte(words[2], 6);
      trace.verdict = static_cast<Verdict>(Byte(words[2], 4));
      trace.events_cut = (flags & kFlagCut) != 0;
      trace.id_cut = (flags & kFlagIdCut) != 0;
      trace.is_retry = (flags & kFlagRepeated) != 0;
    }
    std::size_t used = std::min<std::size_t>(words[1] >> 48, kBlockWords - kBlockHeadWords);
    if (!Decode(words.data() + kBlockHeadWords, used, trace)) {
      ++found.torn;
      trace.torn = true;
    }
    block = Low(words[2]);
  }
  trace.class_name = static_cast<std::size_t>(trace.class_index) < about_.classes.size()
                         ? about_.classes[static_cast<std::size_t>(trace.class_index)]
                         : "";
  return trace;
}

std::vector<CandidateTrace> Reader::Choice(const std::uint64_t* words, std::size_t count) const {
  std::vector<CandidateTrace> out;
  for (std::size_t i = 0; i < count; ++i) {
    std::uint32_t high = High(words[i]);
    out.push_back({Endpoint(Low(words[i])), static_cast<int>(high & 0xffff),
                   static_cast<routing::Eligibility>(high >> 16 & 0xff), (high >> 24) != 0});
  }
  return out;
}

// False when a block's words are no events.
bool Reader::Decode(const std::uint64_t* words, std::size_t count, QueryTrace& trace) const {
  for (std::size_t at = 0; at < count;) {
    const std::uint64_t* event = words + at;
    auto kind = static_cast<EventKind>(Byte(event[0], 0));
    std::size_t size = Byte(event[0], 1);
    std::uint32_t operand = event[0] >> 16 & 0xffff, time = High(event[0]);
    static constexpr std::size_t kLeast[] = {1, 5, 2, 3, 2, 2, 3, 4, 2, 5};
    if (kind == EventKind::kNone || kind > EventKind::kIntake ||
        size < kLeast[static_cast<std::size_t>(kind)] || at + size > count)
      return false;
    at += size;
    bool of_part = kind == EventKind::kPart || kind == EventKind::kSend || kind == EventKind::kEnd ||
                   kind == EventKind::kCancel || kind == EventKind::kHeld;
    if (of_part && operand >= kMostParts) return false;
    auto shard_request = [&]() -> ShardRequestTrace* {
      if (operand >= trace.shard_requests.size()) trace.shard_requests.resize(operand + 1);
      return &trace.shard_requests[operand];
    };
    auto attempt = [&](std::uint8_t number) -> AttemptTrace* {
      for (AttemptTrace& one : shard_request()->attempts) {
        if (one.number == number) return &one;
      }
      return nullptr;
    };
    switch (kind) {
      case EventKind::kOpen: {
        std::size_t id = operand & 0xff, label = operand >> 8;
        std::size_t id_words = (id + 7) / 8;
        if (5 + id_words + (label + 7) / 8 > size) return false;
        trace.arrived_us = static_cast<std::int64_t>(event[1]);
        trace.budget_us = Low(event[2]);
        trace.parts_told = static_cast<int>(High(event[2]) & 0xffff);
        trace.class_index = Byte(event[2], 6);
        trace.front = static_cast<FrontKind>(Byte(event[2], 7));
        trace.id_hash = event[3];
        trace.label_hash = event[4];
        trace.call_id = Text(event + 5, id);
        trace.label = Text(event + 5 + id_words, label);
        break;
      }
      case EventKind::kPart:
        shard_request()->shard = static_cast<int>(time);
        shard_request()->weight = Real(Low(event[1]));
        shard_request()->work_us = High(event[1]);
        break;
      case EventKind::kSend: {
        AttemptTrace sent;
        std::uint32_t how = High(event[1]);
        sent.number = static_cast<int>(how & 0xff);
        sent.kind = static_cast<routing::DispatchKind>(how >> 8 & 0xff);
        sent.after = static_cast<routing::AttemptOutcome>(how >> 16 & 0xff);
        sent.endpoint = Endpoint(Low(event[1]));
        sent.at_us = time;
        sent.timeout_us = Low(event[2]);
        sent.unlisted = static_cast<int>(High(event[2]));
        sent.considered = Choice(event + 3, std::min<std::size_t>(how >> 24, size - 3));
        shard_request()->attempts.push_back(std::move(sent));
        break;
      }
      case EventKind::kEnd:
        if (AttemptTrace* one = attempt(Byte(event[1], 0))) {
          one->ended_us = time;
          one->outcome = static_cast<routing::AttemptOutcome>(Byte(event[1], 1));
          one->progress = static_cast<Progress>(Byte(event[1], 2));
          one->cause = static_cast<Cause>(Byte(event[1], 3));
        }
        break;
      case EventKind::kCancel:
        if (AttemptTrace* one = attempt(Byte(event[1], 0))) {
          one->cancelled_us = time;
          one->cancel_why = static_cast<routing::CancelReason>(Byte(event[1], 1));
        }
        break;
      case EventKind::kHeld:
        shard_request()->pending.push_back({time, static_cast<routing::PendingReason>(Byte(event[2], 0)),
                                Real(Low(event[1])), Real(High(event[1])),
                                Choice(event + 3, std::min<std::size_t>(Byte(event[2], 4), size - 3))});
        break;
      case EventKind::kFinal:
        trace.verdict = static_cast<Verdict>(operand & 0xff);
        trace.cause = static_cast<routing::CompletionCause>(operand >> 8);
        trace.ended_us = time;
        trace.observed = Real(Low(event[1]));
        trace.threshold = Real(High(event[1]));
        trace.blamed = Endpoint(Low(event[2]));
        trace.retry_after_us = High(event[2]);
        trace.shard_responses = static_cast<int>(Low(event[3]));
        trace.intake = static_cast<IntakeResult>(Byte(event[3], 4));
        break;
      case EventKind::kGiven:
        trace.given.push_back({time, static_cast<int>(operand), Low(event[1]), High(event[1]) != 0});
        break;
      case EventKind::kIntake:
        trace.arrived_us = static_cast<std::int64_t>(event[1]);
        trace.given.push_back({0, static_cast<int>(Low(event[2])), 0, true});
        trace.parts_told = static_cast<int>(High(event[2]) & 0xffff);
        trace.class_index = Byte(event[2], 6);
        trace.front = static_cast<FrontKind>(Byte(event[2], 7));
        trace.id_hash = event[3];
        trace.observed = Real(Low(event[4]));
        trace.threshold = Real(High(event[4]));
        trace.intake = static_cast<IntakeResult>(operand >> 8);
        trace.call_id = Text(event + 5, std::min<std::size_t>(operand & 0xff, (size - 5) * 8));
        break;
      case EventKind::kNone:
        break;
    }
  }
  return true;
}

bool Reader::Matches(const QueryTrace& trace, const Filter& filter) const {
  if (filter.verdict && trace.verdict != *filter.verdict) return false;
  if (filter.class_name && trace.class_name != *filter.class_name) return false;
  if (filter.from_us && trace.arrived_us < *filter.from_us) return false;
  if (filter.to_us && trace.arrived_us > *filter.to_us) return false;
  if (filter.reason) {
    bool ends = trace.verdict != Verdict::kRejectedAtIntake && *filter.reason == Name(trace.cause);
    if (!ends && (trace.intake == IntakeResult::kNone || *filter.reason != Name(trace.intake))) return false;
  }
  if (filter.id) {
    std::uint64_t hash = HashId(*filter.id), label = HashLabel(*filter.id);
    bool labelled = !trace.label.empty() && trace.label_hash == label;
    // An id that was kept whole is compared itself; a door's may be a label that its front had cut.
    bool named = (trace.id_hash == hash && (trace.id_cut || trace.call_id == *filter.id)) ||
                 (trace.verdict == Verdict::kRejectedAtIntake && trace.id_hash == label);
    if (!labelled && !named) return false;
  }
  if (filter.endpoint) {
    auto here = [&](const EndpointName& name) {
      return name.id == *filter.endpoint || name.addr == *filter.endpoint;
    };
    bool any = here(trace.blamed);
    for (const ShardRequestTrace& shard_request : trace.shard_requests) {
      for (const AttemptTrace& one : shard_request.attempts) any = any || here(one.endpoint);
    }
    if (!any) return false;
  }
  return true;
}

void Reader::Sight(const std::string& id, Found& found) const {
  const Layout& layout = record_file_.layout();
  std::uint64_t hash = HashId(id), label = HashLabel(id);
  std::uint32_t oldest = 0xffffffff;
  bool full = true;
  for (std::size_t i = 0; i < layout.seen; ++i) {
    std::uint64_t first = record_file_.Load(layout.seen_at + 2 * i),
                  second = record_file_.Load(layout.seen_at + 2 * i + 1);
    if (second == 0) {
      full = full && first != 0;
      continue;
    }
    oldest = std::min(oldest, Low(second));
    if ((first != hash && first != label) || (second >> 56) != (first & 0xff)) continue;
    found.occurrences.push_back(
        {Low(second), static_cast<Verdict>(Byte(second, 4)), Byte(second, 5), Byte(second, 6)});
  }
  found.occurrences_from = full && oldest != 0xffffffff ? oldest : 0;
  std::ranges::sort(found.occurrences, {}, &QueryOccurrence::second);
  std::size_t many = found.occurrences.size();
  if (many > kMaxOccurrences)
    found.occurrences.erase(found.occurrences.begin(), found.occurrences.end() - kMaxOccurrences);
}

Found Reader::Find(const Filter& filter, const std::function<bool(const QueryTrace&)>& each) const {
  Found found;
  std::vector<Head> heads = Heads(filter, found);
  std::size_t read = 0;
  for (const Head& head : heads) {
    if (pause_ && ++read % (kPauseEvery / 4) == 0) pause_();
    auto trace = Read(head, found);
    if (!trace || !Matches(*trace, filter)) continue;
    if (found.told >= filter.limit || !each(*trace)) {
      found.more = true;
      break;
    }
    ++found.told;
  }
  if (filter.id) Sight(*filter.id, found);
  return found;
}

Summary Reader::Summarize() const {
  const Layout& layout = record_file_.layout();
  Summary out;
  out.bytes = layout.bytes;
  out.blocks = layout.blocks;
  for (std::size_t block = 0; block < layout.blocks; ++block)
    out.blocks_used += Low(record_file_.Load(layout.block_at + block * kBlockWords + 1)) != 0 ? 1 : 0;
  out.totals.resize(kTallies);
  out.last_minute.resize(kTallies);
  for (std::size_t kind = 0; kind < kTallies; ++kind)
    out.totals[kind] = record_file_.Load(layout.total_at + kind);
  for (std::size_t i = 0; i < kSeconds * kTallies; ++i)
    out.now_s = std::max<std::int64_t>(out.now_s, High(record_file_.Load(layout.tally_at + i)));
  std::map<std::int64_t, std::uint64_t> dropped;
  for (std::size_t second = 0; second < kSeconds; ++second) {
    for (std::size_t kind = 0; kind < kTallies; ++kind) {
      std::uint64_t word = record_file_.Load(layout.tally_at + second * kTallies + kind);
      if (word == 0 || High(word) + 60 <= out.now_s) continue;
      out.last_minute[kind] += Low(word);
      if (kind >= kTallyDropped && kind < kTallyClose) dropped[High(word)] += Low(word);
    }
  }
  out.dropped.assign(dropped.begin(), dropped.end());
  std::int64_t bucket = out.now_s / kBucketSeconds;
  std::array<std::uint64_t, kEndpointWords> words;
  for (std::size_t slot = 0; slot < layout.endpoints; ++slot) {
    if (record_file_.ReadCell(layout.endpoint_at + slot * kEndpointWords, words) != RecordFile::Cell::kGood ||
        Low(words[1]) == 0)
      continue;
    Summary::Endpoint endpoint;
    endpoint.name = Endpoint(Low(words[1]));
    std::uint64_t* counts[] = {&endpoint.sent, &endpoint.resent_after, &endpoint.refused_for,
                               &endpoint.missing};
    for (std::size_t i = 0; i < kEndpointCounts; ++i) {
      std::uint64_t word = record_file_.Load(layout.endpoint_count_at + slot * kEndpointCounts + i);
      // The bucket's number is kept short: it comes round again after six days.
      auto age = static_cast<std::uint16_t>(static_cast<std::uint64_t>(bucket) - (word >> 48));
      if (word == 0 || age >= kEndpointCounts) continue;
      for (int kind = 0; kind < 4; ++kind) *counts[kind] += word >> kind * kTallyBits & kMostTally;
    }
    if (endpoint.sent + endpoint.resent_after + endpoint.refused_for + endpoint.missing > 0)
      out.endpoints.push_back(std::move(endpoint));
  }
  std::ranges::sort(out.endpoints, [](const auto& a, const auto& b) {
    return a.resent_after + a.refused_for + a.missing > b.resent_after + b.refused_for + b.missing;
  });
  return out;
}

}  // namespace liftrudder::decision_log
