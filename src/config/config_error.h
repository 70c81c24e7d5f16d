// What is wrong with something that an operator or the platform configured. Thrown by the readers of
// configuration; stops the start-up, or is logged where a reload keeps what is in use.
#ifndef LIFTRUDDER_CONFIG_CONFIG_ERROR_H_
#define LIFTRUDDER_CONFIG_CONFIG_ERROR_H_

#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace liftrudder::config {

class ConfigError : public std::runtime_error {
 public:
  // Without a single key at fault.
  explicit ConfigError(const std::string& problem) : std::runtime_error(problem) {}
  // `value` as it is written in the file. The text reads "KEY: VALUE PROBLEM".
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

// Which key of the routing settings is missing, of the wrong type, or impossible.
class SettingsError : public ConfigError {
 public:
  using ConfigError::ConfigError;
};

// Which entry of an endpoint list cannot be used, and why.
class EndpointListError : public ConfigError {
 public:
  using ConfigError::ConfigError;
};

}  // namespace liftrudder::config

#endif  // LIFTRUDDER_CONFIG_CONFIG_ERROR_H_
