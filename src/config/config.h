// What a coordinator is configured with at its start. Reads text and files, and opens nothing else. Plain
// data and functions without state; any thread.
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
  std::size_t bytes = 0;  // claimed at the start; 0: nothing is recorded
  std::string file;       // the record outlives the process there; empty: in memory only
};

struct Config {
  std::string name;
  std::string listen;         // HOST:PORT, as are the next two
  std::string discovery;      // empty: there is none
  std::string admin_address;  // empty: there is none
  std::uint64_t seed = 0;
  routing::Settings settings;
  // Names by index, as the routing settings number them.
  std::vector<std::string> classes;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> load_names;
  routing::Micros connect_timeout_us = 250'000;
  routing::Micros idle_close_us = 30'000'000;
  int streams_per_connection = 100;
  double cores = 1;
  coordinator::EndpointList cached_endpoints;  // of the process before this one; may be outdated
  int descriptors = 1024;                      // less what the admin address takes
  int memory_mb = 192;                         // less what the decision log takes
  Budget budget;                               // for the endpoints known at the start
  DecisionLogOptions decision_log;
};

// Throws ConfigError, SettingsError or EndpointListError.
Config Parse(std::string_view text);
// Adds the address and takes its descriptors off the budget. Does nothing where `address` is empty or the
// configuration names one.
void SetAdminAddress(Config& config, const std::string& address);
// The whole file; throws ConfigError naming the path.
std::string ReadFile(const std::string& path);

}  // namespace liftrudder::config

#endif  // LIFTRUDDER_CONFIG_CONFIG_H_
