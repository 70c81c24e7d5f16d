// One coordinator process: starts its parts, serves clients until SIGTERM or SIGINT, shuts down gracefully.
// It only assembles the parts; decisions about queries are the coordinator's. All its functions run on the
// main thread.
#ifndef LIFTRUDDER_APP_COORDINATOR_SERVER_H_
#define LIFTRUDDER_APP_COORDINATOR_SERVER_H_

#include <memory>
#include <optional>

#include "app/admin_handler.h"
#include "app/coordinator_runtime.h"
#include "app/credential_watcher.h"
#include "app/reload.h"
#include "app/serve_options.h"
#include "app/signals.h"
#include "app/tls_files.h"
#include "dns/zone_source.h"
#include "net/admin_server.h"
#include "net/server.h"
#include "platform/discovery.h"

namespace liftrudder::app {

// Start-up, in this order; when a step throws, the parts started so far are destroyed in reverse:
//   1. TLS files, and the check that clients are asked for certificates if the permission table uses them;
//   2. the runtime: coordinator, connection pool, decision log (see its header);
//   3. the credential watcher, where keys or TLS are configured; then the admin address, whose health check
//      reports "not serving" until step 7;
//   4. the source of endpoints: a zone file, or the discovery watch;
//   5. the handler of client requests, then the listener;
//   6. a bounded wait for the first endpoint list from discovery; connecting clients wait in the backlog;
//   7. the server, which is ready from here on; the connection budget follows the endpoint list.
// Shutdown:
//   8. the budget and the admin address stop using the server;
//   9. the server drains and closes (graceful_shutdown.h);
//  10. the server, the credential watcher, the handler, the endpoint source and the admin address are
//      destroyed, in that order;
//  11. the runtime stops: coordinator, its thread, the connection pool.
// What runs until when:
//   until SIGTERM                  SIGUSR1; the connection budget; readiness and drains by operators
//   0.7 s longer                   the listener (a passed one ends at SIGTERM), idle client connections
//   the last connection's end      all that requests rely on: checks of keys, permissions and certificates on
//                                  their own thread, SIGHUP, the endpoint source, the coordinator, the
//                                  connection pool, the decision log; figures of the admin address
// A failed start-up or an exception keeps this order: the server ends before what its requests rely on.
class CoordinatorServer {
 public:
  // `signals` outlives the server. Throws StartupError, and what TlsFiles::Open and the runtime throw.
  CoordinatorServer(ServeOptions options, const ControlSignals& signals);

  // Steps 3 to 11; returns when the process can exit. Throws when a start-up step fails.
  void Run();

 private:
  // Steps 3 to 7. The listener opens before step 6, so that clients can already connect.
  void Start();
  void StartCredentialWatcher();
  void OpenAdminAddress();
  void OpenEndpointSource();
  void OpenHandler();
  net::Fd OpenListener() const;
  void AwaitEndpointList();
  void OpenServer(net::Fd listener);

  void ServeUntilTerminated(Reloader& reloader);
  // Steps 8 to 11.
  void ShutDown(Reloader& reloader);

  const ServeOptions options_;
  const ControlSignals& signals_;
  const config::Config& config_;  // in options_
  net::SteadyClock clock_;
  std::unique_ptr<TlsFiles> tls_;
  CoordinatorRuntime runtime_;
  std::optional<CredentialWatcher> credential_watcher_;
  std::optional<AdminHandler> admin_handler_;
  std::optional<net::AdminServer> admin_server_;
  std::optional<platform::DiscoveryWatch> discovery_watch_;
  std::optional<dns::ZoneSource> zone_source_;
  std::unique_ptr<net::Handler> handler_;
  std::optional<net::Server> server_;
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_COORDINATOR_SERVER_H_
