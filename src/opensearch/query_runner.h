// Gives one query of a client to the coordinator, and waits for its answer or for what ends it before: the
// deadline, the client. Knows nothing of bodies. Any thread; a RunningQuery belongs to one.
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

// One request of a client, and who asks. All are the caller's and outlive the query.
struct RequestContext {
  const net::HttpMessage& request;
  const net::Exchange& exchange;
  const Principal& principal;
};

// Why there is no answer.
struct QueryFailure {
  enum class Kind { kError, kClientDisconnected };
  Kind kind = Kind::kError;
  ApiError error;  // of kError: what the client gets

  // NOLINTNEXTLINE(google-explicit-constructor): an error is the usual failure.
  QueryFailure(ApiError api_error) : error(std::move(api_error)) {}
  static QueryFailure ClientDisconnected();
};

// What a query asks of the shards of an index.
struct QuerySpec {
  const IndexOptions* index = nullptr;
  ShardCall call;
  decision_log::FrontKind front = decision_log::FrontKind::kSearch;
  bool complete_only = false;  // a partial result will not do
};

// A query given to the coordinator, and who waits for it.
struct RunningQuery {
  std::shared_ptr<net::WaitingReply> reply;
  std::optional<coordinator::Id> id;  // none: rejected at admission
  coordinator::Micros deadline_us = 0;
  const IndexOptions* index = nullptr;
  bool complete_only = false;
  QuotaReservation reservation;
};

class QueryRunner {
 public:
  // All must outlive it.
  QueryRunner(const config::Config& config, coordinator::Coordinator& coordinator,
              const coordinator::Clock& clock, metrics::Counters& counters, CallerAccess& access)
      : config_(config), coordinator_(coordinator), clock_(clock), counters_(counters), access_(access) {}

  RunningQuery Start(QuerySpec spec, const RequestContext& context);
  // Waits until shortly before the query's deadline at the latest.
  tl::expected<coordinator::FinalAnswer, QueryFailure> Await(const RunningQuery& query,
                                                             const net::Exchange& exchange);
  // Nobody waits for it any more.
  void Abandon(const RunningQuery& query);

 private:
  coordinator::QueryRequest RequestFor(QuerySpec spec, const RequestContext& context);
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
