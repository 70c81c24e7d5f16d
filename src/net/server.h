// Listens, reads requests on one thread and answers each on one of its own, and knows when nothing is open
// any more.
#ifndef LIFTRUDDER_NET_SERVER_H_
#define LIFTRUDDER_NET_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordinator/interfaces.h"
#include "metrics/metrics.h"
#include "net/client_connection.h"
#include "net/http.h"
#include "net/lingering_closer.h"
#include "net/socket.h"

namespace liftrudder::net {

using coordinator::AnsweredQuery;

// Where a worker waits for the answers to one request. The door's thread goes on looking at the connection
// and stirs the worker when something is to be seen there; a client that has gone is marked so at once,
// before any worker runs.
class ReplyWaiter {
 public:
  // `look_again`: the connection is to be watched on, after what was seen there turned out to be nothing.
  explicit ReplyWaiter(std::function<void()> look_again) : look_again_(std::move(look_again)) {}
  const std::shared_ptr<coordinator::ClientPresence>& client() const { return client_; }
  void Stir(bool gone);

 private:
  friend class WaitingReply;
  const std::function<void()> look_again_;
  const std::shared_ptr<coordinator::ClientPresence> client_ =
      std::make_shared<coordinator::ClientPresence>();
  std::mutex mutex_;
  std::condition_variable came_;  // an answer, or a stir
  bool stirred_ = false;
};

// What a handler knows of the connection it answers on.
struct Exchange {
  ClientConnection* line = nullptr;  // to see the client go, and who it is
  Micros received_us = 0;            // when the request's first byte was seen
  bool draining = false;
  std::vector<AnsweredQuery>* answered_queries = nullptr;      // the handler enters which queries its response answers
  std::shared_ptr<ReplyWaiter> reply_waiter;  // to wait at
};

class Handler {
 public:
  virtual ~Handler() = default;
  // Nothing: the client has gone, and the connection ends without an answer. The request is the handler's to
  // empty: while an answer is waited for, its bytes need not be held twice.
  virtual std::optional<HttpResponse> Handle(HttpMessage& request, const Exchange& exchange) = 0;
  // What a request gets that cannot be read, 400, or did not come in time, 408.
  virtual HttpResponse Malformed(int status) = 0;
  // `request`: null where nothing has been read yet.
  virtual HttpResponse Overloaded(const HttpMessage* request) = 0;
  // A response has been written, to its end or not; on the thread that wrote it.
  virtual void Wrote(const std::vector<AnsweredQuery>& answered_queries, int status, std::size_t bytes, bool whole) = 0;
};

struct ServerLimits {
  int connections = 0;  // open at once
  int requests = 0;     // read or answered at once
};

class Server {
 public:
  Server(Fd listener, Handler& handler, const coordinator::Clock& clock, metrics::Counters& counters,
         const ServerLimits& limits, const TlsSource* tls = nullptr);
  ~Server();

  // What is open beyond that stays until it is idle.
  void Resize(const ServerLimits& limits);
  // From then on it says that it is not ready, and serves on until StopListening: then connections end when
  // nothing is open on them.
  void Drain() { draining_ = true; }
  // Out of service for a while, and back: not ready, and from soon after the connections end one by one, each
  // behind its answer or while nothing is on it. Whoever comes all the same is served. False: it was so
  // already.
  bool SetAside(bool aside);
  bool Ready() const { return !draining_ && aside_us_ == 0; }
  // Takes nobody in any more; those who are there are served on, and told that their connection ends.
  void LeaveListener() { left_listener_ = true; }
  // No more of them come in. Every request that has, or has begun to, is answered.
  void StopListening();
  // Whether all connections have ended within that time, and every client has its answer or is out of time.
  bool WaitClosed(Micros wait_us);

 private:
  // New: nothing has been answered on it yet. Busy: a worker has its request.
  enum class Phase { kNew, kBusy, kIdle };
  using Number = std::uint64_t;  // a session's; never given twice, so that late events find nothing
  struct Session {
    Number number = 0;
    ClientConnection line;
    Phase phase = Phase::kNew;
    Micros since_us = 0;     // in this phase
    Micros until_us = 0;     // when a request must have come
    Micros received_us = 0;  // when its first byte was seen
    HttpParser parser{HttpParser::Kind::kRequest};
    std::string pending;
    std::shared_ptr<ReplyWaiter> reply_waiter;  // while it is busy
  };
  using Place = std::list<Session>::iterator;

  // The door's thread: takes connections and requests in, and ends those that are due.
  void RunReader();
  bool TakeIn();
  bool EndUnused(Micros now);
  void Happened(Number number, bool gone);
  void Receive(Place place);
  void HandOver(Place place);
  bool MakeRoom(Micros now);
  void EndOverdue(Micros now);
  void Arm(const Session& session, int how, std::uint32_t what);
  void Reject(Place place, const HttpResponse& response);
  ClientConnection Remove(Place place);
  void TurnAway(ClientConnection client);
  bool Leaving() const;
  void LimitShaking();

  // A worker's thread: one request at a time, until there have been none for a while.
  void Work();
  void Answer(Place place, std::vector<AnsweredQuery>& answered_queries);
  void Restart(Place place);

  Fd listener_;
  Handler& handler_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;
  std::atomic<int> most_connections_, most_requests_;
  const TlsSource* tls_;  // null: none
  LingeringCloser lingering_closer_;
  Fd epoll_;
  std::atomic<bool> draining_{false}, left_listener_{false};
  std::atomic<Micros> aside_us_{0};  // since when; 0: in service
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable left_, work_;
  std::list<Session>
      sessions_;  // the door's thread's, those that are busy their worker's; the list under the lock
  std::unordered_map<Number, Place> places_;  // under the lock
  Number given_ = 0;                          // the door's
  std::deque<Place> ready_;                   // busy, and no worker's yet
  int busy_ = 0, workers_ = 0, idle_workers_ = 0;
  bool reader_ended_ = false;  // under the lock
  Micros looked_us_ = 0;       // the door's: when it last looked for what is overdue
  Thread reader_thread_;
};

// A client's place to wait; see coordinator::ClientReply.
class WaitingReply : public coordinator::ClientReply {
 public:
  explicit WaitingReply(std::shared_ptr<ReplyWaiter> reply_waiter) : reply_waiter_(std::move(reply_waiter)) {}
  void Deliver(coordinator::FinalAnswer answer) override;

  // Crowded: the client has written more although its answer is still out.
  enum class End { kAnswered, kGone, kLate, kCrowded };
  // Until the answer is there, the client has gone, or `deadline_us` has come.
  End Wait(ClientConnection& client, const coordinator::Clock& clock, Micros deadline_us);
  coordinator::FinalAnswer& answer() { return *answer_; }

 private:
  const std::shared_ptr<ReplyWaiter> reply_waiter_;
  std::optional<coordinator::FinalAnswer> answer_;  // under the vigil's lock
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_SERVER_H_
