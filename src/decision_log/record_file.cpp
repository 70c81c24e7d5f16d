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
constexpr std::uint64_t kMagic = 0x0a79685772724c89ULL;  // the bytes 0x89 "LrrWhy\n", little-endian
constexpr int kReadAttempts = 4;                         // of a cell that is being written
constexpr mode_t kFileMode = 0640;

// The header's words.
constexpr std::size_t kMagicWord = 0;
constexpr std::size_t kVersionWord = 1;  // low half: version; high half: bytes of a block
constexpr std::size_t kSizeWord = 2;     // total size in bytes
constexpr std::size_t kStartWord = 3;
constexpr std::size_t kNameWord = 4;
constexpr std::size_t kNameBytes = 64;
constexpr std::size_t kClassesWord = 16;
constexpr std::size_t kHeaderWords = kClassesWord + kMaxClasses * kClassNameBytes / kWordBytes;
constexpr std::size_t kChecksumWord = kHeaderBytes / kWordBytes - 1;
constexpr std::uint64_t kBlockBytes = kBlockWords * kWordBytes;

constexpr std::uint64_t kSequenceMask = 0xffffffff;

std::string ErrnoText(int error) { return std::strerror(error); }

class FileDescriptor {
 public:
  explicit FileDescriptor(int fd) : fd_(fd) {}
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  int fd() const { return fd_; }

 private:
  int fd_;
};

std::uint32_t Checksum(const std::uint64_t* words, std::size_t count) {
  return static_cast<std::uint32_t>(XXH3_64bits(words, count * kWordBytes));
}

// The text in a field of `field_bytes` bytes, the last of which is always 0.
std::string ReadTextField(const char* field, std::size_t field_bytes) {
  return {field, ::strnlen(field, field_bytes - 1)};
}

void WriteTextField(char* field, std::size_t field_bytes, const std::string& text) {
  // NOLINTNEXTLINE(bugprone-not-null-terminated-result): the field's last byte stays 0, as it was mapped.
  std::memcpy(field, text.data(), std::min(text.size(), field_bytes - 1));
}

// Null if the mapping fails.
std::uint64_t* MapMemory(std::size_t bytes, int flags, int fd) {
  void* memory = ::mmap(nullptr, bytes, PROT_READ | PROT_WRITE, flags, fd, 0);
  return memory == MAP_FAILED ? nullptr : static_cast<std::uint64_t*>(memory);
}

void ReadFully(const FileDescriptor& file, const std::string& path, std::uint64_t* words, std::size_t size) {
  std::size_t done = 0;
  while (done < size) {
    ssize_t count =
        ::pread(file.fd(), reinterpret_cast<char*>(words) + done, size - done, static_cast<off_t>(done));
    if (count <= 0) {
      throw RecordFileError(path,
                            "the read failed or the file was truncated, at byte " + std::to_string(done));
    }
    done += static_cast<std::size_t>(count);
  }
}

}  // namespace

RecordFileError::RecordFileError(const std::string& path, const std::string& problem)
    : std::runtime_error(path.empty() ? "decision log: " + problem
                                      : fmt::format("record file {}: {}", path, problem)) {}

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
  if (words == nullptr) throw RecordFileError("", fmt::format("cannot allocate {} bytes", layout.bytes));
  RecordFile record_file(words, layout, false);
  record_file.WriteHeader(origin);
  return record_file;
}

RecordFile RecordFile::InFile(const std::string& path, std::size_t bytes, const RecordOrigin& origin) {
  Layout layout = Layout::Of(bytes);
  std::string old_path = path + ".old";
  if (::rename(path.c_str(), old_path.c_str()) != 0 && errno != ENOENT) {
    throw RecordFileError(path, fmt::format("cannot be renamed to {}: {}", old_path, ErrnoText(errno)));
  }
  FileDescriptor file(::open(path.c_str(), O_RDWR | O_CREAT | O_EXCL | O_CLOEXEC, kFileMode));
  if (file.fd() < 0) throw RecordFileError(path, "cannot be created: " + ErrnoText(errno));
  // Allocates the disk space now: a write to a mapped page without disk space would raise SIGBUS.
  if (int error = ::posix_fallocate(file.fd(), 0, static_cast<off_t>(layout.bytes)); error != 0) {
    ::unlink(path.c_str());
    throw RecordFileError(
        path, fmt::format("cannot allocate {} bytes of disk space: {}", layout.bytes, ErrnoText(error)));
  }
  std::uint64_t* words = MapMemory(layout.bytes, MAP_SHARED | MAP_POPULATE, file.fd());
  if (words == nullptr) throw RecordFileError(path, "cannot be mapped: " + ErrnoText(errno));
  RecordFile record_file(words, layout, true);
  record_file.WriteHeader(origin);
  return record_file;
}

RecordFile RecordFile::Open(const std::string& path) {
  FileDescriptor file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (file.fd() < 0) throw RecordFileError(path, "cannot be opened: " + ErrnoText(errno));
  struct stat st {};
  if (::fstat(file.fd(), &st) != 0 || !S_ISREG(st.st_mode)) throw RecordFileError(path, "not a regular file");
  auto size = static_cast<std::size_t>(st.st_size);
  if (size < kHeaderBytes) {
    throw RecordFileError(
        path, fmt::format("truncated: {} bytes, but the header alone has {} bytes", size, kHeaderBytes));
  }
  // Reads a copy instead of mapping the file: if the file shrank while mapped, a read would kill the program.
  std::uint64_t* words = MapMemory(size, MAP_PRIVATE | MAP_ANONYMOUS, -1);
  if (words == nullptr) throw RecordFileError(path, "not enough memory to read it");
  Layout unchecked;
  unchecked.bytes = size;
  RecordFile record_file(words, unchecked, true);
  ReadFully(file, path, words, size);
  record_file.layout_ = record_file.CheckedLayout(path);
  return record_file;
}

// Validates the header and returns the layout that it states. layout_.bytes is the size of the file. Throws
// RecordFileError.
Layout RecordFile::CheckedLayout(const std::string& path) const {
  const std::size_t size = layout_.bytes;
  const std::uint64_t stated_size = words_[kSizeWord];
  if (words_[kMagicWord] != kMagic) {
    throw RecordFileError(path, "not a decision log (the magic number does not match)");
  }
  auto version = static_cast<std::uint32_t>(words_[kVersionWord]);
  if (version != kFormatVersion) {
    throw RecordFileError(
        path, fmt::format("format version {}; this program reads version {}", version, kFormatVersion));
  }
  if (stated_size > size) {
    throw RecordFileError(path, fmt::format("truncated: {} of {} bytes", size, stated_size));
  }
  if (Checksum(words_, kHeaderWords) != words_[kChecksumWord]) {
    throw RecordFileError(path, "the header does not match its checksum");
  }
  Layout layout = Layout::Of(stated_size);
  if (stated_size != size || layout.bytes != size || words_[kVersionWord] >> 32 != kBlockBytes) {
    throw RecordFileError(path,
                          fmt::format("wrong size: {} bytes, but the header states {}", size, stated_size));
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
  WriteTextField(bytes + kNameWord * kWordBytes, kNameBytes, origin.name);
  for (std::size_t i = 0; i < std::min(origin.classes.size(), kMaxClasses); ++i) {
    WriteTextField(bytes + kClassesWord * kWordBytes + i * kClassNameBytes, kClassNameBytes,
                   origin.classes[i]);
  }
  words_[kMagicWord] = kMagic;
  words_[kChecksumWord] = Checksum(words_, kHeaderWords);
}

RecordOrigin RecordFile::ReadOrigin() const {
  const char* bytes = reinterpret_cast<const char*>(words_);
  RecordOrigin out;
  out.started_us = static_cast<std::int64_t>(words_[kStartWord]);
  out.name = ReadTextField(bytes + kNameWord * kWordBytes, kNameBytes);
  for (std::size_t i = 0; i < kMaxClasses; ++i) {
    std::string name =
        ReadTextField(bytes + kClassesWord * kWordBytes + i * kClassNameBytes, kClassNameBytes);
    if (name.empty()) break;
    out.classes.push_back(std::move(name));
  }
  return out;
}

void RecordFile::BeginCell(std::size_t cell_word) {
  // Each later word is stored with release order, so that a reader that acquires it also sees this store.
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
    bool checksum_matches = !checksums_ || Checksum(out.data() + 1, out.size() - 1) == before >> 32;
    return checksum_matches ? CellState::kGood : CellState::kTorn;
  }
  return CellState::kBusy;
}

}  // namespace liftrudder::decision_log
