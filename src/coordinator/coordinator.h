// The one thread that owns the module and the book. Everything reaches it through a bounded queue.
#ifndef LIFTRUDDER_COORDINATOR_COORDINATOR_H_
#define LIFTRUDDER_COORDINATOR_COORDINATOR_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <variant>

#include "coordinator/in_flight_table.h"
#include "coordinator/interfaces.h"
#include "coordinator/round_pacer.h"
#include "decision_log/recorder.h"
#include "metrics/metrics.h"

namespace liftrudder::coordinator {

struct QueryArrival {
  Id id = 0;
  QueryRequest request;
  std::shared_ptr<ClientReply> reply;
};
struct ClientDisconnect {
  Id id = 0;
  decision_log::IntakeResult intake = decision_log::IntakeResult::kClientDisconnected;  // why its front waits no longer
};
using Input = std::variant<QueryArrival, ClientDisconnect, AttemptResult, routing::EndpointListUpdate>;

class Coordinator {
 public:
  Coordinator(const routing::Settings& settings, std::uint64_t seed, const Clock& clock,
              const EndpointResolver& endpoint_registry, metrics::Counters& counters);

  void Attach(EndpointTransport& transport) { transport_ = &transport; }
  // Before Run: called on the core's thread after each list, which may be longer than those before.
  void OnEndpointListChange(std::function<void()> on_endpoint_list_change) { on_endpoint_list_change_ = std::move(on_endpoint_list_change); }
  // Before Run; without one nothing is recorded.
  void Attach(decision_log::Recorder& recorder) { recorder_ = &recorder; }

  // Stage admit. The query's id, or nothing when a cap or the list of what may be open turns it away.
  std::optional<Id> Admit(QueryRequest request, std::shared_ptr<ClientReply> reply);
  // Never refused: their number is bounded by what was admitted, or by the holder list.
  void Post(Input input);

  // From a front's thread: what the record is to know of a client. Waits for nobody.
  void NoteIntake(decision_log::IntakeResult intake, decision_log::FrontKind front, int class_index,
                  int status, std::string_view call_id, double observed = 0, double threshold = 0);
  void NoteResponse(const std::vector<AnsweredQuery>& answered_queries, int status, std::size_t bytes, bool whole);
  // Has the record made readable up to now; waits a fifth of a second at most, on the caller's thread.
  void RefreshDecisionLog();

  void Run();   // on the core's own thread, until Stop
  void Stop();  // from any thread
  int Open() const { return open_queries_.load(); }
  // Holders listed that the module avoided in the last round.
  int Avoided() const { return avoided_.load(); }

 private:
  // Waits for input or a timer, but never less than a resolution after the last round.
  std::vector<Input> NextBatch(std::uint64_t& refresh);
  // Under the lock: when the next round may begin, for what has come so far and `due_us`.
  Micros RoundAt(Micros due_us) const;

  // Stage intake: inputs to events.
  void Take(QueryArrival& arrival);
  void Take(ClientDisconnect& hangup);
  void Take(AttemptResult& result);
  void Take(routing::EndpointListUpdate& update);
  void TakeDue();

  // Stages route and send.
  void Act(const routing::Send& send);
  void Act(const routing::Cancel& cancel);
  void Act(const routing::Close& close);
  void Act(const routing::SetTimer& timer);
  void Act(const routing::Subscribe&) {}  // the watch is always open

  // Stage relay.
  void Act(const routing::Answer& answer);
  void Act(const routing::Reject& refuse);
  void Act(const routing::Fail& fail);
  void Finish(Id query, FinalAnswer answer, const routing::CompletionReason& reason);
  void CloseQuery(Id query, int shard_requests);

  // What the record is told of; nothing when there is none.
  void Note(const decision_log::FrontEvent& note);
  void RecordOpen(const QueryArrival& arrival);
  void RecordPending();
  void RecordEnd(Id query, const FinalAnswer& answer, const routing::CompletionReason& reason, int shard_responses);
  void EndRound(std::uint64_t refresh);

  const routing::Settings settings_;
  routing::Router aggregator_;
  const Clock& clock_;
  const EndpointResolver& endpoint_registry_;
  metrics::Counters& counters_;
  EndpointTransport* transport_ = nullptr;
  decision_log::Recorder* recorder_ = nullptr;
  std::function<void()> on_endpoint_list_change_;

  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Input> queue_;
  bool stopping_ = false;
  bool urgent_ = false;  // something in the queue is not to wait for answers
  RoundPacer pace_;
  Micros sleeps_until_us_ = 0;  // 0: it looks at the queue before it sleeps
  std::uint64_t refresh_asked_ = 0, refresh_done_ = 0;
  std::condition_variable refreshed_;
  std::atomic<int> open_{0};  // queries and parts, as the settings count them
  std::atomic<int> open_queries_{0};
  std::atomic<int> avoided_{0};
  std::atomic<Id> next_id_{1};

  // The core's thread alone:
  InFlightTable in_flight_;
  std::set<std::pair<Micros, std::uint64_t>> timers_;
  std::vector<routing::Event> events_;
  std::vector<routing::PendingShardRequest> pending_;
  std::vector<decision_log::RecordedShardRequest> recorded_shard_requests_;
  Micros now_ = 0;
  std::int64_t number_ = 0;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_COORDINATOR_H_
