#include "decision_log/record_counters.h"

#include <algorithm>
#include <array>

#include "decision_log/record_format.h"

namespace liftrudder::decision_log {
namespace {

constexpr std::int64_t kSecondUs = 1'000'000;

}  // namespace

void RecordCounters::SetEndpointName(std::uint32_t number, std::string_view id, std::string_view address) {
  const Layout& layout = record_file_.layout();
  std::size_t cell = layout.EndpointWord(number);
  id = id.substr(0, kMaxEndpointIdBytes);
  address = address.substr(0, kMaxEndpointAddressBytes);
  std::array<std::uint64_t, kEndpointWords> words{};
  words[1] = JoinHalves(number, static_cast<std::uint32_t>(id.size() | address.size() << 8));
  PutText(id, words.data() + kEndpointIdWord);
  PutText(address, words.data() + kEndpointAddressWord);
  bool same = true;
  for (std::size_t i = 1; i < kEndpointWords; ++i) same = same && record_file_.Load(cell + i) == words[i];
  if (same) return;
  std::uint32_t previous_number = LowHalf(record_file_.Load(cell + 1));
  if (previous_number != 0 && previous_number != number) {
    Add(CounterOf(RecordLoss::kEndpointNameOverwritten));
    std::size_t counts = layout.EndpointCountWord(number);
    for (std::size_t i = 0; i < kCountBuckets; ++i) record_file_.Store(counts + i, 0);
  }
  record_file_.BeginCell(cell);
  for (std::size_t i = 1; i < kEndpointWords; ++i) record_file_.Store(cell + i, words[i]);
  record_file_.EndCell(cell, kEndpointWords);
}

// An occurrence has two words: the id's hash, and a word with the second, verdict, class, cause and eight
// bits of the hash, by which readers detect a torn pair.
void RecordCounters::AddOccurrence(std::uint64_t id_hash, Verdict verdict, std::uint8_t class_index,
                                   std::uint8_t cause) {
  const Layout& layout = record_file_.layout();
  std::size_t at = layout.occurrence_start + next_occurrence_++ % layout.occurrences * 2;
  auto second = static_cast<std::uint32_t>(now_us_ / kSecondUs);
  std::uint32_t details = std::uint32_t{static_cast<std::uint8_t>(verdict)} |
                          std::uint32_t{class_index} << 8 | std::uint32_t{cause} << 16 |
                          static_cast<std::uint32_t>(id_hash & 0xff) << 24;
  record_file_.Store(at + 1, 0);
  record_file_.Store(at, id_hash);
  record_file_.Store(at + 1, JoinHalves(second, details));
}

}  // namespace liftrudder::decision_log
