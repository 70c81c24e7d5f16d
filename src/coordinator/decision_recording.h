// Writes to the decision log what the coordinator's stages do. Decisions never depend on what is recorded.
// Nothing is recorded unless a recorder is attached.
//
// RecordIntake and RecordResponse are thread-safe and never block; all other methods are called on the
// coordinator thread alone.
#ifndef LIFTRUDDER_COORDINATOR_DECISION_RECORDING_H_
#define LIFTRUDDER_COORDINATOR_DECISION_RECORDING_H_

#include <string_view>
#include <vector>

#include "coordinator/in_flight_table.h"
#include "coordinator/input.h"
#include "coordinator/round_scheduler.h"
#include "decision_log/recorder.h"

namespace liftrudder::coordinator {

class DecisionRecording {
 public:
  // Wakes `scheduler` when the recorder's queue of events from fronts fills up.
  DecisionRecording(const Clock& clock, RoundScheduler& scheduler) : clock_(clock), scheduler_(scheduler) {}

  // To be called before any other method. The recorder must outlive this object.
  void Attach(decision_log::Recorder& recorder) { recorder_ = &recorder; }
  bool Enabled() const { return recorder_ != nullptr; }

  // ---- Events from fronts, on any thread; see Coordinator::RecordIntake and RecordResponse ----

  void RecordIntake(decision_log::IntakeResult intake, decision_log::FrontKind front, int class_index,
                    int status, std::string_view call_id, double observed, double threshold);
  void RecordResponse(const std::vector<AnsweredQuery>& answered_queries, int status, std::size_t bytes,
                      bool fully_written);
  bool FrontEventsQueued() const { return recorder_ != nullptr && recorder_->HasPostedEvents(); }

  // ---- The coordinator thread ----

  void StartRound(Micros now_us);
  // Records the queued events from fronts and makes the records of the round readable.
  void FinishRound();
  void RecordArrival(const QueryArrival& arrival, Micros now_us);
  void RecordClientDisconnect(const ClientDisconnect& disconnect);
  void RecordEndpoints(const routing::EndpointListUpdate& update, const EndpointResolver& resolver);
  // Must be called before the actions of the round are executed, which may drop shard requests.
  void RecordPending(const std::vector<routing::PendingShardRequest>& pending, InFlightTable& in_flight);
  void RecordSent(const InFlightShardRequest& shard_request, int attempt, const routing::Send& send);
  void RecordCancelled(const InFlightShardRequest& shard_request, const routing::Cancel& cancel);
  void RecordConnectionsClosed(const routing::Close& close);
  // `shard_request_index`: the shard request's index within its query, from 0.
  void RecordAttemptFinished(Id query, int shard_request_index, const routing::AttemptFinished& finished,
                             Progress progress, Cause cause);
  void RecordAnswer(Id query, const FinalAnswer& answer, const routing::CompletionReason& reason,
                    int shard_responses);

 private:
  void Enqueue(const decision_log::FrontEvent& event);

  const Clock& clock_;
  RoundScheduler& scheduler_;
  decision_log::Recorder* recorder_ = nullptr;  // set before the threads start; null: nothing is recorded
  // Reused to avoid allocations; used by the coordinator thread alone.
  std::vector<decision_log::RecordedShardRequest> shard_requests_;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_DECISION_RECORDING_H_
