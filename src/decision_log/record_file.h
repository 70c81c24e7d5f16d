// The bytes of the decision log: allocated once with a fixed size, either in plain memory or in a mapped file
// that outlives the process. docs/design/decision_log.md describes the layout byte by byte. Does not
// interpret blocks.
//
// One writer and any number of readers may use it concurrently: words are stored with release and loaded with
// acquire order, and cells tell a reader whether the writer changed them during the read.
#ifndef LIFTRUDDER_DECISION_LOG_RECORD_FILE_H_
#define LIFTRUDDER_DECISION_LOG_RECORD_FILE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace liftrudder::decision_log {

constexpr std::uint32_t kFormatVersion = 2;
constexpr std::size_t kHeaderBytes = 4096;
constexpr std::size_t kBlockWords = 32;      // 256 bytes
constexpr std::size_t kBlockHeadWords = 3;   // see record_format.h
constexpr std::size_t kEndpointWords = 16;   // an endpoint's id and address
constexpr std::size_t kMaxEndpoints = 1024;  // whose names and counts are kept at the same time
// An endpoint's counts: a word for each bucket of kBucketSeconds, with the bucket's number and a count for
// each EndpointCount. 8 buckets of 8 s cover the last minute.
constexpr std::size_t kCountBuckets = 8;
constexpr std::uint32_t kBucketSeconds = 8;
constexpr int kEndpointCountBits = 12;
constexpr std::uint64_t kMaxEndpointCount = (1u << kEndpointCountBits) - 1;  // counts saturate here
constexpr std::size_t kCounterSeconds = 64;  // counters are kept per second; covers the last minute
constexpr std::size_t kCounters = 96;        // see counts.h
constexpr std::size_t kMaxClasses = 16;
constexpr std::size_t kClassNameBytes = 32;
constexpr std::size_t kMinRecordBytes = 512 * 1024;
constexpr std::size_t kMaxRecordBytes = 64 * 1024 * 1024;  // a scan, with its pauses, ends within about 2 s

// The positions of all tables. They follow from the size alone, so that a reader can verify them.
struct Layout {
  std::size_t bytes = 0;  // total size, a multiple of 4,096
  // Numbers of slots.
  std::size_t endpoints = 0;
  std::size_t occurrences = 0;
  std::size_t blocks = 0;
  // The start of each table, in words from the start of the file.
  std::size_t endpoint_start = 0;
  std::size_t endpoint_count_start = 0;
  std::size_t total_start = 0;
  std::size_t counter_start = 0;
  std::size_t occurrence_start = 0;
  std::size_t block_start = 0;

  // The layout for `bytes`, clamped to kMinRecordBytes and kMaxRecordBytes and rounded down to whole pages.
  static Layout Of(std::size_t bytes);

  std::size_t BlockWord(std::size_t block) const { return block_start + block * kBlockWords; }
  std::size_t EndpointWord(std::uint32_t number) const {
    return endpoint_start + number % endpoints * kEndpointWords;
  }
  std::size_t EndpointCountWord(std::uint32_t number) const {
    return endpoint_count_start + number % endpoints * kCountBuckets;
  }
};

// The writer of a record, as stated in the header.
struct RecordOrigin {
  std::string name;                  // of the coordinator, truncated to 63 bytes
  std::int64_t started_us = 0;       // by the program's clock, which starts at wall time
  std::vector<std::string> classes;  // at most kMaxClasses, each truncated to 31 bytes
};

// Thrown if a record cannot be created or read; what() names the file and the reason.
class RecordFileError : public std::runtime_error {
 public:
  RecordFileError(const std::string& path, const std::string& problem);
};

class RecordFile {
 public:
  // Allocates the memory and maps all its pages now, so that no page has to be allocated later. Throws
  // RecordFileError.
  static RecordFile InMemory(std::size_t bytes, const RecordOrigin& origin);
  // The same in a file, with its disk space allocated too. An existing file is renamed to PATH.old, since a
  // killed process may have left it. Throws RecordFileError.
  static RecordFile InFile(const std::string& path, std::size_t bytes, const RecordOrigin& origin);
  // Reads a copy of the file of a running or ended program. Throws RecordFileError if the file is not a
  // record, has another version, is truncated, or its header does not match its checksum.
  static RecordFile Open(const std::string& path);

  RecordFile(RecordFile&& other) noexcept;
  RecordFile& operator=(RecordFile&& other) = delete;
  ~RecordFile();

  const Layout& layout() const { return layout_; }
  RecordOrigin ReadOrigin() const;

  std::uint64_t Load(std::size_t word) const {
    return std::atomic_ref<std::uint64_t>(words_[word]).load(std::memory_order_acquire);
  }
  void Store(std::size_t word, std::uint64_t value) {
    std::atomic_ref<std::uint64_t>(words_[word]).store(value, std::memory_order_release);
  }

  // A cell is a run of words guarded by the first one: a sequence number, odd while the cell is being
  // written, and in a file also the checksum of the other words. In memory the sequence number alone reveals
  // every overlapping write.
  void BeginCell(std::size_t cell_word);
  void EndCell(std::size_t cell_word, std::size_t words);
  enum class CellState { kGood, kBusy, kTorn };
  // Copies the cell into `out`. kBusy: it was being written during every attempt; kTorn: the checksum does
  // not match.
  CellState ReadCell(std::size_t cell_word, std::span<std::uint64_t> out) const;

 private:
  RecordFile(std::uint64_t* words, const Layout& layout, bool checksums)
      : words_(words), layout_(layout), checksums_(checksums) {}
  void WriteHeader(const RecordOrigin& origin);
  Layout CheckedLayout(const std::string& path) const;

  std::uint64_t* words_;  // owned, from mmap
  Layout layout_;
  bool checksums_;
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_RECORD_FILE_H_
