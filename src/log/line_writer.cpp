#include "log/line_writer.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <limits.h>  // NOLINT(modernize-deprecated-headers): PIPE_BUF is POSIX, not in <climits>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>

namespace liftrudder::log {
namespace {

std::string FormatLine(std::string_view level, std::string_view text) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = duration_cast<milliseconds>(now).count();
  return fmt::format("{}.{:03} {} {}\n", ms / 1000, ms % 1000, level, text);
}

std::string LostLinesNotice(std::int64_t lines_lost) {
  return FormatLine("error",
                    fmt::format("{} log lines before this one are lost: the log was full", lines_lost));
}

bool IsWritable(int fd) {
  pollfd polled{fd, POLLOUT, 0};
  return ::poll(&polled, 1, 0) == 1 && (polled.revents & POLLOUT) != 0;
}

// A description of the same pipe or terminal that does not share its flags with other processes; -1 on
// failure.
int OpenNonBlocking(int fd) {
  return ::open(fmt::format("/proc/self/fd/{}", fd).c_str(), O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
}

}  // namespace

LineWriter::LineWriter(int fd) : fd_(fd) {
  struct stat status {};
  if (::fstat(fd, &status) != 0 || S_ISREG(status.st_mode)) return;
  if (S_ISSOCK(status.st_mode)) {
    kind_ = Kind::kSocket;
    return;
  }
  const int own_fd = OpenNonBlocking(fd);
  kind_ = own_fd < 0 ? Kind::kPolled : Kind::kNonBlocking;
  if (own_fd >= 0) fd_ = own_fd;
}

LineWriter::~LineWriter() {
  if (kind_ == Kind::kNonBlocking) ::close(fd_);
}

void LineWriter::Write(std::string_view level, std::string_view text) {
  std::string line = FormatLine(level, text);
  std::lock_guard lock(mutex_);
  remainder_.erase(0, WriteAll(remainder_));
  if (lines_lost_ > 0) line.insert(0, LostLinesNotice(lines_lost_));
  const std::size_t size_written = remainder_.empty() ? WriteAll(line) : 0;
  if (size_written == 0) {
    ++lines_lost_;
    return;
  }
  lines_lost_ = 0;
  remainder_ = line.substr(size_written);
}

std::size_t LineWriter::WriteAll(std::string_view text) const {
  std::size_t size_written = 0;
  while (size_written < text.size()) {
    const std::size_t more = WriteSome(text.substr(size_written));
    if (more == 0) break;
    size_written += more;
  }
  return size_written;
}

std::size_t LineWriter::WriteSome(std::string_view text) const {
  ssize_t size_written = 0;
  switch (kind_) {
    case Kind::kSocket:
      size_written = ::send(fd_, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      break;
    case Kind::kPolled:
      // A writable pipe takes this many bytes at once.
      if (IsWritable(fd_)) {
        size_written = ::write(fd_, text.data(), std::min<std::size_t>(text.size(), PIPE_BUF));
      }
      break;
    case Kind::kFile:
    case Kind::kNonBlocking:
      size_written = ::write(fd_, text.data(), text.size());
      break;
  }
  return static_cast<std::size_t>(std::max<ssize_t>(0, size_written));
}

}  // namespace liftrudder::log
