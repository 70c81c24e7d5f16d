// Divides the process's descriptors and memory between client and endpoint connections, and divides them anew
// when the endpoint list has grown or shrunk much. Opens and closes nothing itself. Any thread.
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

  // From now on that server is resized too; null: it is shutting down, and nothing is resized any more.
  void Attach(net::Server* server);
  // Called on the coordinator's thread after each endpoint list, and on the main thread at start-up.
  void Rebalance();

 private:
  const config::Config& config_;
  const coordinator::EndpointRegistry& endpoint_registry_;
  net::EndpointConnectionPool& connection_pool_;
  std::mutex mutex_;
  net::Server* server_ = nullptr;  // guarded by mutex_
  int endpoints_;                  // the current budget is for that many; guarded by mutex_
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_CONNECTION_BUDGET_H_
