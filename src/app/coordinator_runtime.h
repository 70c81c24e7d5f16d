// The part of a process that decides and talks to endpoints: the coordinator on its thread, the endpoint
// registry, the connection pool, the decision log. It listens on no address; clients reach it through
// CoordinatorServer.
#ifndef LIFTRUDDER_APP_COORDINATOR_RUNTIME_H_
#define LIFTRUDDER_APP_COORDINATOR_RUNTIME_H_

#include <memory>
#include <optional>

#include "app/connection_budget.h"
#include "app/serve_options.h"
#include "config/config.h"
#include "coordinator/coordinator.h"
#include "coordinator/endpoint_registry.h"
#include "decision_log/explain_service.h"
#include "decision_log/recorder.h"
#include "metrics/metrics.h"
#include "metrics/operator_figures.h"
#include "net/endpoint_connection_pool.h"
#include "net/socket.h"

namespace liftrudder::app {

// Members are declared in the order of construction and destroyed in reverse:
//   1. counters and figures, used by everything;
//   2. the endpoint registry and the coordinator, whose thread does not run yet;
//   3. the connection pool, which posts results to the coordinator and so must be destroyed before it;
//   4. the decision log and the explain service, used by the coordinator's thread;
//   5. the connection budget, which follows the endpoint list, after a cached list is applied;
//   6. the coordinator's thread, then its guard, which stops the loop so that joining the thread returns.
class CoordinatorRuntime {
 public:
  // The arguments outlive the runtime. Throws when the decision log's memory cannot be allocated.
  CoordinatorRuntime(const ServeOptions& options, const coordinator::Clock& clock);

  // Stops the coordinator, waits for its thread, then closes the connection pool. No front may use the
  // runtime from then on.
  void Stop();

  metrics::Counters& counters() { return counters_; }
  metrics::OperatorFigures& figures() { return figures_; }
  coordinator::EndpointRegistry& endpoint_registry() { return endpoint_registry_; }
  coordinator::Coordinator& coordinator() { return coordinator_; }
  ConnectionBudget& connection_budget() { return *connection_budget_; }
  // Null when the decision log is off.
  decision_log::ExplainService* explain_service() { return explain_service_ ? &*explain_service_ : nullptr; }
  // Updates the figures that are sampled, not counted. Any thread.
  void RefreshFigures();

 private:
  // Stops the coordinator's loop when start-up fails, since joining its thread would otherwise never return.
  struct StopGuard {
    coordinator::Coordinator& coordinator;
    explicit StopGuard(coordinator::Coordinator& guarded) : coordinator(guarded) {}
    StopGuard(const StopGuard&) = delete;
    StopGuard& operator=(const StopGuard&) = delete;
    ~StopGuard() { coordinator.Stop(); }
  };

  void OpenConnectionPool(const ServeOptions& options);
  void StartDecisionLog();
  void OpenRecorder();

  const config::Config& config_;
  const coordinator::Clock& clock_;
  metrics::Counters counters_;
  metrics::OperatorFigures figures_;
  coordinator::EndpointRegistry endpoint_registry_;
  coordinator::Coordinator coordinator_;
  std::unique_ptr<net::EndpointProtocol> protocol_;
  std::unique_ptr<net::EndpointConnectionPool> connection_pool_;
  std::optional<decision_log::Recorder> recorder_;
  std::optional<decision_log::ExplainService> explain_service_;
  std::optional<ConnectionBudget> connection_budget_;
  net::Thread coordinator_thread_;
  std::optional<StopGuard> stop_guard_;
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_COORDINATOR_RUNTIME_H_
