// Accepts client connections on one listener, reads requests on one reader thread, and answers each on a
// worker's thread through a Handler. It bounds connections and requests, serves plain TCP or TLS, and drains
// and stops without losing a request. What is answered is the Handler's.
//
// Threads: the reader thread owns all sessions that are not busy, and the listener. A worker owns a busy
// session until it has answered the request. Public calls come from any thread.
#ifndef LIFTRUDDER_NET_SERVER_H_
#define LIFTRUDDER_NET_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "coordinator/interfaces.h"
#include "metrics/metrics.h"
#include "net/client_session.h"
#include "net/handler.h"
#include "net/lingering_closer.h"
#include "net/socket.h"
#include "net/worker_pool.h"

namespace liftrudder::net {

struct ServerLimits {
  int connections = 0;  // open at once
  int requests = 0;     // in progress at once
};

class Server {
 public:
  // `tls` null: plain TCP. All references and `tls` outlive the server.
  Server(Fd listener, Handler& handler, const coordinator::Clock& clock, metrics::Counters& counters,
         const ServerLimits& limits, const TlsSource* tls = nullptr);
  // Drains, stops listening and waits until all connections have ended.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Connections and requests beyond smaller limits end on their own.
  void Resize(const ServerLimits& limits);
  // The process is about to stop: reports not ready, and keeps serving until StopListening.
  void Drain() { draining_ = true; }
  // An operator drains the server, or ends that. While it lasts the server reports not ready; after a delay
  // that lets load balancers notice, connections are closed after their response or while idle, and new ones
  // are still served. False when that was its state already.
  bool SetAdminDrain(bool draining);
  bool Ready() const { return !draining_ && admin_drain_since_us_ == 0; }
  // Accepts no more connections, for another process accepts them on the same listener. Those that are open
  // are served and closed after their next response.
  void StopAccepting() { accepting_stopped_ = true; }
  // Accepts what is in the listener's backlog, then closes it. Every request that has begun to arrive is
  // answered, and its connection closed.
  void StopListening();
  // After StopListening: whether all connections have ended within that time, responses taken in by their
  // clients or out of time. The process may exit then.
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
  void LimitHandshakes();
  void Receive(SessionRef session);
  bool ReadRequest(SessionRef session);
  void Submit(SessionRef session);
  bool TrySubmit(SessionRef session);
  std::shared_ptr<ReplyWaiter> NewReplyWaiter(SessionId id);
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

  static constexpr SessionId kListenerEvent = 0;  // the poll's tag of the listener; no session's id

  Fd listener_;  // the reader thread's
  Handler& handler_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;
  std::atomic<int> max_connections_;
  std::atomic<int> max_requests_;
  const TlsSource* tls_;  // null: plain TCP
  LingeringCloser lingering_closer_;
  Fd epoll_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> accepting_stopped_{false};
  std::atomic<Micros> admin_drain_since_us_{0};  // 0: not drained by an operator
  std::atomic<bool> stopping_{false};            // set under the lock

  std::mutex mutex_;                // guards everything below, but as stated
  std::condition_variable closed_;  // a session, a worker or the reader thread has ended
  SessionList sessions_;            // the list; a session itself belongs to the reader thread or its worker
  std::unordered_map<SessionId, SessionRef> sessions_by_id_;
  int busy_sessions_ = 0;
  bool reader_ended_ = false;
  WorkerPool workers_;
  SessionId last_id_ = 0;      // the reader thread's, no lock
  Micros last_expiry_us_ = 0;  // the reader thread's, no lock: when it last looked for expired sessions
  Thread reader_thread_;       // last: it uses everything above
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_SERVER_H_
