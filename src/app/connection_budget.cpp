#include "app/connection_budget.h"

#include <algorithm>

#include "log/log.h"

namespace liftrudder::app {

ConnectionBudget::ConnectionBudget(const config::Config& config,
                                   const coordinator::EndpointRegistry& endpoint_registry,
                                   net::EndpointConnectionPool& connection_pool)
    : config_(config),
      endpoint_registry_(endpoint_registry),
      connection_pool_(connection_pool),
      endpoints_(config.budget.endpoints) {}

void ConnectionBudget::Attach(net::Server* server) {
  std::lock_guard lock(mutex_);
  server_ = server;
}

void ConnectionBudget::Rebalance() {
  std::lock_guard lock(mutex_);
  // The list may be incomplete or outdated; there is at least one endpoint for each cell.
  int endpoints = std::max(endpoint_registry_.ListedEndpoints(), config_.settings.cells);
  bool fits = endpoints <= endpoints_ && endpoints >= endpoints_ / 2;
  if (server_ == nullptr || fits) return;
  endpoints_ = endpoints;
  config::Budget budget = config::ComputeBudget(config_.descriptors, config_.memory_mb, endpoints);
  server_->Resize({budget.client_connections, budget.client_requests});
  connection_pool_.Resize(budget.endpoint_connections, budget.endpoints);
  log::Info("{} endpoints: limits are now {} client connections and {} endpoint connections", endpoints,
            budget.client_connections, budget.endpoint_connections);
}

}  // namespace liftrudder::app
