#include "log/log.h"

#include <unistd.h>

#include <chrono>
#include <string>

namespace liftrudder::log {

void Write(std::string_view level, std::string_view text) {
  using std::chrono::duration_cast;
  using std::chrono::milliseconds;
  auto now = std::chrono::system_clock::now().time_since_epoch();
  auto ms = duration_cast<milliseconds>(now).count();
  std::string line = fmt::format("{}.{:03} {} {}\n", ms / 1000, ms % 1000, level, text);
  // A single call, so that lines of different threads do not interleave.
  [[maybe_unused]] ssize_t written = ::write(STDERR_FILENO, line.data(), line.size());
}

}  // namespace liftrudder::log
