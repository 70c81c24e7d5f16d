#include "log/log.h"

#include <unistd.h>

#include "log/line_writer.h"

namespace liftrudder::log {

void Write(std::string_view level, std::string_view text) {
  // Never destroyed: threads may still log while the process exits.
  static LineWriter& standard_error = *new LineWriter(STDERR_FILENO);
  standard_error.Write(level, text);
}

}  // namespace liftrudder::log
