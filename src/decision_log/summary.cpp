#include "decision_log/summary.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>

#include "decision_log/counts.h"
#include "decision_log/event_decoding.h"
#include "decision_log/record_format.h"

namespace liftrudder::decision_log {
namespace {

constexpr std::int64_t kMinuteS = 60;

void AddCounters(const RecordFile& record_file, Summary& summary) {
  const Layout& layout = record_file.layout();
  summary.totals.resize(kCounters);
  summary.last_minute.resize(kCounters);
  for (std::size_t counter = 0; counter < kCounters; ++counter) {
    summary.totals[counter] = record_file.Load(layout.total_start + counter);
  }
  for (std::size_t i = 0; i < kCounterSeconds * kCounters; ++i) {
    std::int64_t second = HighHalf(record_file.Load(layout.counter_start + i));
    summary.now_s = std::max(summary.now_s, second);
  }
  std::map<std::int64_t, std::uint64_t> not_kept;
  for (std::size_t i = 0; i < kCounterSeconds * kCounters; ++i) {
    std::uint64_t word = record_file.Load(layout.counter_start + i);
    std::int64_t second = HighHalf(word);
    if (word == 0 || second + kMinuteS <= summary.now_s) continue;
    std::size_t counter = i % kCounters;
    summary.last_minute[counter] += LowHalf(word);
    if (counter >= kEvictionCounters && counter < kCloseCounters) not_kept[second] += LowHalf(word);
  }
  for (const auto& [second, count] : not_kept) summary.not_kept.push_back({second, count});
}

std::array<std::uint64_t, kEndpointCountKinds> EndpointCounts(const RecordFile& record_file, std::size_t slot,
                                                              std::int64_t now_s) {
  std::array<std::uint64_t, kEndpointCountKinds> counts{};
  std::size_t first = record_file.layout().endpoint_count_start + slot * kCountBuckets;
  auto now_bucket = static_cast<std::uint64_t>(now_s / kBucketSeconds);
  for (std::size_t i = 0; i < kCountBuckets; ++i) {
    std::uint64_t word = record_file.Load(first + i);
    // The bucket's number has 16 bits and wraps around after six days.
    auto age = static_cast<std::uint16_t>(now_bucket - (word >> 48));
    if (word == 0 || age >= kCountBuckets) continue;
    for (std::size_t kind = 0; kind < kEndpointCountKinds; ++kind) {
      counts[kind] += word >> kind * kEndpointCountBits & kMaxEndpointCount;
    }
  }
  return counts;
}

std::uint64_t FaultCount(const Summary::Endpoint& endpoint) {
  return endpoint.retried_after + endpoint.unanswered_for + endpoint.missing;
}

void AddEndpoints(const RecordFile& record_file, Summary& summary) {
  const Layout& layout = record_file.layout();
  std::array<std::uint64_t, kEndpointWords> words;
  for (std::size_t slot = 0; slot < layout.endpoints; ++slot) {
    auto state = record_file.ReadCell(layout.endpoint_start + slot * kEndpointWords, words);
    if (state != RecordFile::CellState::kGood) continue;
    std::uint32_t number = LowHalf(words[1]);
    if (number == 0) continue;
    auto counts = EndpointCounts(record_file, slot, summary.now_s);
    auto count = [&counts](EndpointCount kind) { return counts[static_cast<std::size_t>(kind)]; };
    Summary::Endpoint endpoint{ReadEndpointName(record_file, number), count(EndpointCount::kSent),
                               count(EndpointCount::kRetriedAfter), count(EndpointCount::kUnansweredFor),
                               count(EndpointCount::kMissing)};
    if (endpoint.sent + FaultCount(endpoint) > 0) summary.endpoints.push_back(std::move(endpoint));
  }
  std::ranges::sort(summary.endpoints, std::greater{}, FaultCount);
}

}  // namespace

Summary Summarize(const RecordFile& record_file) {
  const Layout& layout = record_file.layout();
  Summary summary;
  summary.bytes = layout.bytes;
  summary.blocks = layout.blocks;
  for (std::size_t block = 0; block < layout.blocks; ++block) {
    if (LowHalf(record_file.Load(layout.BlockWord(block) + kUseWord)) != 0) ++summary.blocks_used;
  }
  AddCounters(record_file, summary);
  AddEndpoints(record_file, summary);
  return summary;
}

}  // namespace liftrudder::decision_log
