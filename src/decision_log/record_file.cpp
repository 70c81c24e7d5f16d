#include "decision_log/record_file.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace liftrudder::decision_log {
namespace {

constexpr std::size_t kPage = 4096;
constexpr std::uint64_t kMagic = 0x0a79685772724c89ULL;  // 0x89 "Lrr" "Why" and a newline, least first
constexpr int kTurns = 4;                                // tries at a cell that is being written

// The head's words: magic, version and block size, size of the whole, start, name, classes, checksum.
constexpr std::size_t kCanary = 3, kHeadName = 4, kNameBytes = 64, kHeadClasses = 16;
constexpr std::size_t kHeadUsed = kHeadClasses + kMostClasses * kClassName / 8;
constexpr std::size_t kHeadSum = kHeaderBytes / 8 - 1;

[[noreturn]] void Bad(const std::string& path, const std::string& what) {
  throw std::runtime_error("record " + path + ": " + what);
}

struct Descriptor {
  int fd;
  ~Descriptor() {
    if (fd >= 0) ::close(fd);
  }
};

std::uint32_t Sum(const std::uint64_t* words, std::size_t count) {
  return static_cast<std::uint32_t>(XXH3_64bits(words, count * 8));
}

std::string Cut(const char* text, std::size_t most) { return {text, ::strnlen(text, most - 1)}; }

}  // namespace

Layout Layout::Of(std::size_t bytes) {
  Layout out;
  out.bytes = std::clamp(bytes, kLeastBytes, kMostBytes) / kPage * kPage;
  out.endpoints = kMaxEndpoints;
  out.seen = out.bytes / 8 / 16;
  std::size_t at = kHeaderBytes / 8;
  auto take = [&at](std::size_t words) { return std::exchange(at, at + words); };
  out.endpoint_at = take(out.endpoints * kEndpointWords);
  out.endpoint_count_at = take(out.endpoints * kEndpointCounts);
  out.total_at = take(kTallies);
  out.tally_at = take(kSeconds * kTallies);
  out.seen_at = take(out.seen * 2);
  out.block_at = at;
  out.blocks = (out.bytes / 8 - at) / kBlockWords;
  return out;
}

RecordFile RecordFile::InMemory(std::size_t bytes, const About& about) {
  Layout layout = Layout::Of(bytes);
  void* memory = ::mmap(nullptr, layout.bytes, PROT_READ | PROT_WRITE,
                        MAP_PRIVATE | MAP_ANONYMOUS | MAP_POPULATE, -1, 0);
  if (memory == MAP_FAILED)
    throw std::runtime_error("record: no memory for " + std::to_string(layout.bytes) + " bytes");
  RecordFile record_file(static_cast<std::uint64_t*>(memory), layout, false);
  record_file.WriteHead(about);
  return record_file;
}

RecordFile RecordFile::InFile(const std::string& path, std::size_t bytes, const About& about) {
  Layout layout = Layout::Of(bytes);
  std::string old = path + ".old";
  if (::rename(path.c_str(), old.c_str()) != 0 && errno != ENOENT)
    Bad(path, "cannot be kept as " + old + ": " + std::strerror(errno));
  Descriptor file{::open(path.c_str(), O_RDWR | O_CREAT | O_EXCL | O_CLOEXEC, 0640)};
  if (file.fd < 0) Bad(path, std::string("cannot be made: ") + std::strerror(errno));
  // Claimed on the disk now: a mapped page without room there would end the program when it is first written.
  if (int error = ::posix_fallocate(file.fd, 0, static_cast<off_t>(layout.bytes)); error != 0) {
    ::unlink(path.c_str());
    Bad(path, "no room for " + std::to_string(layout.bytes) + " bytes: " + std::strerror(error));
  }
  void* memory = ::mmap(nullptr, layout.bytes, PROT_READ | PROT_WRITE, MAP_SHARED | MAP_POPULATE, file.fd, 0);
  if (memory == MAP_FAILED) Bad(path, std::string("cannot be mapped: ") + std::strerror(errno));
  RecordFile record_file(static_cast<std::uint64_t*>(memory), layout, true);
  record_file.WriteHead(about);
  return record_file;
}

RecordFile RecordFile::Open(const std::string& path) {
  Descriptor file{::open(path.c_str(), O_RDONLY | O_CLOEXEC)};
  if (file.fd < 0) Bad(path, std::string("cannot be opened: ") + std::strerror(errno));
  struct stat about {};
  if (::fstat(file.fd, &about) != 0 || !S_ISREG(about.st_mode)) Bad(path, "not a file");
  auto size = static_cast<std::size_t>(about.st_size);
  if (size < kHeaderBytes)
    Bad(path, "cut short: " + std::to_string(size) + " bytes, and the head alone has " +
                  std::to_string(kHeaderBytes));
  // A copy, not a map: a file that shrinks while it is read must not end this program.
  void* memory = ::mmap(nullptr, size, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
  if (memory == MAP_FAILED) Bad(path, "no memory to read it");
  Layout whole;
  whole.bytes = size;
  RecordFile pending(static_cast<std::uint64_t*>(memory), whole, true);
  for (std::size_t got = 0; got < size;) {
    ssize_t more = ::pread(file.fd, static_cast<char*>(memory) + got, size - got, static_cast<off_t>(got));
    if (more <= 0) Bad(path, "cut short while it was read, at byte " + std::to_string(got));
    got += static_cast<std::size_t>(more);
  }
  const std::uint64_t* words = pending.words_;
  if (words[0] != kMagic) Bad(path, "not a record of decisions (its first bytes are others)");
  auto version = static_cast<std::uint32_t>(words[1]);
  if (version != kFormatVersion)
    Bad(path, "of version " + std::to_string(version) + "; this program reads version " +
                  std::to_string(kFormatVersion));
  if (words[2] > size)
    Bad(path, "cut short: " + std::to_string(size) + " of " + std::to_string(words[2]) + " bytes");
  if (Sum(words, kHeadUsed) != words[kHeadSum]) Bad(path, "its head does not fit its checksum");
  Layout layout = Layout::Of(words[2]);
  if (words[2] != size || layout.bytes != size || words[1] >> 32 != kBlockWords * 8)
    Bad(path,
        "of another size: " + std::to_string(size) + " bytes, its head says " + std::to_string(words[2]));
  pending.layout_ = layout;
  return pending;
}

RecordFile::RecordFile(RecordFile&& other) noexcept
    : words_(std::exchange(other.words_, nullptr)), layout_(other.layout_), summed_(other.summed_) {}

RecordFile::~RecordFile() {
  if (words_ != nullptr) ::munmap(words_, layout_.bytes);
}

void RecordFile::WriteHead(const About& about) {
  char* bytes = reinterpret_cast<char*>(words_);
  words_[1] = std::uint64_t{kBlockWords * 8} << 32 | kFormatVersion;
  words_[2] = layout_.bytes;
  words_[kCanary] = static_cast<std::uint64_t>(about.started_us);
  std::memcpy(bytes + kHeadName * 8, about.name.data(), std::min(about.name.size(), kNameBytes - 1));
  for (std::size_t i = 0; i < std::min(about.classes.size(), kMostClasses); ++i) {
    std::memcpy(bytes + kHeadClasses * 8 + i * kClassName, about.classes[i].data(),
                std::min(about.classes[i].size(), kClassName - 1));
  }
  words_[0] = kMagic;
  words_[kHeadSum] = Sum(words_, kHeadUsed);
}

About RecordFile::ReadAbout() const {
  const char* bytes = reinterpret_cast<const char*>(words_);
  About out;
  out.started_us = static_cast<std::int64_t>(words_[kCanary]);
  out.name = Cut(bytes + kHeadName * 8, kNameBytes);
  for (std::size_t i = 0; i < kMostClasses; ++i) {
    std::string name = Cut(bytes + kHeadClasses * 8 + i * kClassName, kClassName);
    if (name.empty()) break;
    out.classes.push_back(std::move(name));
  }
  return out;
}

void RecordFile::BeginCell(std::size_t at) {
  // The release of each word that follows keeps it behind this one for whoever acquires it.
  Store(at, (Load(at) & 0xffffffff) | 1);
}

void RecordFile::EndCell(std::size_t at, std::size_t words) {
  std::uint64_t sequence = (Load(at) & 0xffffffff) + 1;
  // Only the writer writes, so it may read its own words plainly.
  std::uint64_t sum = summed_ ? Sum(words_ + at + 1, words - 1) : 0;
  Store(at, sum << 32 | (sequence & 0xffffffff));
}

RecordFile::Cell RecordFile::ReadCell(std::size_t at, std::span<std::uint64_t> out) const {
  for (int turn = 0; turn < kTurns; ++turn) {
    std::uint64_t before = Load(at);
    if ((before & 1) != 0) continue;
    out[0] = before;
    for (std::size_t i = 1; i < out.size(); ++i) out[i] = Load(at + i);
    if (Load(at) != before) continue;
    bool fits = !summed_ || Sum(out.data() + 1, out.size() - 1) == before >> 32;
    return fits ? Cell::kGood : Cell::kTorn;
  }
  return Cell::kBusy;
}

}  // namespace liftrudder::decision_log
