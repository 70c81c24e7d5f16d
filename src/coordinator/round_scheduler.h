// The input queue of the coordinator thread, and its sleep between two decision rounds. Decides when a round
// begins (with RoundPacer) and wakes the thread only for inputs that make a round begin earlier than planned:
// one round handles many responses, so each of them need not wake the thread.
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
    std::uint64_t refresh_number = 0;  // the newest refresh request that this round completes
  };

  RoundScheduler(const routing::Settings& settings, const Clock& clock);

  // Queues an input. Never fails: admission and the endpoint lists bound the number of queued inputs.
  void Post(Input input);
  // Ends every wait; the coordinator thread begins no further round.
  void Stop();
  bool Stopping() const;
  // Wakes the coordinator thread to check again whether a round is due.
  void Wake() { wake_.notify_one(); }
  // Requests an urgent round and waits for its end, for at most 200 ms.
  void RefreshAndWait();

  // Sleeps until the next round may begin, then returns all queued inputs. `next_timer_us`: when the next
  // timer is due. `front_events_queued`: whether events from fronts wait to be recorded in the decision log;
  // called again after each wake-up, with the lock held.
  Batch WaitForBatch(Micros next_timer_us, const std::function<bool()>& front_events_queued);
  // Ends the round and completes the refresh requests up to `refresh_number`, which is that of its batch.
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
  bool urgent_ = false;           // the queue holds an input that must not wait for a regular round
  Micros sleeping_until_us_ = 0;  // 0: the coordinator thread is awake and will check the queue
  std::uint64_t refreshes_requested_ = 0;
  std::uint64_t refreshes_done_ = 0;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_ROUND_SCHEDULER_H_
