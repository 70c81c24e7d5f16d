#include "decision_log/record_counters.h"

#include <algorithm>
#include <array>

#include "decision_log/record_format.h"

namespace liftrudder::decision_log {
namespace {

constexpr std::int64_t kSecondUs = 1'000'000;
constexpr int kBucketShift = 48;  // where a word of an endpoint's counts has its bucket's number
constexpr std::uint64_t kBucketMask = 0xffff;
constexpr std::uint64_t kMaxCount = 0xffffffff;

}  // namespace

// A word holds a second and a count, so it is never torn; a slot with an older second begins anew.
void RecordCounters::Add(std::size_t counter, std::uint64_t count) {
  const Layout& layout = record_file_.layout();
  record_file_.Store(layout.total_start + counter, record_file_.Load(layout.total_start + counter) + count);
  auto second = static_cast<std::uint32_t>(now_us_ / kSecondUs);
  std::size_t at = layout.counter_start + second % kCounterSeconds * kCounters + counter;
  std::uint64_t word = record_file_.Load(at);
  std::uint64_t sum = HighHalf(word) == second ? LowHalf(word) + count : count;
  record_file_.Store(at, std::uint64_t{second} << 32 | std::min(sum, kMaxCount));
}

void RecordCounters::AddEndpoint(std::uint32_t endpoint, EndpointCount kind) {
  auto bucket = static_cast<std::uint32_t>(now_us_ / kSecondUs / kBucketSeconds);
  std::size_t at = record_file_.layout().EndpointCountWord(endpoint) + bucket % kCountBuckets;
  std::uint64_t word = record_file_.Load(at);
  std::uint64_t mark = bucket & kBucketMask;
  if (word >> kBucketShift != mark) word = mark << kBucketShift;
  int shift = static_cast<int>(kind) * kEndpointCountBits;
  if ((word >> shift & kMaxEndpointCount) < kMaxEndpointCount) word += std::uint64_t{1} << shift;
  record_file_.Store(at, word);
}

void RecordCounters::SetEndpointName(std::uint32_t number, std::string_view id, std::string_view address) {
  const Layout& layout = record_file_.layout();
  std::size_t cell = layout.EndpointWord(number);
  id = id.substr(0, kMaxEndpointIdBytes);
  address = address.substr(0, kMaxEndpointAddressBytes);
  std::array<std::uint64_t, kEndpointWords> words{};
  words[1] = Join(number, static_cast<std::uint32_t>(id.size() | address.size() << 8));
  PutText(id, words.data() + kEndpointIdWord);
  PutText(address, words.data() + kEndpointAddressWord);
  bool same = true;
  for (std::size_t i = 1; i < kEndpointWords; ++i) same = same && record_file_.Load(cell + i) == words[i];
  if (same) return;
  std::uint32_t before = LowHalf(record_file_.Load(cell + 1));
  if (before != 0 && before != number) {
    Add(CounterOf(RecordLoss::kEndpointNameOverwritten));
    std::size_t counts = layout.EndpointCountWord(number);
    for (std::size_t i = 0; i < kCountBuckets; ++i) record_file_.Store(counts + i, 0);
  }
  record_file_.BeginCell(cell);
  for (std::size_t i = 1; i < kEndpointWords; ++i) record_file_.Store(cell + i, words[i]);
  record_file_.EndCell(cell, kEndpointWords);
}

// Two words: the id's hash; the second, verdict, class, cause and, so that a torn pair shows, eight bits of
// the hash.
void RecordCounters::AddOccurrence(std::uint64_t id_hash, Verdict verdict, std::uint8_t class_index,
                                   std::uint8_t cause) {
  const Layout& layout = record_file_.layout();
  std::size_t at = layout.occurrence_start + next_occurrence_++ % layout.occurrences * 2;
  auto second = static_cast<std::uint32_t>(now_us_ / kSecondUs);
  std::uint32_t what = std::uint32_t{static_cast<std::uint8_t>(verdict)} | std::uint32_t{class_index} << 8 |
                       std::uint32_t{cause} << 16 | static_cast<std::uint32_t>(id_hash & 0xff) << 24;
  record_file_.Store(at + 1, 0);
  record_file_.Store(at, id_hash);
  record_file_.Store(at + 1, Join(second, what));
}

}  // namespace liftrudder::decision_log
