// The queue in front of the coordinator thread, and the sleep between two decision rounds. Decides when a
// round begins (with RoundPacer) and wakes the thread only for what begins a round sooner than planned: many
// responses are handled by one round and need not wake it one by one.
//
// WaitForBatch and FinishRound are called on the coordinator thread alone; the rest is thread-safe.
#ifndef LIFTRUDDER_COORDINATOR_ROUND_SCHEDULER_H_
#define LIFTRUDDER_COORDINATOR_ROUND_SCHEDULER_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <vector>

#include "coordinator/input.h"
#include "coordinator/round_pacer.h"

namespace liftrudder::coordinator {

class RoundScheduler {
 public:
  // The input of one round.
  struct Batch {
    std::vector<Input> inputs;
    std::uint64_t refresh_number = 0;  // of the newest refresh that the end of this round completes
  };

  RoundScheduler(const routing::Settings& settings, const Clock& clock);

  // Never refuses: the number of inputs is bounded by what was admitted and by the endpoint lists.
  void Post(Input input);
  // Ends every wait; no round begins after it that has not begun yet.
  void Stop();
  bool Stopping() const;
  // Makes the coordinator thread look at what is due, if it is asleep.
  void Wake() { wake_.notify_one(); }
  // Has a round begin soon and waits for its end, 200 ms at most.
  void RefreshAndWait();

  // Sleeps until the next round may begin, then takes everything that is queued. `next_timer_us`: when the
  // next timer is due. `notes_queued`: whether the decision log has notes from fronts to take in; it is asked
  // again after each wake-up, with the lock held.
  Batch WaitForBatch(Micros next_timer_us, const std::function<bool()>& notes_queued);
  // Ends the round of the batch with this refresh number.
  void FinishRound(std::uint64_t refresh_number);

 private:
  // When the next round may begin, given what is queued and when other work is due. The lock must be held.
  Micros NextRound(Micros due_us) const;

  const Clock& clock_;

  mutable std::mutex mutex_;
  std::condition_variable wake_;       // the coordinator thread waits for work
  std::condition_variable refreshed_;  // readers of the decision log wait for the end of a round

  // Guarded by mutex_.
  RoundPacer pacer_;
  std::deque<Input> queue_;
  bool stopping_ = false;
  bool urgent_ = false;           // the queue holds something that must not wait for a regular round
  Micros sleeping_until_us_ = 0;  // 0: the coordinator thread is awake and will see the queue
  std::uint64_t refreshes_requested_ = 0;
  std::uint64_t refreshes_done_ = 0;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_ROUND_SCHEDULER_H_
