// The front of the search API: authenticates callers, serves the pages under /-/ and passes each request to
// the operation that answers it. Called on any worker thread of the server.
#ifndef LIFTRUDDER_OPENSEARCH_FRONT_H_
#define LIFTRUDDER_OPENSEARCH_FRONT_H_

#include <optional>
#include <string_view>
#include <vector>

#include "coordinator/coordinator.h"
#include "decision_log/explain_service.h"
#include "identity/authenticator.h"
#include "net/server.h"
#include "opensearch/caller_access.h"
#include "opensearch/operations.h"
#include "opensearch/query_runner.h"
#include "opensearch/scroll.h"

namespace liftrudder::opensearch {

class Front : public net::Handler {
 public:
  // `explain_service`: null when the decision log is off. `authenticator`: null without authentication. All
  // arguments must outlive it.
  Front(const config::Config& config, const Options& options, coordinator::Coordinator& coordinator,
        const coordinator::Clock& clock, metrics::Counters& counters,
        decision_log::ExplainService* explain_service, identity::Authenticator* authenticator);

  std::optional<net::HttpResponse> Handle(net::HttpMessage& request, const net::Exchange& exchange) override;
  net::HttpResponse MalformedResponse(int status) override;
  net::HttpResponse OverloadedResponse(const net::HttpMessage* request) override;
  net::HttpResponse ShuttingDownResponse() override;
  void OnResponseWritten(const std::vector<net::AnsweredQuery>& answered_queries, int status,
                         std::size_t bytes, bool fully_written) override;

 private:
  std::optional<net::HttpResponse> ServePage(std::string_view path, const net::HttpMessage& request,
                                             const Principal& principal);
  std::optional<net::HttpResponse> Respond(OperationResult result, const net::HttpMessage& request,
                                           const net::Exchange& exchange);
  void RecordMalformed(const ApiError& error, const net::HttpMessage& request, const net::Exchange& exchange);

  coordinator::Coordinator& coordinator_;
  metrics::Counters& counters_;
  decision_log::ExplainService* explain_service_;
  const bool authenticates_;
  const bool retry_after_allowed_;
  CallerAccess access_;
  Scrolls scrolls_;
  QueryRunner queries_;
  Operations operations_;
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_FRONT_H_
