#include "app/coordinator_runtime.h"

#include <stdexcept>
#include <string>
#include <utility>

#include "log/log.h"
#include "opensearch/endpoint_protocol.h"
#include "platform/frames.h"

namespace liftrudder::app {
namespace {

std::unique_ptr<net::EndpointProtocol> ProtocolFor(const ServeOptions& options) {
  if (options.search) return std::make_unique<opensearch::SearchProtocol>();
  return std::make_unique<platform::FrameProtocol>(options.config.load_names);
}

// HTTP carries one request at a time on a connection; the platform's frames carry several.
net::ConnectionLimits LimitsFor(const ServeOptions& options) {
  const config::Config& config = options.config;
  net::ConnectionLimits limits;
  limits.connect_timeout_us = config.connect_timeout_us;
  limits.idle_close_us = config.idle_close_us;
  limits.streams_per_connection = options.search ? 1 : config.streams_per_connection;
  limits.max_requests_per_call = options.search ? 1 : config.settings.max_requests_per_call;
  limits.max_connections = config.budget.endpoint_connections;
  limits.endpoints = config.budget.endpoints;
  return limits;
}

}  // namespace

CoordinatorRuntime::CoordinatorRuntime(const ServeOptions& options, const coordinator::Clock& clock)
    : config_(options.config),
      clock_(clock),
      figures_(config_.classes),
      coordinator_(config_.settings, config_.seed, clock_, endpoint_registry_, counters_) {
  OpenConnectionPool(options);
  if (config_.decision_log.bytes > 0) StartDecisionLog();
  if (options.zone.file.empty()) {
    auto update = endpoint_registry_.Apply(config_.cached_endpoints, clock_.Now());
    if (update) coordinator_.Post(std::move(*update));
  }
  connection_budget_.emplace(config_, endpoint_registry_, *connection_pool_);
  coordinator_.OnEndpointListChange([this] { connection_budget_->Rebalance(); });
  coordinator_thread_ = net::Thread([this] { coordinator_.Run(); });
  stop_guard_.emplace(coordinator_);
}

void CoordinatorRuntime::Stop() {
  coordinator_.Stop();
  coordinator_thread_.Join();
  connection_pool_.reset();
}

void CoordinatorRuntime::RefreshFigures() {
  figures_.cluster_size.Set(endpoint_registry_.ListedEndpoints());
  figures_.cluster_unhealthy.Set(coordinator_.AvoidedEndpoints());
}

void CoordinatorRuntime::OpenConnectionPool(const ServeOptions& options) {
  protocol_ = ProtocolFor(options);
  connection_pool_ = std::make_unique<net::EndpointConnectionPool>(
      *protocol_, endpoint_registry_, clock_, LimitsFor(options), counters_, figures_,
      [this](coordinator::AttemptResult result) { coordinator_.Post(std::move(result)); });
  coordinator_.Attach(*connection_pool_);
}

void CoordinatorRuntime::StartDecisionLog() {
  OpenRecorder();
  coordinator_.Attach(*recorder_);
  explain_service_.emplace(
      recorder_->record_file(), [this] { coordinator_.RefreshDecisionLog(); },
      [this] { return clock_.Now(); });
}

void CoordinatorRuntime::OpenRecorder() {
  decision_log::RecordOrigin origin{config_.name, clock_.Now(), config_.classes};
  std::string file = config_.decision_log.file;
  try {
    recorder_.emplace(config_.decision_log.bytes, file, origin, config_.seed);
  } catch (const std::runtime_error& error) {
    // Without a writable file the coordinator still serves, and records in memory.
    if (file.empty()) throw;
    log::Error("{}; keeping the decision log in memory", error.what());
    file.clear();
    recorder_.emplace(config_.decision_log.bytes, file, origin, config_.seed);
  }
  log::Info("the decision log has {} bytes{}{}", recorder_->AllocatedBytes(), file.empty() ? "" : ", in ",
            file);
}

}  // namespace liftrudder::app
