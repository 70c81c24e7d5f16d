// The process log: each call writes one line to standard error, with the Unix time in seconds and a level. A
// call never waits for a reader of the log; lines that do not fit are dropped and counted
// (log/line_writer.h). No files, rotation or filtering. Thread-safe.
#ifndef LIFTRUDDER_LOG_LOG_H_
#define LIFTRUDDER_LOG_LOG_H_

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace liftrudder::log {

// Writes one line; write errors are ignored.
void Write(std::string_view level, std::string_view text);

template <typename... Args>
void Info(fmt::format_string<Args...> format, Args&&... args) {
  Write("info", fmt::format(format, std::forward<Args>(args)...));
}

template <typename... Args>
void Error(fmt::format_string<Args...> format, Args&&... args) {
  Write("error", fmt::format(format, std::forward<Args>(args)...));
}

}  // namespace liftrudder::log

#endif  // LIFTRUDDER_LOG_LOG_H_
