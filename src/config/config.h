// The configuration that a coordinator starts with. Reads text and files only. Plain data and functions
// without state; any thread.
#ifndef LIFTRUDDER_CONFIG_CONFIG_H_
#define LIFTRUDDER_CONFIG_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "config/budget.h"
#include "config/config_error.h"
#include "coordinator/endpoint_registry.h"
#include "routing/settings.h"

namespace liftrudder::config {

struct DecisionLogOptions {
  std::size_t bytes = 0;  // allocated at start-up; 0: the decision log is off
  std::string file;       // where the record outlives the process; empty: in memory only
};

struct Config {
  std::string name;
  std::string listen_address;     // HOST:PORT, as are the next two
  std::string discovery_address;  // empty: none
  std::string admin_address;      // empty: none
  std::uint64_t seed = 0;
  routing::Settings settings;
  // Names, by the indices that the routing settings use.
  std::vector<std::string> classes;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> load_names;
  routing::Micros connect_timeout_us = 250'000;
  routing::Micros idle_close_us = 30'000'000;
  int streams_per_connection = 100;
  double cores = 1;
  coordinator::EndpointList cached_endpoints;  // from the previous process; may be outdated
  int descriptors = 1024;                      // without those of the admin server
  int memory_mb = 192;                         // without the decision log
  Budget budget;                               // for the endpoints known at start-up
  DecisionLogOptions decision_log;
};

// Throws ConfigError, SettingsError or EndpointListError.
Config ParseConfig(std::string_view text);
// Sets the admin address and reserves the admin server's descriptors. Does nothing when `address` is empty or
// the configuration already has one.
void SetAdminAddress(Config& config, const std::string& address);
// Returns the content of the file. Throws UnreadableFileError, which names the path and the system's reason.
std::string ReadFile(const std::string& path);

}  // namespace liftrudder::config

#endif  // LIFTRUDDER_CONFIG_CONFIG_H_
