// Errors in what an operator or the platform configured. Thrown by the readers of configuration and endpoint
// lists. During start-up they end the program; later they are logged, and what is in use is kept.
#ifndef LIFTRUDDER_CONFIG_CONFIG_ERROR_H_
#define LIFTRUDDER_CONFIG_CONFIG_ERROR_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace liftrudder::config {

class ConfigError : public std::runtime_error {
 public:
  // For an error that is not in a single key.
  explicit ConfigError(const std::string& problem) : std::runtime_error(problem) {}
  // `value` as written in the file. The text reads "KEY: VALUE PROBLEM".
  ConfigError(std::string key, std::string value, std::string_view problem)
      : std::runtime_error(key + ": " + value + " " + std::string(problem)),
        key_(std::move(key)),
        value_(std::move(value)) {}

  const std::string& key() const { return key_; }
  const std::string& value() const { return value_; }

 private:
  std::string key_;
  std::string value_;
};

// A file could not be read, so nothing is known about its content; a later attempt may succeed.
class UnreadableFileError : public ConfigError {
 public:
  using ConfigError::ConfigError;
};

// A key of the routing settings is missing, of the wrong type, or out of range.
class SettingsError : public ConfigError {
 public:
  using ConfigError::ConfigError;
};

// An endpoint list, or an entry of it, is malformed.
class EndpointListError : public ConfigError {
 public:
  using ConfigError::ConfigError;
};

}  // namespace liftrudder::config

#endif  // LIFTRUDDER_CONFIG_CONFIG_ERROR_H_
