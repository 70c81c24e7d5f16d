// Coordinates queries between the fronts, the router and the endpoints. A query passes these stages, each in
// a source file of its own:
//
//   admission.cpp         limits the open queries, assigns ids and queues the query, on the front's thread
//   event_intake.cpp      turns inputs into events for the router and updates the in-flight table
//   coordinator.cpp       runs decision rounds: batches of inputs, timers, the call to the router
//   action_dispatch.cpp   starts and cancels attempts, closes connections and sets timers for the router
//   query_completion.cpp  delivers the router's final decision on a query to its client
//
// All stages but admission run on one thread, the coordinator thread, which owns the router and the in-flight
// table; other threads reach it through RoundScheduler's queue. This code is independent of wire formats,
// files and sockets. Decisions about endpoints, retries and shedding are made by the router.
#ifndef LIFTRUDDER_COORDINATOR_COORDINATOR_H_
#define LIFTRUDDER_COORDINATOR_COORDINATOR_H_

#include <algorithm>
#include <atomic>
#include <compare>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "coordinator/decision_recording.h"
#include "coordinator/in_flight_table.h"
#include "coordinator/input.h"
#include "coordinator/interfaces.h"
#include "coordinator/round_scheduler.h"
#include "decision_log/recorder.h"
#include "metrics/metrics.h"

namespace liftrudder::coordinator {

class Coordinator {
 public:
  // The references must outlive the coordinator. `seed` seeds the router's random choices.
  Coordinator(const routing::Settings& settings, std::uint64_t seed, const Clock& clock,
              const EndpointResolver& endpoint_resolver, metrics::Counters& counters);

  // ---- Before Run ----

  void Attach(EndpointTransport& transport) { transport_ = &transport; }
  // Without a recorder, decisions are not recorded.
  void Attach(decision_log::Recorder& recorder) { recording_.Attach(recorder); }
  // `on_endpoint_list_change` is called on the coordinator thread for each endpoint list update.
  void OnEndpointListChange(std::function<void()> on_endpoint_list_change) {
    on_endpoint_list_change_ = std::move(on_endpoint_list_change);
  }

  // ---- From any thread ----

  // Admits a query and returns its id, or nullopt when too many queries and shard requests are open. `reply`
  // receives the answer to an admitted query, unless its front posts a ClientDisconnect first.
  std::optional<Id> Admit(QueryRequest request, std::shared_ptr<ClientReply> reply);
  // Queues an input for the next round; never fails.
  void Post(Input input) { scheduler_.Post(std::move(input)); }

  // Records in the decision log, without blocking, a request that was rejected at intake. If it was over a
  // limit, `observed` is the value that exceeded the limit `threshold`.
  void RecordIntake(decision_log::IntakeResult intake, decision_log::FrontKind front, int class_index,
                    int status, std::string_view call_id, double observed = 0, double threshold = 0);
  // Records in the decision log, without blocking, the response to a client, of which `bytes` were written.
  // `fully_written`: the response was written completely.
  void RecordResponse(const std::vector<AnsweredQuery>& answered_queries, int status, std::size_t bytes,
                      bool fully_written);
  // Makes what was recorded so far readable in the decision log. Blocks the thread for 200 ms at most.
  void RefreshDecisionLog() { scheduler_.RefreshAndWait(); }

  // Called once, when the process is about to end: from then on every query, in flight or admitted later, is
  // answered by `answer_by_us`, or by its client's deadline if that is earlier.
  void BeginShutdown(Micros answer_by_us);
  // The earlier of `client_deadline_us` and the time by which a query is answered because of a shutdown.
  Micros AnswerBy(Micros client_deadline_us) const {
    return std::min(client_deadline_us, answer_by_us_.load());
  }

  // Runs decision rounds on the calling thread, which is the coordinator thread, until Stop is called.
  void Run();
  void Stop() { scheduler_.Stop(); }

  // The number of admitted queries that still wait for an answer and whose client is still connected.
  int OpenQueries() const { return open_queries_.load(); }
  // The number of listed endpoints that the router avoided in the last round.
  int AvoidedEndpoints() const { return avoided_endpoints_.load(); }

 private:
  struct Timer {
    Micros due_us = 0;
    std::uint64_t label = 0;
    // NOLINTNEXTLINE(modernize-use-nullptr): the check takes the defaulted operator for a comparison with 0.
    auto operator<=>(const Timer&) const = default;
  };

  // Event intake.
  void HandleInput(QueryArrival& arrival);
  void HandleInput(ClientDisconnect& disconnect);
  void HandleInput(AttemptResult& result);
  void HandleInput(routing::EndpointListUpdate& update);
  void HandleInput(Shutdown& shutdown);
  void RecordIfShortened(const QueryRequest& request);

  // The decision round.
  Micros NextTimer() const;
  void RunRound(std::vector<Input>& inputs);
  void FireTimers();
  void ExpireAttempts();
  void FinishRound(std::uint64_t refresh_number);

  // Action dispatch.
  void Execute(const routing::Send& send);
  void Execute(const routing::Cancel& cancel);
  void Execute(const routing::Close& close);
  void Execute(const routing::SetTimer& timer);
  void Execute(const routing::Subscribe&) {}  // the endpoint list is always watched

  // Query completion.
  void Execute(const routing::Answer& answer);
  void Execute(const routing::Reject& reject);
  void Execute(const routing::Fail& fail);
  void Complete(Id query, FinalAnswer answer, const routing::CompletionReason& reason);
  void CountAnswer(const FinalAnswer& answer);
  // Releases what Admit reserved for a query with this number of shard requests.
  void ReleaseAdmission(int shard_requests);

  const routing::Settings settings_;
  const Clock& clock_;
  const EndpointResolver& endpoint_resolver_;
  metrics::Counters& counters_;
  RoundScheduler scheduler_;

  // Set before Run, constant afterwards.
  EndpointTransport* transport_ = nullptr;
  DecisionRecording recording_;
  std::function<void()> on_endpoint_list_change_;

  // Shared by all threads.
  std::atomic<int> open_entries_{0};  // queries and shard requests, limited by settings_.max_in_flight
  std::atomic<int> open_queries_{0};
  std::atomic<int> avoided_endpoints_{0};
  std::atomic<Id> next_id_{1};
  std::atomic<Micros> answer_by_us_{std::numeric_limits<Micros>::max()};  // see BeginShutdown

  // Used by the coordinator thread alone.
  routing::Router router_;
  InFlightTable in_flight_;
  std::set<Timer> timers_;
  std::int64_t last_query_number_ = 0;
  Micros now_us_ = 0;  // when the current round began
  int logged_late_queries_ = 0;
  // Reused by all rounds to avoid allocations.
  std::vector<routing::Event> events_;
  std::vector<routing::Action> actions_;
  std::vector<routing::PendingShardRequest> pending_;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_COORDINATOR_H_
