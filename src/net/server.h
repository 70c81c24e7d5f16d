// Listens, gives each client connection a thread of its own, and knows when nothing is open any more.
#ifndef LIFTRUDDER_NET_SERVER_H_
#define LIFTRUDDER_NET_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "core/ports.h"
#include "metrics/metrics.h"
#include "net/http.h"
#include "net/lingerer.h"
#include "net/socket.h"

namespace liftrudder::net {

// What a handler knows of the connection it answers on.
struct Exchange {
  int client = -1;         // to see the client go
  Micros received_us = 0;  // when the request's first byte was seen
  bool draining = false;
};

class Handler {
 public:
  virtual ~Handler() = default;
  // Nothing: the client has gone, and the connection ends without an answer. The request is the handler's to
  // empty: while an answer is waited for, its bytes need not be held twice.
  virtual std::optional<HttpResponse> Handle(HttpMessage& request, const Exchange& exchange) = 0;
  virtual HttpResponse Malformed() = 0;
  virtual HttpResponse Overloaded() = 0;
};

struct ServerLimits {
  int connections = 0;  // open at once
  int requests = 0;     // read or answered at once
};

class Server {
 public:
  Server(Fd listener, Handler& handler, const core::Clock& clock, metrics::Counters& counters,
         const ServerLimits& limits);
  ~Server();

  // From then on every answer closes its connection; new ones come in until StopListening.
  void Drain() { draining_ = true; }
  void StopListening();
  // Whether all connections have ended within that time.
  bool WaitClosed(Micros wait_us);

 private:
  // New: nothing has been answered on it yet. Busy: a request is being read or answered.
  enum class Phase { kNew, kBusy, kIdle };
  struct Session {
    int fd = -1;
    Phase phase = Phase::kNew;
    Micros since_us = 0;
    bool told = false;  // told to end
  };
  using Place = std::list<Session>::iterator;
  enum class Came { kRequest, kNothing, kBad, kLate };

  void AcceptLoop();
  // A place for a connection; nothing when all are taken by requests or by ones that are just ending.
  std::optional<Place> Enter(int fd);
  void MakeRoom(Micros now);
  bool Turn(Place place, Phase phase);
  void Release(Place place);
  void Leave(Place place);
  void TurnAway(Fd client);
  bool Serve(const Fd& client, Place place);
  Came ReadRequest(const Fd& client, Place place, std::string& pending, HttpParser& parser,
                   Micros& received_us);

  Fd listener_;
  Handler& handler_;
  const core::Clock& clock_;
  metrics::Counters& counters_;
  const ServerLimits limits_;
  Lingerer lingerer_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable left_;
  std::list<Session> sessions_;
  int told_ = 0, busy_ = 0;  // of the sessions
  Thread accept_thread_;
};

// A client's place to wait; see core::ClientReply.
class WaitingReply : public core::ClientReply {
 public:
  void Deliver(core::FinalAnswer answer) override;

  // Crowded: the client has written more although its answer is still out.
  enum class End { kAnswered, kGone, kLate, kCrowded };
  // Until the answer is there, the client has gone, or `deadline_us` has come.
  End Wait(int client, const core::Clock& clock, Micros deadline_us);
  core::FinalAnswer& answer() { return *answer_; }

 private:
  std::mutex mutex_;
  std::condition_variable came_;
  std::optional<core::FinalAnswer> answer_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_SERVER_H_
