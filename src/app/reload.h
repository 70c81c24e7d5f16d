// Reads the operator's files again on SIGHUP while the coordinator serves. A file that is missing or invalid
// changes nothing. Main thread only.
#ifndef LIFTRUDDER_APP_RELOAD_H_
#define LIFTRUDDER_APP_RELOAD_H_

#include <string>

#include "app/credential_watcher.h"
#include "platform/discovery.h"

namespace liftrudder::app {

// The parts that a reload updates; null when the coordinator runs without one. Owned by the caller.
struct ReloadTargets {
  platform::DiscoveryWatch* discovery_watch = nullptr;
  CredentialWatcher* credential_watcher = nullptr;
};

class Reloader {
 public:
  Reloader(std::string config_path, ReloadTargets targets);

  // Reads the discovery address again, and has the credential watcher read its files. Errors are logged, and
  // the current settings are kept.
  void Reload();

 private:
  void ReloadDiscoveryAddress();

  const std::string config_path_;
  const ReloadTargets targets_;
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_RELOAD_H_
