// Submits a client's query to the coordinator and waits until it is answered, its deadline comes or its
// client disconnects. Does not interpret bodies. Any thread; a RunningQuery belongs to one thread.
#ifndef LIFTRUDDER_OPENSEARCH_QUERY_RUNNER_H_
#define LIFTRUDDER_OPENSEARCH_QUERY_RUNNER_H_

#include <atomic>
#include <memory>
#include <optional>
#include <tl/expected.hpp>

#include "config/config.h"
#include "coordinator/coordinator.h"
#include "metrics/metrics.h"
#include "net/server.h"
#include "opensearch/caller_access.h"
#include "opensearch/errors.h"
#include "opensearch/options.h"
#include "opensearch/requests.h"

namespace liftrudder::opensearch {

// A client's request and its authenticated caller. The references must outlive the query.
struct RequestContext {
  const net::HttpMessage& request;
  const net::Exchange& exchange;
  const Principal& principal;
};

// Why there is no answer.
struct QueryFailure {
  enum class Kind { kError, kClientDisconnected };
  Kind kind = Kind::kError;
  ApiError error;  // of kError: the error that the client gets

  // NOLINTNEXTLINE(google-explicit-constructor): most failures are an ApiError and convert implicitly.
  QueryFailure(ApiError api_error) : error(std::move(api_error)) {}
  static QueryFailure ClientDisconnected();
};

// A query to the shards of an index.
struct QuerySpec {
  const IndexOptions* index = nullptr;
  ShardCall call;
  decision_log::FrontKind front = decision_log::FrontKind::kSearch;
  bool complete_only = false;  // a partial result is an error
};

// A query submitted to the coordinator, and the reply that its worker waits for.
struct RunningQuery {
  std::shared_ptr<net::WaitingReply> reply;
  std::optional<coordinator::Id> id;  // none: rejected by the quota or at admission
  coordinator::Micros deadline_us = 0;
  const IndexOptions* index = nullptr;
  bool complete_only = false;
  QuotaReservation reservation;
};

class QueryRunner {
 public:
  // All arguments must outlive it.
  QueryRunner(const config::Config& config, coordinator::Coordinator& coordinator,
              const coordinator::Clock& clock, metrics::Counters& counters, CallerAccess& access)
      : config_(config), coordinator_(coordinator), clock_(clock), counters_(counters), access_(access) {}

  RunningQuery Start(QuerySpec spec, const RequestContext& context);
  // Waits for the query's answer, at the latest until shortly before its deadline.
  tl::expected<coordinator::FinalAnswer, QueryFailure> Await(const RunningQuery& query,
                                                             const net::Exchange& exchange);
  // Tells the coordinator that the client no longer waits for this query.
  void Abandon(const RunningQuery& query);

 private:
  coordinator::QueryRequest BuildRequest(QuerySpec spec, const RequestContext& context);
  coordinator::Micros TimeoutOf(int class_index, const net::HttpMessage& request) const;
  std::optional<QueryFailure> WaitForAnswer(const RunningQuery& query, const net::Exchange& exchange);

  const config::Config& config_;
  coordinator::Coordinator& coordinator_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;
  CallerAccess& access_;
  std::atomic<std::uint64_t> started_{0};
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_QUERY_RUNNER_H_
