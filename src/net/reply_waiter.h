// Lets the worker of a request wait for the final answers to its queries while the server's reader thread
// watches the client's connection.
#ifndef LIFTRUDDER_NET_REPLY_WAITER_H_
#define LIFTRUDDER_NET_REPLY_WAITER_H_

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>

#include "coordinator/interfaces.h"
#include "net/client_connection.h"
#include "net/socket_presence.h"

namespace liftrudder::net {

// One per request in progress, shared by its worker, the reader thread and the replies. The reader thread
// marks a disconnected client immediately, without waiting for the worker to run. Thread-safe.
class ReplyWaiter {
 public:
  // `rearm` makes the reader thread watch the connection again after an event that brought neither bytes nor
  // the end. `client_fd` is the client's socket, which must stay open until Detach.
  ReplyWaiter(std::function<void()> rearm, int client_fd)
      : rearm_(std::move(rearm)), client_(std::make_shared<SocketPresence>(client_fd)) {}
  std::shared_ptr<coordinator::ClientPresence> client() const { return client_; }
  // The request has been answered, or its connection is about to be closed.
  void Detach() { client_->Detach(); }
  // Called by the reader thread on an event on the connection; wakes the worker, which checks the connection.
  void NotifyEvent(bool disconnected);

 private:
  friend class WaitingReply;
  const std::function<void()> rearm_;
  const std::shared_ptr<SocketPresence> client_;
  std::mutex mutex_;  // guards event_pending_, and answer_ of the replies
  std::condition_variable changed_;
  bool event_pending_ = false;
};

// The reply of one query, delivered by the coordinator and awaited by the request's worker.
class WaitingReply : public coordinator::ClientReply {
 public:
  enum class WaitResult {
    kAnswered,
    kDisconnected,  // the client has closed its connection
    kDeadline,      // no answer by the deadline
    kPipelined,     // the client sent more bytes before it was answered
  };

  explicit WaitingReply(std::shared_ptr<ReplyWaiter> reply_waiter) : reply_waiter_(std::move(reply_waiter)) {}
  void Deliver(coordinator::FinalAnswer answer) override;
  // Blocks the worker. `connection` is the connection of the request.
  WaitResult Wait(ClientConnection& connection, const coordinator::Clock& clock, Micros deadline_us);
  // Valid only after Wait has returned kAnswered.
  coordinator::FinalAnswer& answer() { return *answer_; }

 private:
  const std::shared_ptr<ReplyWaiter> reply_waiter_;
  std::optional<coordinator::FinalAnswer> answer_;  // under the waiter's lock
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_REPLY_WAITER_H_
