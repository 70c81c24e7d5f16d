// Threads that answer requests, one request at a time: started when there are more requests than waiting
// threads, and ended after a while without any. It shares the lock of its owner, who bounds the number of
// requests and with it that of threads.
#ifndef LIFTRUDDER_NET_WORKER_POOL_H_
#define LIFTRUDDER_NET_WORKER_POOL_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

#include "net/client_session.h"

namespace liftrudder::net {

class WorkerPool {
 public:
  // `answer` is called on a worker's thread without the lock. `changed` is notified when a worker ends.
  // The owner outlives all threads: it waits for NoThreads before it destroys anything.
  WorkerPool(std::mutex& mutex, std::condition_variable& changed, std::function<void(SessionRef)> answer)
      : mutex_(mutex), changed_(changed), answer_(std::move(answer)) {}

  // All of these hold the lock.

  // Makes sure that there is a thread for one more session; false when the system grants none.
  bool Reserve();
  void Submit(SessionRef session);
  // Waiting threads end as soon as nothing is submitted.
  void Stop();
  bool NoThreads() const { return threads_ == 0; }

 private:
  void Run();

  std::mutex& mutex_;  // guards everything below
  std::condition_variable& changed_;
  const std::function<void(SessionRef)> answer_;
  std::condition_variable submitted_;
  std::deque<SessionRef> ready_;  // busy sessions that no worker has taken yet
  int threads_ = 0;
  int waiting_threads_ = 0;
  bool stopping_ = false;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_WORKER_POOL_H_
