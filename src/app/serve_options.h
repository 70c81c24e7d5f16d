// The options that a coordinator is started with, read from the environment or from the operator's file.
#ifndef LIFTRUDDER_APP_SERVE_OPTIONS_H_
#define LIFTRUDDER_APP_SERVE_OPTIONS_H_

#include <memory>
#include <optional>
#include <string>

#include "app/identity_files.h"
#include "config/config.h"
#include "dns/zone_source.h"
#include "opensearch/options.h"

namespace liftrudder::app {

struct ServeOptions {
  std::string config_path;
  config::Config config;
  std::optional<opensearch::Options> search;  // nullopt: the platform's protocols are served
  dns::ZoneOptions zone;                      // `file` is empty when endpoints come from discovery
  std::unique_ptr<IdentityFiles> identity;    // null: all clients are admitted
  bool tls_allowed = false;                   // false for the platform, which has no TLS
  std::string passed_socket;  // number of an inherited listener; empty: the coordinator opens its own
};

// The platform's deployment: reads the file that BALANCER_CONFIG names. Throws std::runtime_error that tells
// what is missing or invalid.
ServeOptions ReadPlatformOptions();
// A deployment with the search API: all options are in the operator's file. Throws as above.
ServeOptions ReadSearchOptions(const std::string& operator_file);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_SERVE_OPTIONS_H_
