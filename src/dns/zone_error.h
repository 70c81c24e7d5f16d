// What can be wrong with a zone file or the options that name it.
#ifndef LIFTRUDDER_DNS_ZONE_ERROR_H_
#define LIFTRUDDER_DNS_ZONE_ERROR_H_

#include <cstddef>
#include <stdexcept>
#include <string>

namespace liftrudder::dns {

enum class ZoneErrorCode {
  kUnbalancedParenthesis,
  kUnterminatedString,
  kUnsupportedDirective,
  kUnsupportedType,
  kMissingType,
  kFieldCount,  // a record has more or fewer fields than its type requires
  kBadNumber,
  kBadName,
  kBadAddress,
  kStringTooLong,
  kNoSoaRecord,
  kOutsideZone,  // a record's name is not in the zone
  kNotLoopback,  // the address for updates is not loopback
};

// Aborts the start-up; what() has the line and the value at fault.
class ZoneError : public std::runtime_error {
 public:
  // `line` counts from 1; 0 if the error belongs to no single line.
  ZoneError(ZoneErrorCode code, std::size_t line, const std::string& problem, std::string value);

  ZoneErrorCode code() const { return code_; }
  std::size_t line() const { return line_; }
  // The value at fault, as it was written; may be empty.
  const std::string& value() const { return value_; }

 private:
  ZoneErrorCode code_;
  std::size_t line_;
  std::string value_;
};

}  // namespace liftrudder::dns

#endif  // LIFTRUDDER_DNS_ZONE_ERROR_H_
