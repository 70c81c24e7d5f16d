// Keeps keys, permissions and TLS files current on a thread of its own, so that a change takes effect within
// a second whatever the other threads wait for: start-up, a signal, a graceful shutdown. Must exist for as
// long as a caller can be accepted.
#ifndef LIFTRUDDER_APP_CREDENTIAL_WATCHER_H_
#define LIFTRUDDER_APP_CREDENTIAL_WATCHER_H_

#include <condition_variable>
#include <mutex>

#include "app/identity_files.h"
#include "app/tls_files.h"
#include "coordinator/interfaces.h"
#include "metrics/metrics.h"
#include "net/socket.h"

namespace liftrudder::app {

// Either is null when the coordinator runs without it.
struct CredentialFiles {
  IdentityFiles* identity = nullptr;
  TlsFiles* tls = nullptr;
  bool Any() const { return identity != nullptr || tls != nullptr; }
};

class CredentialWatcher {
 public:
  // Starts to check the files, which only the watcher may read or poll from then on. All arguments outlive
  // the watcher. Throws StartupError when the system cannot start the thread.
  CredentialWatcher(CredentialFiles files, const coordinator::Clock& clock, metrics::Counters& counters);
  // Waits until a check in progress has ended.
  ~CredentialWatcher();
  CredentialWatcher(const CredentialWatcher&) = delete;
  CredentialWatcher& operator=(const CredentialWatcher&) = delete;

  // Has all files read again, changed or not. Does not wait for it. Any thread.
  void RequestReload();
  // Logs when the files were last checked, and which keys are in force. Any thread.
  void LogState() const;

 private:
  // The watcher's thread.
  void Run();
  // Returns false if the check was cut short by an unexpected error.
  bool Check(bool reload);
  void CountCheck();

  const CredentialFiles files_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;

  std::mutex mutex_;
  std::condition_variable wake_;
  bool reload_requested_ = false;  // guarded by mutex_
  bool stopping_ = false;          // guarded by mutex_
  net::Thread thread_;             // declared last: the thread uses all members above
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_CREDENTIAL_WATCHER_H_
