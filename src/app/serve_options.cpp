#include "app/serve_options.h"

#include <fmt/format.h>

#include <cstdlib>

#include "app/startup_error.h"
#include "app/wire_names.h"

namespace liftrudder::app {
namespace {

std::string EnvironmentOrEmpty(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

}  // namespace

ServeOptions ReadPlatformOptions() {
  const char* path = std::getenv(wire::kConfigVariable);
  if (path == nullptr) throw StartupError(fmt::format("{} is not set", wire::kConfigVariable));
  ServeOptions options;
  options.config_path = path;
  options.config = config::ParseConfig(config::ReadFile(path));
  config::SetAdminAddress(options.config, EnvironmentOrEmpty(wire::kAdminAddressVariable));
  options.passed_socket = EnvironmentOrEmpty(wire::kPassedSocketVariable);
  return options;
}

ServeOptions ReadSearchOptions(const std::string& operator_file) {
  const std::string text = config::ReadFile(operator_file);
  ServeOptions options;
  options.config_path = operator_file;
  options.config = config::ParseConfig(text);
  options.search = opensearch::ParseOptions(text, options.config);
  options.identity = IdentityFiles::Open(operator_file, text);
  options.zone = dns::ParseZoneOptions(text);
  options.tls_allowed = true;
  return options;
}

}  // namespace liftrudder::app
