// Writes log lines to a descriptor without waiting for its reader: a line that does not fit into a full pipe,
// socket or terminal is dropped and counted. Thread-safe.
#ifndef LIFTRUDDER_LOG_LINE_WRITER_H_
#define LIFTRUDDER_LOG_LINE_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace liftrudder::log {

class LineWriter {
 public:
  // `fd` stays open for the lifetime of the writer, which does not own it. Its flags, which other processes
  // may share, are left as they are.
  explicit LineWriter(int fd);
  ~LineWriter();
  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  // Writes one line, to which it adds the time and the line feed. The first line after dropped ones is
  // preceded by one that has their number.
  void Write(std::string_view level, std::string_view text);

 private:
  enum class Kind {
    kFile,         // a write does not depend on a reader
    kSocket,       // each send can be made not to wait
    kNonBlocking,  // fd_ is a non-blocking description of its own
    kPolled,       // no such description could be opened: fd_ is polled before each write
  };

  // These return how many bytes were written, and need mutex_ to be held. WriteAll stops only at a full
  // buffer.
  std::size_t WriteAll(std::string_view text) const;
  std::size_t WriteSome(std::string_view text) const;

  int fd_;
  Kind kind_ = Kind::kFile;
  std::mutex mutex_;             // guards all members below
  std::string remainder_;        // of a line that was written in part
  std::int64_t lines_lost_ = 0;  // since the last line that was written
};

}  // namespace liftrudder::log

#endif  // LIFTRUDDER_LOG_LINE_WRITER_H_
