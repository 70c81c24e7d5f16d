// What one coordinator is started with, read from the environment or from the operator's file.
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
  std::optional<opensearch::Options> search;  // none: the platform's protocols are served
  dns::ZoneOptions zone;                      // its file is empty where endpoints come from discovery
  std::unique_ptr<IdentityFiles> identity;    // null: all clients are admitted
  bool tls_allowed = false;                   // the platform has no TLS
  std::string passed_socket;  // number of an inherited listener; empty: the coordinator opens its own
};

// The platform's deployment: the configuration that BALANCER_CONFIG names. Throws std::exception with what is
// missing or wrong.
ServeOptions ReadPlatformOptions();
// A deployment with the search API: all of it is in the operator's file. Throws as above.
ServeOptions ReadSearchOptions(const std::string& operator_file);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_SERVE_OPTIONS_H_
