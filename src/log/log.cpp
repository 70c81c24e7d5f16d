#include "log/log.h"

#include <unistd.h>

#include <chrono>
#include <string>

namespace liftrudder::log {

void Write(std::string_view level, std::string_view text) {
  using namespace std::chrono;
  auto ms = duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
  std::string line = fmt::format("{}.{:03} {} {}\n", ms / 1000, ms % 1000, level, text);
  // One write, so that lines of several threads do not mix; a log that cannot be written is no reason to
  // stop.
  [[maybe_unused]] ssize_t written = ::write(STDERR_FILENO, line.data(), line.size());
}

}  // namespace liftrudder::log
