// Accepts client connections on one listener, reads requests on one reader thread, and answers each on a
// worker's thread with the response of a Handler. Bounds connections and requests, serves plain TCP or TLS,
// and drains and stops without losing a request.
//
// Threads: the reader thread owns all sessions that are not busy, and the listener. A worker owns a busy
// session until it has answered the request. Public calls come from any thread.
#ifndef LIFTRUDDER_NET_SERVER_H_
#define LIFTRUDDER_NET_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <limits>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "coordinator/interfaces.h"
#include "metrics/metrics.h"
#include "net/client_session.h"
#include "net/handler.h"
#include "net/lingering_closer.h"
#include "net/socket.h"
#include "net/worker_pool.h"

namespace liftrudder::net {

constexpr Micros kNoTimeLimit = std::numeric_limits<Micros>::max();

struct ServerLimits {
  int connections = 0;  // open at once
  int requests = 0;     // in progress at once
};

class Server {
 public:
  // `tls` null: plain TCP. All references and `tls` must outlive the server.
  Server(Fd listener, Handler& handler, const coordinator::Clock& clock, metrics::Counters& counters,
         const ServerLimits& limits, const ReloadableTlsContext* tls = nullptr);
  // Drains, stops listening and waits until all connections have ended.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Applies new limits. Beyond a lower limit, requests are still answered and idle connections are closed.
  void Resize(const ServerLimits& limits);
  // Called when the process is about to stop: reports not ready, but keeps serving until StopListening. A
  // request that is not complete at `answer_by_us` is rejected then, since its last byte could come too late
  // for an answer.
  void Drain(Micros answer_by_us = kNoTimeLimit) {
    answer_by_us_ = answer_by_us;
    draining_ = true;
  }
  // Starts or ends a drain by an operator. During the drain the server reports not ready; after a delay that
  // lets load balancers notice, connections are closed after their response or while idle, and new ones are
  // still served. Returns false if the state did not change.
  bool SetAdminDrain(bool draining);
  bool Ready() const { return !draining_ && admin_drain_since_us_ == 0; }
  // Stops accepting connections, because another process accepts them on the same listener. Open connections
  // are served and closed after their next response.
  void StopAccepting() { accepting_stopped_ = true; }
  // Accepts the connections in the listener's backlog, then closes the listener. Every request that has begun
  // to arrive is answered, then its connection is closed.
  void StopListening();
  // Called after StopListening: waits until all connections have ended, each response having been received by
  // its client or having timed out. The process may then exit. Returns false if `wait_us` passes before that.
  bool WaitClosed(Micros wait_us);

 private:
  // The reader thread.
  void RunReader();
  bool HandleEvents(int wait_ms);
  void HandleSessionEvent(SessionId id, bool disconnected);
  bool AcceptSome();
  void AddSession(ClientConnection connection, Micros now_us);
  bool CloseUnused(Micros now_us);
  void CloseExpired(Micros now_us);
  void RejectUnfinished(Micros now_us);
  std::vector<SessionRef> OwnedSessions();
  void LimitHandshakes();
  void Receive(SessionRef session);
  bool ReadRequest(SessionRef session);
  void Submit(SessionRef session);
  bool TrySubmit(SessionRef session);
  std::shared_ptr<ReplyWaiter> NewReplyWaiter(const ClientSession& session);
  void RejectConnection(ClientConnection connection);
  void RejectAndClose(SessionRef session, const HttpResponse& response);

  // A worker's thread.
  void Answer(SessionRef session);
  void Respond(SessionRef session);

  // Either thread, on a session that it owns.
  void AwaitNextRequest(SessionRef session);
  ClientConnection Remove(SessionRef session);
  void CloseGracefully(SessionRef session);
  bool ClosesAfterResponse() const;
  void Control(int operation, const ClientSession& session, std::uint32_t interest) const;
  void AwaitReadable(const ClientSession& session) const;

  static constexpr SessionId kListenerEvent = 0;  // the listener's epoll tag; never a session's id

  Fd listener_;  // reader thread only
  Handler& handler_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;
  std::atomic<int> max_connections_;
  std::atomic<int> max_requests_;
  const ReloadableTlsContext* tls_;  // null: plain TCP
  LingeringCloser lingering_closer_;
  Fd epoll_;
  std::atomic<bool> draining_{false};
  std::atomic<Micros> answer_by_us_{kNoTimeLimit};  // see Drain
  std::atomic<bool> accepting_stopped_{false};
  std::atomic<Micros> admin_drain_since_us_{0};  // 0: not drained by an operator
  std::atomic<bool> stopping_{false};            // set under the lock

  std::mutex mutex_;                // guards everything below, except as stated
  std::condition_variable closed_;  // a session, a worker or the reader thread has ended
  SessionList sessions_;            // the list only; a session is owned by the reader thread or its worker
  std::unordered_map<SessionId, SessionRef> sessions_by_id_;
  int busy_sessions_ = 0;
  bool reader_ended_ = false;
  WorkerPool workers_;
  SessionId last_id_ = 0;            // reader thread only, no lock
  Micros last_expiry_check_us_ = 0;  // reader thread only, no lock: the last check for expired sessions
  Thread reader_thread_;             // declared last: the thread uses all members above
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_SERVER_H_
