#include "decision_log/record_file.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace liftrudder::decision_log {
namespace {

constexpr std::size_t kPageBytes = 4096;
constexpr std::size_t kWordBytes = 8;
constexpr std::uint64_t kMagic = 0x0a79685772724c89ULL;  // 0x89 "Lrr" "Why" and a newline, least first
constexpr int kReadAttempts = 4;                         // at a cell that is being written
constexpr mode_t kFileMode = 0640;

// The header's words.
constexpr std::size_t kMagicWord = 0;
constexpr std::size_t kVersionWord = 1;  // low half: version; high half: bytes of a block
constexpr std::size_t kSizeWord = 2;     // bytes of the whole
constexpr std::size_t kStartWord = 3;
constexpr std::size_t kNameWord = 4;
constexpr std::size_t kNameBytes = 64;
constexpr std::size_t kClassesWord = 16;
constexpr std::size_t kHeaderWords = kClassesWord + kMaxClasses * kClassNameBytes / kWordBytes;
constexpr std::size_t kChecksumWord = kHeaderBytes / kWordBytes - 1;
constexpr std::uint64_t kBlockBytes = kBlockWords * kWordBytes;

constexpr std::uint64_t kSequenceMask = 0xffffffff;

std::string ErrnoText(int error) { return std::strerror(error); }

class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  int fd() const { return fd_; }

 private:
  int fd_;
};

std::uint32_t Checksum(const std::uint64_t* words, std::size_t count) {
  return static_cast<std::uint32_t>(XXH3_64bits(words, count * kWordBytes));
}

// Text in a field of so many bytes, the last of which is always 0.
std::string TextIn(const char* field, std::size_t field_bytes) {
  return {field, ::strnlen(field, field_bytes - 1)};
}

void PutTextIn(char* field, std::size_t field_bytes, const std::string& text) {
  // NOLINTNEXTLINE(bugprone-not-null-terminated-result): the field's last byte stays 0, as it was mapped.
  std::memcpy(field, text.data(), std::min(text.size(), field_bytes - 1));
}

// Null where there is no memory.
std::uint64_t* MapMemory(std::size_t bytes, int flags, int fd) {
  void* memory = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, flags, fd, 0);
  return memory == MAP_FAILED ? nullptr : static_cast<std::uint64_t*>(memory);
}

void ReadWhole(const Descriptor& file, const std::string& path, std::uint64_t* words, std::size_t size) {
  std::size_t done = 0;
  while (done < size) {
    ssize_t count =
        ::pread(file.fd(), reinterpret_cast<char*>(words) + done, size - done, static_cast<off_t>(done));
    if (count <= 0) {
      throw RecordFileError(path, "cut short while it was read, at byte " + std::to_string(done));
    }
    done += static_cast<std::size_t>(count);
  }
}

}  // namespace

RecordFileError::RecordFileError(const std::string& path, const std::string& problem)
    : std::runtime_error(path.empty() ? "record: " + problem : fmt::format("record {}: {}", path, problem)) {}

Layout Layout::Of(std::size_t bytes) {
  constexpr std::size_t kBytesPerOccurrence = 128;
  Layout out;
  out.bytes = std::clamp(bytes, kMinRecordBytes, kMaxRecordBytes) / kPageBytes * kPageBytes;
  out.endpoints = kMaxEndpoints;
  out.occurrences = out.bytes / kBytesPerOccurrence;
  std::size_t next_word = kHeaderBytes / kWordBytes;
  auto take = [&next_word](std::size_t words) { return std::exchange(next_word, next_word + words); };
  out.endpoint_start = take(out.endpoints * kEndpointWords);
  out.endpoint_count_start = take(out.endpoints * kCountBuckets);
  out.total_start = take(kCounters);
  out.counter_start = take(kCounterSeconds * kCounters);
  out.occurrence_start = take(out.occurrences * 2);
  out.block_start = next_word;
  out.blocks = (out.bytes / kWordBytes - out.block_start) / kBlockWords;
  return out;
}

RecordFile RecordFile::InMemory(std::size_t bytes, const RecordOrigin& origin) {
  Layout layout = Layout::Of(bytes);
  std::uint64_t* words = MapMemory(layout.bytes, MAP_PRIVATE | MAP_ANONYMOUS | MAP_POPULATE, -1);
  if (words == nullptr) throw RecordFileError("", fmt::format("no memory for {} bytes", layout.bytes));
  RecordFile record_file(words, layout, false);
  record_file.WriteHeader(origin);
  return record_file;
}

RecordFile RecordFile::InFile(const std::string& path, std::size_t bytes, const RecordOrigin& origin) {
  Layout layout = Layout::Of(bytes);
  std::string old = path + ".old";
  if (::rename(path.c_str(), old.c_str()) != 0 && errno != ENOENT) {
    throw RecordFileError(path, fmt::format("cannot be kept as {}: {}", old, ErrnoText(errno)));
  }
  Descriptor file(::open(path.c_str(), O_RDWR | O_CREAT | O_EXCL | O_CLOEXEC, kFileMode));
  if (file.fd() < 0) throw RecordFileError(path, "cannot be made: " + ErrnoText(errno));
  // Claimed on the disk now: writing to a mapped page without space there would end the program.
  if (int error = ::posix_fallocate(file.fd(), 0, static_cast<off_t>(layout.bytes)); error != 0) {
    ::unlink(path.c_str());
    throw RecordFileError(path, fmt::format("no room for {} bytes: {}", layout.bytes, ErrnoText(error)));
  }
  std::uint64_t* words = MapMemory(layout.bytes, MAP_SHARED | MAP_POPULATE, file.fd());
  if (words == nullptr) throw RecordFileError(path, "cannot be mapped: " + ErrnoText(errno));
  RecordFile record_file(words, layout, true);
  record_file.WriteHeader(origin);
  return record_file;
}

RecordFile RecordFile::Open(const std::string& path) {
  Descriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.fd() < 0) throw RecordFileError(path, "cannot be opened: " + ErrnoText(errno));
  struct stat status {};
  if (::fstat(file.fd(), &status) != 0 || !S_ISREG(status.st_mode)) throw RecordFileError(path, "not a file");
  auto size = static_cast<std::size_t>(status.st_size);
  if (size < kHeaderBytes) {
    throw RecordFileError(
        path, fmt::format("cut short: {} bytes, and the header alone has {}", size, kHeaderBytes));
  }
  // A copy, not a mapping: a file that shrinks while it is read must not end this program.
  std::uint64_t* words = MapMemory(size, MAP_PRIVATE | MAP_ANONYMOUS, -1);
  if (words == nullptr) throw RecordFileError(path, "no memory to read it");
  Layout unchecked;
  unchecked.bytes = size;
  RecordFile record_file(words, unchecked, true);
  ReadWhole(file, path, words, size);
  record_file.layout_ = record_file.CheckedLayout(path);
  return record_file;
}

// The layout that the header gives, once the header is known to be a record's; layout_.bytes is the file's
// size. Throws RecordFileError.
Layout RecordFile::CheckedLayout(const std::string& path) const {
  const std::size_t size = layout_.bytes;
  const std::uint64_t stated_size = words_[kSizeWord];
  if (words_[kMagicWord] != kMagic) {
    throw RecordFileError(path, "not a record of decisions (its first bytes are others)");
  }
  auto version = static_cast<std::uint32_t>(words_[kVersionWord]);
  if (version != kFormatVersion) {
    throw RecordFileError(
        path, fmt::format("of version {}; this program reads version {}", version, kFormatVersion));
  }
  if (stated_size > size) {
    throw RecordFileError(path, fmt::format("cut short: {} of {} bytes", size, stated_size));
  }
  if (Checksum(words_, kHeaderWords) != words_[kChecksumWord]) {
    throw RecordFileError(path, "its header does not fit its checksum");
  }
  Layout layout = Layout::Of(stated_size);
  if (stated_size != size || layout.bytes != size || words_[kVersionWord] >> 32 != kBlockBytes) {
    throw RecordFileError(path,
                          fmt::format("of another size: {} bytes, its header says {}", size, stated_size));
  }
  return layout;
}

RecordFile::RecordFile(RecordFile&& other) noexcept
    : words_(std::exchange(other.words_, nullptr)), layout_(other.layout_), checksums_(other.checksums_) {}

RecordFile::~RecordFile() {
  if (words_ != nullptr) ::munmap(words_, layout_.bytes);
}

void RecordFile::WriteHeader(const RecordOrigin& origin) {
  char* bytes = reinterpret_cast<char*>(words_);
  words_[kVersionWord] = kBlockBytes << 32 | kFormatVersion;
  words_[kSizeWord] = layout_.bytes;
  words_[kStartWord] = static_cast<std::uint64_t>(origin.started_us);
  PutTextIn(bytes + kNameWord * kWordBytes, kNameBytes, origin.name);
  for (std::size_t i = 0; i < std::min(origin.classes.size(), kMaxClasses); ++i) {
    PutTextIn(bytes + kClassesWord * kWordBytes + i * kClassNameBytes, kClassNameBytes, origin.classes[i]);
  }
  words_[kMagicWord] = kMagic;
  words_[kChecksumWord] = Checksum(words_, kHeaderWords);
}

RecordOrigin RecordFile::ReadOrigin() const {
  const char* bytes = reinterpret_cast<const char*>(words_);
  RecordOrigin out;
  out.started_us = static_cast<std::int64_t>(words_[kStartWord]);
  out.name = TextIn(bytes + kNameWord * kWordBytes, kNameBytes);
  for (std::size_t i = 0; i < kMaxClasses; ++i) {
    std::string name = TextIn(bytes + kClassesWord * kWordBytes + i * kClassNameBytes, kClassNameBytes);
    if (name.empty()) break;
    out.classes.push_back(std::move(name));
  }
  return out;
}

void RecordFile::BeginCell(std::size_t cell_word) {
  // The release of each word that follows keeps it behind this one for whoever acquires it.
  Store(cell_word, (Load(cell_word) & kSequenceMask) | 1);
}

void RecordFile::EndCell(std::size_t cell_word, std::size_t words) {
  std::uint64_t sequence = (Load(cell_word) & kSequenceMask) + 1;
  // Only the writer writes, so it may read its own words without atomics.
  std::uint64_t checksum = checksums_ ? Checksum(words_ + cell_word + 1, words - 1) : 0;
  Store(cell_word, checksum << 32 | (sequence & kSequenceMask));
}

RecordFile::CellState RecordFile::ReadCell(std::size_t cell_word, std::span<std::uint64_t> out) const {
  for (int attempt = 0; attempt < kReadAttempts; ++attempt) {
    std::uint64_t before = Load(cell_word);
    if ((before & 1) != 0) continue;
    out[0] = before;
    for (std::size_t i = 1; i < out.size(); ++i) out[i] = Load(cell_word + i);
    if (Load(cell_word) != before) continue;
    bool fits = !checksums_ || Checksum(out.data() + 1, out.size() - 1) == before >> 32;
    return fits ? CellState::kGood : CellState::kTorn;
  }
  return CellState::kBusy;
}

}  // namespace liftrudder::decision_log
