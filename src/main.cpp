// liftrudder: one gatherer. Puts the parts together, serves until SIGTERM, ends when nothing is open.
#include <signal.h>
#include <time.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <exception>
#include <functional>
#include <mutex>
#include <stdexcept>

#include "app/admin_handler.h"
#include "app/explain_command.h"
#include "app/identity_command.h"
#include "app/identity_files.h"
#include "app/tls_files.h"
#include "config/config.h"
#include "coordinator/coordinator.h"
#include "dns/update.h"
#include "limits/watch_timeouts.h"
#include "log/log.h"
#include "metrics/figures.h"
#include "net/admin_server.h"
#include "net/endpoint_connection_pool.h"
#include "net/server.h"
#include "opensearch/endpoint_protocol.h"
#include "opensearch/front.h"
#include "platform/discovery.h"
#include "platform/frames.h"
#include "platform/front.h"

namespace {

namespace lr = liftrudder;

constexpr lr::coordinator::Micros kStillListening = 700'000;  // after SIGTERM
constexpr lr::coordinator::Micros kSlice = 50'000;            // how soon a signal is heard while it is ending

sigset_t Signals() {
  sigset_t set;
  sigemptyset(&set);
  for (int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&set, signal);
  return set;
}

// Until told to end; SIGUSR1 prints the counters, SIGHUP has the configuration read again. Where files are
// watched, `look` is called in between.
void WaitForEnd(const sigset_t& signals, const lr::metrics::Counters& counters,
                const std::function<void()>& reload, const std::function<void()>& look) {
  const timespec pause{0, lr::app::kLookUs * 1000};
  while (true) {
    int signal = look ? sigtimedwait(&signals, nullptr, &pause) : sigwaitinfo(&signals, nullptr);
    if (signal == SIGHUP) reload();
    if (signal == SIGUSR1) lr::log::Info("counters\n{}", counters.Text());
    if (signal == SIGTERM || signal == SIGINT) return;
    if (look) look();
  }
}

// Guards against a file that is being replaced or is wrong: it changes nothing, and what is open goes on.
void Reload(const std::string& path, lr::platform::DiscoveryWatch* watch) try {
  lr::config::Config config = lr::config::Parse(lr::config::ReadFile(path));
  if (watch == nullptr || config.discovery.empty()) return lr::log::Info("reload: no watch to move");
  lr::log::Info("reload: discovery is at {}", config.discovery);
  watch->Move(config.discovery);
} catch (const std::exception& error) {
  lr::log::Error("reload: {}; the old settings stay", error.what());
}

// Guards against a signal that is lost because the end has been told already: what is still served for
// seconds follows discovery to its new address. `over` waits a slice and says whether that was the last.
void HearUntil(const sigset_t& signals, const std::function<void()>& reload,
               const std::function<bool()>& over) {
  const timespec now{0, 0};
  while (!over()) {
    if (sigtimedwait(&signals, nullptr, &now) == SIGHUP) reload();
  }
}

void Pause(lr::coordinator::Micros span) {
  timespec left{span / 1'000'000, (span % 1'000'000) * 1000};
  while (nanosleep(&left, &left) != 0) {
  }
}

lr::net::Fd NeedListener(const std::string& address) {
  lr::net::Fd listener = lr::net::Listen(address);
  if (!listener.Valid()) throw std::runtime_error("cannot listen on " + address);
  return listener;
}

// A file that cannot be had is no reason not to serve: the record is kept in memory then, and that is said.
void StartRecord(const lr::config::Config& config, lr::coordinator::Micros now_us,
                 std::optional<lr::decision_log::Recorder>& recorder) {
  lr::decision_log::About about{config.name, now_us, config.classes};
  std::string file = config.decision_log.file;
  try {
    recorder.emplace(config.decision_log.bytes, file, about, config.seed);
  } catch (const std::runtime_error& error) {
    if (file.empty()) throw;
    lr::log::Error("{}; it is kept in memory", error.what());
    recorder.emplace(config.decision_log.bytes, file = "", about, config.seed);
  }
  lr::log::Info("the record of decisions has {} bytes{}{}", recorder->Claimed(), file.empty() ? "" : ", in ",
                file);
}

// `options` is null on the platform; elsewhere clients and holders are spoken to in the search API.
void Serve(const std::string& path, const lr::config::Config& config, const lr::opensearch::Options* options,
           const lr::dns::ZoneOptions& zone, lr::app::IdentityFiles* identity, bool may_tls,
           const std::string& passed, const sigset_t& signals) {
  lr::metrics::Counters counters;
  lr::metrics::Figures figures(config.classes);
  lr::net::SteadyClock clock;
  std::unique_ptr<lr::app::TlsFiles> tls;
  if (may_tls) tls = lr::app::TlsFiles::Open(path, lr::config::ReadFile(path), clock);
  bool asks_clients = tls != nullptr && !tls->source().Get()->material().client_ca.empty();
  if (identity != nullptr && !asks_clients &&
      !identity->authenticator().permission_table()->tenant_by_certificate.empty())
    throw std::runtime_error("identity: a tenant has [certificates], but [tls] asks no client for one");
  lr::coordinator::EndpointRegistry endpoint_registry;
  lr::coordinator::Coordinator coordinator(config.settings, config.seed, clock, endpoint_registry, counters);
  lr::platform::FrameProtocol frames(config.load_names);
  lr::opensearch::SearchProtocol searches;
  const lr::net::EndpointProtocol& protocol =
      options == nullptr ? static_cast<const lr::net::EndpointProtocol&>(frames) : searches;
  lr::net::ConnectionLimits limits{config.connect_timeout_us,
                                   config.idle_close_us,
                                   options == nullptr ? config.streams_per_connection : 1,
                                   options == nullptr ? config.settings.max_requests_per_call : 1,
                                   config.budget.endpoint_connections,
                                   config.budget.endpoints};
  auto links = std::make_unique<lr::net::EndpointConnectionPool>(
      protocol, endpoint_registry, clock, limits, counters, figures,
      [&coordinator](lr::coordinator::AttemptResult result) { coordinator.Post(std::move(result)); });
  coordinator.Attach(*links);
  std::optional<lr::decision_log::Recorder> recorder;
  std::optional<lr::decision_log::ExplainService> explain_service;
  if (config.decision_log.bytes > 0) {
    StartRecord(config, clock.Now(), recorder);
    coordinator.Attach(*recorder);
    explain_service.emplace(
        recorder->record_file(), [&coordinator] { coordinator.RefreshDecisionLog(); }, [&clock] { return clock.Now(); });
  }
  lr::decision_log::ExplainService* asked = explain_service ? &*explain_service : nullptr;
  if (zone.file.empty()) {
    if (auto update = endpoint_registry.Apply(config.known, clock.Now())) coordinator.Post(std::move(*update));
  }
  // Lists may grow far beyond the one at the start; the descriptors are shared out anew then.
  std::mutex shares;
  lr::net::Server* clients = nullptr;
  int shared_for = config.budget.endpoints;
  auto share = [&] {
    std::lock_guard lock(shares);
    int endpoints = std::max(endpoint_registry.Listed(), config.settings.cells);
    if (clients == nullptr || (endpoints <= shared_for && endpoints >= shared_for / 2)) return;
    shared_for = endpoints;
    lr::config::Budget budget = lr::config::ShareOut(config.sockets, config.memory_mb, endpoints);
    clients->Resize({budget.client_connections, budget.client_requests});
    links->Resize(budget.endpoint_connections, budget.endpoints);
    lr::log::Info("{} holders: room for {} connections of clients and {} to holders", endpoints,
                  budget.client_connections, budget.endpoint_connections);
  };
  coordinator.OnEndpointListChange(share);
  lr::net::Thread core_thread([&coordinator] { coordinator.Run(); });
  // What cannot be had at the start ends the program with its reason: its thread must not be waited for for
  // ever.
  struct Stopper {
    lr::coordinator::Coordinator& coordinator;
    ~Stopper() { coordinator.Stop(); }
  } stopper{coordinator};
  {
    lr::app::AdminHandler admin_handler(figures, [&] {
      figures.cluster_size.Set(endpoint_registry.Listed());
      figures.cluster_unhealthy.Set(coordinator.Avoided());
    });
    std::optional<lr::net::AdminServer> calls;
    if (!config.mgmt.empty()) {
      lr::net::Fd explain_service = NeedListener(config.mgmt);
      lr::log::Info("calls of operators are answered at {}", lr::net::LocalAddress(explain_service));
      calls.emplace(std::move(explain_service), [&admin_handler](const lr::net::HttpMessage& call) {
        return admin_handler.Answer(call);
      });
    }
    std::optional<lr::platform::DiscoveryWatch> watch;
    std::optional<lr::dns::ZoneSource> endpoints;
    if (!zone.file.empty()) {
      lr::net::Fd updates;
      if (!zone.update_listen.empty()) updates = NeedListener(zone.update_listen);
      if (updates.Valid()) lr::log::Info("takes updates at {}", lr::net::LocalAddress(updates));
      endpoints.emplace(lr::dns::ParseZone(lr::config::ReadFile(zone.file)), zone.service, std::move(updates),
                        endpoint_registry, coordinator, clock);
    } else if (!config.discovery.empty()) {
      watch.emplace(config, endpoint_registry, coordinator, clock);
    }
    std::unique_ptr<lr::net::Handler> front;
    if (options == nullptr) {
      front = std::make_unique<lr::platform::Front>(config, coordinator, clock, counters, figures, asked);
    } else {
      front =
          std::make_unique<lr::opensearch::Front>(config, *options, coordinator, clock, counters, asked,
                                                  identity == nullptr ? nullptr : &identity->authenticator());
    }
    lr::net::Fd listener = passed.empty() ? NeedListener(config.listen) : lr::net::Inherit(passed);
    lr::log::Info("room for {} connections of clients, {} with requests, and {} to holders; {} of a core",
                  config.budget.client_connections, config.budget.client_requests,
                  config.budget.endpoint_connections, config.cores);
    lr::log::Info("{} listens on {}", config.name, lr::net::LocalAddress(listener));
    // Who connects meanwhile waits to be taken in.
    if (watch && !endpoint_registry.WaitHeard(lr::limits::WatchTimeoutsOf(config.settings).serve_us))
      lr::log::Info("no holder list from discovery yet; the one known before serves, version {}",
                    endpoint_registry.Version());
    lr::net::Server server(std::move(listener), *front, clock, counters,
                           {config.budget.client_connections, config.budget.client_requests},
                           tls == nullptr ? nullptr : &tls->source());
    {
      std::lock_guard lock(shares);
      clients = &server;
    }
    admin_handler.Attach(&server);
    share();
    std::function<void()> look;
    if (identity != nullptr || tls != nullptr) {
      look = [identity, &tls] {
        if (identity != nullptr) identity->Look();
        if (tls != nullptr) tls->Look();
      };
    }
    auto reload = [&] {
      Reload(path, watch ? &*watch : nullptr);
      if (identity != nullptr) identity->Reload();
      if (tls != nullptr) tls->Reload();
    };
    WaitForEnd(signals, counters, reload, look);
    {
      std::lock_guard lock(shares);
      clients = nullptr;
    }
    admin_handler.Attach(nullptr);
    server.Drain();
    // Another process holds the passed listener too: it takes in who comes now.
    if (!passed.empty()) server.LeaveListener();
    lr::log::Info("told to end; {} queries are open", coordinator.Open());
    lr::coordinator::Micros until = clock.Now() + kStillListening;
    HearUntil(signals, reload, [&] {
      lr::coordinator::Micros left = until - clock.Now();
      if (left > 0) Pause(std::min(left, kSlice));
      return left <= 0;
    });
    server.StopListening();
    HearUntil(signals, reload, [&] { return server.WaitClosed(kSlice); });
  }
  coordinator.Stop();
  core_thread.Join();
  links.reset();
  lr::log::Info("ended\n{}", counters.Text());
}

}  // namespace

int main(int argc, char** argv) try {
  sigset_t signals = Signals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  CLI::App app("A gatherer for lesson search and booking. Without a sub-command it serves.", "liftrudder");
  std::string search_file;
  app.add_option("--opensearch", search_file,
                 "Serve the search API as this file says, in place of the platform");
  std::function<int()> run;
  lr::app::AddExplainCommand(app, run);
  lr::app::AddIdentityCommands(app, run);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : lr::app::kBadUsage;
  }
  if (run) return run();
  if (!search_file.empty()) {
    std::string text = lr::config::ReadFile(search_file);
    lr::config::Config config = lr::config::Parse(text);
    lr::opensearch::Options options = lr::opensearch::ParseOptions(text, config);
    auto identity = lr::app::IdentityFiles::Open(search_file, text);
    Serve(search_file, config, &options, lr::dns::ParseZoneOptions(text), identity.get(), true, "", signals);
    return 0;
  }
  const char* path = std::getenv("BALANCER_CONFIG");
  if (path == nullptr) throw std::runtime_error("BALANCER_CONFIG names no configuration");
  auto variable = [](const char* name) {
    const char* value = std::getenv(name);
    return std::string(value == nullptr ? "" : value);
  };
  lr::config::Config config = lr::config::Parse(lr::config::ReadFile(path));
  lr::config::PlaceMgmt(config, variable("BALANCER_MGMT"));
  Serve(path, config, nullptr, {}, nullptr, false, variable("BALANCER_PASSED_SOCKET"), signals);
  return 0;
} catch (const std::exception& error) {
  lr::log::Error("{}", error.what());
  return 1;
}
