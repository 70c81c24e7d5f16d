// Process-wide counters of requests, queries, attempts and connections. Printed on request and at exit; no
// decision reads them. Thread-safe.
#ifndef LIFTRUDDER_METRICS_METRICS_H_
#define LIFTRUDDER_METRICS_METRICS_H_

#include <array>
#include <atomic>
#include <cstdint>
#include <string>

namespace liftrudder::metrics {

// A number that any thread may add to or set, with relaxed memory order.
class Counter {
 public:
  void Set(std::int64_t value) { value_.store(value, std::memory_order_relaxed); }
  void Add(std::int64_t increment = 1) { value_.fetch_add(increment, std::memory_order_relaxed); }
  std::int64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

struct Counters {
  // Requests and queries of clients.
  Counter queries_admitted;
  Counter rejected_at_intake;   // over a limit: requests, queries and connections
  Counter malformed_requests;   // invalid requests, incomplete and pipelined ones included
  Counter denied_requests;      // requests without the required permission
  Counter connections_evicted;  // client connections closed to make room for others
  Counter clients_disconnected;

  // Queries, by the answer given to their clients.
  Counter complete_answers;
  Counter partial_answers;
  Counter rejected_answers;
  Counter failed_answers;
  Counter late_answers;  // answered by the front, as the coordinator's answer did not come in time

  // Attempts. attempts_sent counts all of them; attempts_retried counts those after the first of a shard
  // request, including hedges.
  Counter attempts_sent;
  Counter attempts_retried;
  std::array<Counter, 8> outcomes;  // by routing::AttemptOutcome

  // Connections to endpoints.
  Counter connections_opened;
  Counter connections_failed;
  Counter malformed_responses;    // connections closed because of an unusable response
  Counter unrequested_responses;  // of these: because of bytes that answer no request in flight
  Counter misnamed_responses;     // of these: because of a response that names another request
  Counter unnamed_responses;      // connections closed because a valid response does not name its request

  Counter rounds;          // decision rounds
  Counter endpoint_lists;  // endpoint lists received, full ones and deltas

  Counter shortened_queries;  // received in a shutdown, with less time than their clients wait

  // Checks whether the files of keys, permissions and certificates have changed.
  Counter credential_checks;
  Counter credentials_checked_ms;  // Unix time of the last check; 0: none yet

  // One line for each counter: its name, a space, its value.
  std::string Text() const;
};

}  // namespace liftrudder::metrics

#endif  // LIFTRUDDER_METRICS_METRICS_H_
