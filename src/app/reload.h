// Reads the operator's files again on SIGHUP while the coordinator serves. A file that is missing or invalid
// changes nothing. Main thread only.
#ifndef LIFTRUDDER_APP_RELOAD_H_
#define LIFTRUDDER_APP_RELOAD_H_

#include <string>
#include <string_view>

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
  // Whether the operator's file could not be read. If so, Retry is to be called every kPollIntervalUs
  // (watched_files.h).
  bool RetryPending() const { return discovery_address_requested_; }
  // Reads what the last reload could not read. Does nothing unless RetryPending().
  void Retry();

 private:
  void ReadDiscoveryAddress();
  void ApplyDiscoveryAddress(std::string_view text);  // throws config::ConfigError

  const std::string config_path_;
  const ReloadTargets targets_;
  bool discovery_address_requested_ = false;  // by a reload that could not read the operator's file yet
  std::string last_error_;                    // from reading it, already logged; empty on success
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_RELOAD_H_
