// The platform's thin front: one POST a query, JSON in and out.
#ifndef LIFTRUDDER_PLATFORM_FRONT_H_
#define LIFTRUDDER_PLATFORM_FRONT_H_

#include <mutex>
#include <set>
#include <string>

#include "config/config.h"
#include "coordinator/coordinator.h"
#include "decision_log/explain_service.h"
#include "metrics/operator_figures.h"
#include "net/server.h"

namespace liftrudder::platform {

class Front : public net::Handler {
 public:
  Front(const config::Config& config, coordinator::Coordinator& coordinator, const coordinator::Clock& clock,
        metrics::Counters& counters, metrics::OperatorFigures& figures, decision_log::ExplainService* explain_service)
      : config_(config),
        coordinator_(coordinator),
        clock_(clock),
        counters_(counters),
        figures_(figures),
        explain_service_(explain_service) {}

  std::optional<net::HttpResponse> Handle(net::HttpMessage& request, const net::Exchange& exchange) override;
  net::HttpResponse Malformed(int status) override;
  net::HttpResponse Overloaded(const net::HttpMessage* request) override;
  void Wrote(const std::vector<net::AnsweredQuery>& answered_queries, int status, std::size_t bytes, bool whole) override;

 private:
  std::optional<net::HttpResponse> Query(net::HttpMessage& request, const net::Exchange& exchange);
  std::optional<net::HttpResponse> Ask(coordinator::QueryRequest query, const net::Exchange& exchange);
  // Nothing when the request is not one; `statement` and key stay as they came.
  std::optional<coordinator::QueryRequest> Read(const net::HttpMessage& request,
                                                const net::Exchange& exchange) const;
  net::HttpResponse Rejected(const net::HttpMessage& request, decision_log::IntakeResult intake,
                             net::HttpResponse response);

  const config::Config& config_;
  coordinator::Coordinator& coordinator_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;
  metrics::OperatorFigures& figures_;
  decision_log::ExplainService* explain_service_;  // null: nothing is recorded
  std::mutex mutex_;
  std::set<std::string> open_;  // call ids of the queries that are open
};

}  // namespace liftrudder::platform

#endif  // LIFTRUDDER_PLATFORM_FRONT_H_
