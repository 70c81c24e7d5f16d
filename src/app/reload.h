// Reads the operator's files again while the coordinator serves: all of them on SIGHUP, keys and certificates
// also whenever they change. A file that is missing or invalid changes nothing. Main thread only.
#ifndef LIFTRUDDER_APP_RELOAD_H_
#define LIFTRUDDER_APP_RELOAD_H_

#include <string>

#include "app/identity_files.h"
#include "app/tls_files.h"
#include "coordinator/interfaces.h"
#include "metrics/metrics.h"
#include "platform/discovery.h"

namespace liftrudder::app {

// The parts that a reload updates; null when the coordinator runs without one. Owned by the caller.
struct ReloadTargets {
  platform::DiscoveryWatch* discovery_watch = nullptr;
  IdentityFiles* identity = nullptr;
  TlsFiles* tls = nullptr;
};

class Reloader {
 public:
  // `clock` and `counters` outlive the object.
  Reloader(std::string config_path, ReloadTargets targets, const coordinator::Clock& clock,
           metrics::Counters& counters);

  // Reads all files again. Errors are logged, and the current settings are kept.
  void Reload();
  // Whether there are files to poll. If so, PollFiles is to be called every kPollIntervalUs
  // (watched_files.h).
  bool HasWatchedFiles() const { return targets_.identity != nullptr || targets_.tls != nullptr; }
  // Reads again the keys and certificates whose files have changed.
  void PollFiles();
  // Logs when the watched files were last checked, and which keys are in force. Does nothing without such
  // files.
  void LogWatchedFiles() const;

 private:
  void ReloadDiscoveryAddress();
  void CountCheck();

  const std::string config_path_;
  const ReloadTargets targets_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_RELOAD_H_
