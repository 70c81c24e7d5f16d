// A small logger: one line a call, to standard error.
#ifndef LIFTRUDDER_LOG_LOG_H_
#define LIFTRUDDER_LOG_LOG_H_

#include <fmt/format.h>

#include <string_view>

namespace liftrudder::log {

void Write(std::string_view level, std::string_view text);

template <typename... Args>
void Info(fmt::format_string<Args...> form, Args&&... args) {
  Write("info", fmt::format(form, std::forward<Args>(args)...));
}
template <typename... Args>
void Error(fmt::format_string<Args...> form, Args&&... args) {
  Write("error", fmt::format(form, std::forward<Args>(args)...));
}

}  // namespace liftrudder::log

#endif  // LIFTRUDDER_LOG_LOG_H_
