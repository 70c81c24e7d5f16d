// Reads the operator's files again while the coordinator serves: on SIGHUP all of them, in between those that
// changed. A file that is missing or wrong changes nothing. Main thread only.
#ifndef LIFTRUDDER_APP_RELOAD_H_
#define LIFTRUDDER_APP_RELOAD_H_

#include <string>

#include "app/identity_files.h"
#include "app/tls_files.h"
#include "platform/discovery.h"

namespace liftrudder::app {

// What can change without a restart; each is null where the coordinator has none. Owned by the caller.
struct ReloadTargets {
  platform::DiscoveryWatch* discovery_watch = nullptr;
  IdentityFiles* identity = nullptr;
  TlsFiles* tls = nullptr;
};

class Reloader {
 public:
  Reloader(std::string config_path, ReloadTargets targets);

  // Reads everything again. Errors are logged, and the settings in use stay.
  void Reload();
  // Whether there are files to poll; they are to be polled every kPollIntervalUs (watched_files.h).
  bool HasWatchedFiles() const { return targets_.identity != nullptr || targets_.tls != nullptr; }
  // Reads again the keys and certificates whose files have changed.
  void PollFiles();

 private:
  void MoveDiscovery();

  const std::string config_path_;
  const ReloadTargets targets_;
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_RELOAD_H_
