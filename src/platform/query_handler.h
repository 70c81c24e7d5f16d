// The platform's client protocol: one POST for each query, JSON in both directions, and a few pages for
// operators. Decisions about queries are the coordinator's. Each request is handled on a worker's thread,
// which waits for the answer.
#ifndef LIFTRUDDER_PLATFORM_QUERY_HANDLER_H_
#define LIFTRUDDER_PLATFORM_QUERY_HANDLER_H_

#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "coordinator/coordinator.h"
#include "decision_log/explain_service.h"
#include "metrics/metrics.h"
#include "metrics/operator_figures.h"
#include "net/server.h"
#include "platform/call_ids.h"

namespace liftrudder::platform {

class QueryHandler : public net::Handler {
 public:
  // The arguments outlive the handler; `explain_service` is null when the decision log is off.
  QueryHandler(const config::Config& config, coordinator::Coordinator& coordinator,
               const coordinator::Clock& clock, metrics::Counters& counters,
               metrics::OperatorFigures& figures, decision_log::ExplainService* explain_service)
      : config_(config),
        coordinator_(coordinator),
        clock_(clock),
        counters_(counters),
        figures_(figures),
        explain_service_(explain_service) {}

  std::optional<net::HttpResponse> Handle(net::HttpMessage& request, const net::Exchange& exchange) override;
  net::HttpResponse MalformedResponse(int status) override;
  net::HttpResponse OverloadedResponse(const net::HttpMessage* request) override;
  net::HttpResponse ShuttingDownResponse() override;
  void OnResponseWritten(const std::vector<net::AnsweredQuery>& answered_queries, int status,
                         std::size_t bytes, bool fully_written) override;

 private:
  // These return nullopt when the client has disconnected.
  std::optional<net::HttpResponse> HandleQuery(net::HttpMessage& request, const net::Exchange& exchange);
  std::optional<net::HttpResponse> RunQuery(coordinator::QueryRequest query, const net::Exchange& exchange);
  coordinator::Micros ClientWaitsUntilUs(const coordinator::QueryRequest& query) const;
  // Counts and records a request that did not become a query; returns `response`.
  net::HttpResponse RejectAtIntake(const net::HttpMessage& request, decision_log::IntakeResult intake,
                                   net::HttpResponse response);
  int ClassIndex(const std::string* class_name) const;

  const config::Config& config_;
  coordinator::Coordinator& coordinator_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;
  metrics::OperatorFigures& figures_;
  decision_log::ExplainService* const explain_service_;
  // The attempt ids sent to endpoints are derived from the call id (FrameProtocol::AttemptId) and must be
  // unique among queries in flight.
  CallIds call_ids_;
};

}  // namespace liftrudder::platform

#endif  // LIFTRUDDER_PLATFORM_QUERY_HANDLER_H_
