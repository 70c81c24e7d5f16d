#include "dns/zone_error.h"

#include <fmt/format.h>

#include <utility>

namespace liftrudder::dns {
namespace {

std::string Message(std::size_t line, const std::string& problem, const std::string& value) {
  std::string place = line > 0 ? fmt::format("zone, line {}", line) : "zone";
  return value.empty() ? fmt::format("{}: {}", place, problem)
                       : fmt::format("{}: '{}': {}", place, value, problem);
}

}  // namespace

ZoneError::ZoneError(ZoneErrorCode code, std::size_t line, const std::string& problem, std::string value)
    : std::runtime_error(Message(line, problem, value)), code_(code), line_(line), value_(std::move(value)) {}

}  // namespace liftrudder::dns
