// Divides the process's descriptors and memory between client and endpoint connections. Divides them again
// when the list has more endpoints than the last division was for, or fewer than half as many. Only sets
// limits, which the server and the connection pool apply. Any thread.
#ifndef LIFTRUDDER_APP_CONNECTION_BUDGET_H_
#define LIFTRUDDER_APP_CONNECTION_BUDGET_H_

#include <mutex>

#include "config/config.h"
#include "coordinator/endpoint_registry.h"
#include "net/endpoint_connection_pool.h"
#include "net/server.h"

namespace liftrudder::app {

class ConnectionBudget {
 public:
  // The arguments outlive the budget.
  ConnectionBudget(const config::Config& config, const coordinator::EndpointRegistry& endpoint_registry,
                   net::EndpointConnectionPool& connection_pool);

  // Sets the server to resize. It is null before start-up and during shutdown; Rebalance then does nothing.
  void Attach(net::Server* server);
  // Called on the coordinator's thread after each endpoint list, and on the main thread at start-up.
  void Rebalance();

 private:
  const config::Config& config_;
  const coordinator::EndpointRegistry& endpoint_registry_;
  net::EndpointConnectionPool& connection_pool_;
  std::mutex mutex_;
  net::Server* server_ = nullptr;  // guarded by mutex_
  int endpoints_;                  // number that the current budget is for; guarded by mutex_
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_CONNECTION_BUDGET_H_
