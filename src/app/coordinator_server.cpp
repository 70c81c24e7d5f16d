#include "app/coordinator_server.h"

#include <fmt/format.h>

#include <string>
#include <utility>

#include "app/graceful_shutdown.h"
#include "app/startup_error.h"
#include "app/watched_files.h"
#include "config/config.h"
#include "dns/zone.h"
#include "limits/shutdown_timeouts.h"
#include "limits/watch_timeouts.h"
#include "log/log.h"
#include "opensearch/front.h"
#include "platform/query_handler.h"

namespace liftrudder::app {
namespace {

net::Fd ListenOrThrow(const std::string& address) {
  net::Fd listener = net::Listen(address);
  if (!listener.Valid()) throw StartupError(fmt::format("cannot listen on {}", address));
  return listener;
}

// Throws when a tenant is identified by a client certificate but TLS does not request one.
void CheckClientCertificatesRequested(IdentityFiles* identity, const TlsFiles* tls) {
  const bool requests_certificates =
      tls != nullptr && !tls->reloadable_context().Get()->config().client_ca.empty();
  if (identity == nullptr || requests_certificates) return;
  if (!identity->authenticator().permission_table()->tenant_by_certificate.empty()) {
    throw StartupError("identity: a tenant has [certificates], but [tls] does not request them from clients");
  }
}

std::unique_ptr<TlsFiles> OpenTls(const ServeOptions& options, const coordinator::Clock& clock) {
  std::unique_ptr<TlsFiles> tls;
  if (options.tls_allowed) {
    tls = TlsFiles::Open(options.config_path, config::ReadFile(options.config_path), clock);
  }
  CheckClientCertificatesRequested(options.identity.get(), tls.get());
  return tls;
}

}  // namespace

CoordinatorServer::CoordinatorServer(ServeOptions options, const ControlSignals& signals)
    : options_(std::move(options)),
      signals_(signals),
      config_(options_.config),
      tls_(OpenTls(options_, clock_)),
      runtime_(options_, clock_) {}

void CoordinatorServer::Run() {
  Start();
  Reloader reloader(options_.config_path, {discovery_watch_ ? &*discovery_watch_ : nullptr,
                                           credential_watcher_ ? &*credential_watcher_ : nullptr});
  ServeUntilTerminated(reloader);
  ShutDown(reloader);
}

void CoordinatorServer::Start() {
  StartCredentialWatcher();
  OpenAdminAddress();
  OpenEndpointSource();
  OpenHandler();
  net::Fd listener = OpenListener();
  AwaitEndpointList();
  OpenServer(std::move(listener));
}

void CoordinatorServer::StartCredentialWatcher() {
  const CredentialFiles files{options_.identity.get(), tls_.get()};
  if (files.Any()) credential_watcher_.emplace(files, clock_, runtime_.counters());
}

void CoordinatorServer::OpenAdminAddress() {
  admin_handler_.emplace(runtime_.figures(), [this] { runtime_.RefreshFigures(); });
  if (config_.admin_address.empty()) return;
  net::Fd listener = ListenOrThrow(config_.admin_address);
  log::Info("admin requests are answered at {}", net::LocalAddress(listener));
  admin_server_.emplace(std::move(listener),
                        [this](const net::HttpMessage& request) { return admin_handler_->Answer(request); });
}

void CoordinatorServer::OpenEndpointSource() {
  const dns::ZoneOptions& zone = options_.zone;
  if (zone.file.empty()) {
    if (!config_.discovery_address.empty()) {
      discovery_watch_.emplace(config_, runtime_.endpoint_registry(), runtime_.coordinator(), clock_);
    }
    return;
  }
  net::Fd updates;
  if (!zone.update_listen.empty()) updates = ListenOrThrow(zone.update_listen);
  if (updates.Valid()) log::Info("accepting DNS updates at {}", net::LocalAddress(updates));
  zone_source_.emplace(dns::ParseZone(config::ReadFile(zone.file)), zone.service, std::move(updates),
                       runtime_.endpoint_registry(), runtime_.coordinator(), clock_);
}

void CoordinatorServer::OpenHandler() {
  if (!options_.search) {
    handler_ =
        std::make_unique<platform::QueryHandler>(config_, runtime_.coordinator(), clock_, runtime_.counters(),
                                                 runtime_.figures(), runtime_.explain_service());
    return;
  }
  identity::Authenticator* authenticator =
      options_.identity == nullptr ? nullptr : &options_.identity->authenticator();
  handler_ =
      std::make_unique<opensearch::Front>(config_, *options_.search, runtime_.coordinator(), clock_,
                                          runtime_.counters(), runtime_.explain_service(), authenticator);
}

net::Fd CoordinatorServer::OpenListener() const {
  net::Fd listener = options_.passed_socket.empty() ? ListenOrThrow(config_.listen_address)
                                                    : net::AdoptListeningSocket(options_.passed_socket);
  log::Info(
      "limits: {} client connections, {} of them with an open request, {} endpoint connections, {} CPU cores",
      config_.budget.client_connections, config_.budget.client_requests, config_.budget.endpoint_connections,
      config_.cores);
  log::Info("{} listens on {}", config_.name, net::LocalAddress(listener));
  return listener;
}

void CoordinatorServer::AwaitEndpointList() {
  if (!discovery_watch_) return;
  const coordinator::Micros timeout_us = limits::WatchTimeoutsOf(config_.settings).first_list_timeout_us;
  if (runtime_.endpoint_registry().WaitUntilUpToDate(timeout_us)) return;
  log::Info("no endpoint list from discovery yet; serving with the cached list, version {}",
            runtime_.endpoint_registry().Version());
}

void CoordinatorServer::OpenServer(net::Fd listener) {
  const net::ServerLimits limits{config_.budget.client_connections, config_.budget.client_requests};
  server_.emplace(std::move(listener), *handler_, clock_, runtime_.counters(), limits,
                  tls_ == nullptr ? nullptr : &tls_->reloadable_context());
  runtime_.connection_budget().Attach(&*server_);
  admin_handler_->Attach(&*server_);
  // The endpoint list may have grown before there was a server to resize.
  runtime_.connection_budget().Rebalance();
}

void CoordinatorServer::ServeUntilTerminated(Reloader& reloader) {
  while (true) {
    const ControlSignal signal =
        reloader.RetryPending() ? signals_.WaitFor(kPollIntervalUs) : signals_.Wait();
    if (signal == ControlSignal::kTerminate) return;
    if (signal == ControlSignal::kReload) reloader.Reload();
    if (signal == ControlSignal::kPrintCounters) log::Info("counters\n{}", runtime_.counters().Text());
    reloader.Retry();
  }
}

void CoordinatorServer::ShutDown(Reloader& reloader) {
  const coordinator::Micros terminated_us = clock_.Now();
  runtime_.connection_budget().Attach(nullptr);
  admin_handler_->Attach(nullptr);
  if (credential_watcher_) credential_watcher_->LogState();
  ShutDownGracefully(*server_, runtime_.coordinator(),
                     {signals_, clock_, reloader, limits::ShutdownTimeoutsOf(config_.settings), terminated_us,
                      !options_.passed_socket.empty()});
  server_.reset();
  if (credential_watcher_) credential_watcher_->LogState();
  credential_watcher_.reset();
  handler_.reset();
  zone_source_.reset();
  discovery_watch_.reset();
  admin_server_.reset();
  admin_handler_.reset();
  runtime_.Stop();
  log::Info("ended\n{}", runtime_.counters().Text());
}

}  // namespace liftrudder::app
