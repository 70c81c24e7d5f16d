// Threads that answer requests, each one request at a time. A thread is started when there are more requests
// than waiting threads, and ends after a time without requests. The pool shares its owner's lock. The owner
// bounds the number of requests, and with it the number of threads.
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
  // `answer` is called on a worker's thread without the lock. `thread_ended` is notified when a worker ends.
  // The owner must outlive all threads: it waits for AllThreadsEnded before it is destroyed.
  WorkerPool(std::mutex& mutex, std::condition_variable& thread_ended, std::function<void(SessionRef)> answer)
      : mutex_(mutex), thread_ended_(thread_ended), answer_(std::move(answer)) {}

  // The functions below are called with the lock held.

  // Ensures that there is a thread for one more session; returns false if the system cannot start one.
  bool Reserve();
  void Submit(SessionRef session);
  // Ends the threads as soon as no submitted session is left.
  void Stop();
  bool AllThreadsEnded() const { return threads_ == 0; }

 private:
  void Run();

  std::mutex& mutex_;  // guards everything below
  std::condition_variable& thread_ended_;
  const std::function<void(SessionRef)> answer_;
  std::condition_variable submitted_;
  std::deque<SessionRef> ready_;  // submitted sessions that no worker has taken yet
  int threads_ = 0;
  int waiting_threads_ = 0;
  bool stopping_ = false;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_WORKER_POOL_H_
