// The bytes of the record: claimed once, of fixed size, laid out as docs/design/why.md says byte by byte.
// Either plain memory or a mapped file that outlives the process. Decides nothing and never grows; the one
// writer and any number of readers may use it at once, word by word. Words are written with release and read
// with acquire.
#ifndef LIFTRUDDER_DECISION_LOG_RECORD_FILE_H_
#define LIFTRUDDER_DECISION_LOG_RECORD_FILE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace liftrudder::decision_log {

constexpr std::uint32_t kFormatVersion = 2;
constexpr std::size_t kHeaderBytes = 4096;
constexpr std::size_t kBlockWords = 32;     // 256 bytes
constexpr std::size_t kBlockHeadWords = 3;  // of them: sequence and checksum; entry and use; next and verdict
constexpr std::size_t kEndpointWords = 16;  // a holder's name and address
constexpr std::size_t kMaxEndpoints = 1024;  // of whom names and tallies are kept at a time
// A word for each of eight buckets of kBucketSeconds: the bucket's number, and 12 bits for each of four
// kinds.
constexpr std::size_t kEndpointCounts = 8;
constexpr int kTallyBits = 12;
constexpr std::uint64_t kMostTally = (1u << kTallyBits) - 1;  // it counts no further
constexpr std::size_t kSeconds = 64;                          // of which counts are kept second by second
constexpr std::size_t kTallies = 96;                          // kinds of count; see counts.h
constexpr std::uint32_t kBucketSeconds = 8;
constexpr std::size_t kMostClasses = 16;
constexpr std::size_t kClassName = 32;
constexpr std::size_t kLeastBytes = 512 * 1024;
constexpr std::size_t kMostBytes = 64 * 1024 * 1024;  // a scan, with its pauses, ends within some 2 s

// Where everything lies. All counts follow from the size alone, so a reader can check them.
struct Layout {
  std::size_t bytes = 0;  // of the whole, a multiple of 4,096
  std::size_t endpoints = 0, seen = 0, blocks = 0;
  std::size_t endpoint_at = 0, endpoint_count_at = 0, tally_at = 0, total_at = 0, seen_at = 0,
              block_at = 0;  // words

  // `bytes` from kLeastBytes to kMostBytes; it is rounded down to whole pages.
  static Layout Of(std::size_t bytes);
};

// What the head of a record says of who wrote it.
struct About {
  std::string name;                  // of the gatherer, cut at 63 bytes
  std::int64_t started_us = 0;       // the program's clock, which starts at wall time
  std::vector<std::string> classes;  // at most kMostClasses, cut at 31 bytes
};

class RecordFile {
 public:
  // Claimed and touched now, so that no page is missing later. Throws std::runtime_error when it cannot be
  // had.
  static RecordFile InMemory(std::size_t bytes, const About& about);
  // The same in a file, whose room on the disk is claimed too. A file that is there already is kept as
  // PATH.old, as a kill may just have left it. Throws std::runtime_error naming the file and what failed.
  static RecordFile InFile(const std::string& path, std::size_t bytes, const About& about);
  // To read what is there, of a running program or a dead one. Throws std::runtime_error saying what is wrong
  // with the file: not a record, another version, cut short, a head that does not fit its checksum.
  static RecordFile Open(const std::string& path);

  RecordFile(RecordFile&& other) noexcept;
  RecordFile& operator=(RecordFile&& other) = delete;
  ~RecordFile();

  const Layout& layout() const { return layout_; }
  About ReadAbout() const;

  std::uint64_t Load(std::size_t word) const {
    return std::atomic_ref<std::uint64_t>(words_[word]).load(std::memory_order_acquire);
  }
  void Store(std::size_t word, std::uint64_t value) {
    std::atomic_ref<std::uint64_t>(words_[word]).store(value, std::memory_order_release);
  }

  // A cell is words guarded by their first: sequence (odd while written) and, in a file, checksum of the
  // others. In memory nothing can tear them apart that the sequence does not show.
  void BeginCell(std::size_t at);
  void EndCell(std::size_t at, std::size_t words);
  enum class Cell { kGood, kBusy, kTorn };
  // Copies the cell out; busy when it was being written all the while, torn when its checksum does not fit.
  Cell ReadCell(std::size_t at, std::span<std::uint64_t> out) const;

 private:
  RecordFile(std::uint64_t* words, const Layout& layout, bool summed)
      : words_(words), layout_(layout), summed_(summed) {}
  void WriteHead(const About& about);

  std::uint64_t* words_;
  Layout layout_;
  bool summed_;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_RECORD_FILE_H_
