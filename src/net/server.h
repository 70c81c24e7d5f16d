// Listens, gives each client connection a thread of its own, and knows when nothing is open any more.
#ifndef LIFTRUDDER_NET_SERVER_H_
#define LIFTRUDDER_NET_SERVER_H_

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "core/ports.h"
#include "metrics/metrics.h"
#include "net/http.h"
#include "net/socket.h"

namespace liftrudder::net {

// What a handler knows of the connection it answers on.
struct Exchange {
  int client = -1;            // to see the client go
  std::shared_ptr<Fd> waker;  // an eventfd, signalled when an answer has come
  Micros received_us = 0;     // when the request's first byte was seen
  bool draining = false;
};

class Handler {
 public:
  virtual ~Handler() = default;
  // Nothing: the client has gone, and the connection ends without an answer.
  virtual std::optional<HttpResponse> Handle(const HttpMessage& request, const Exchange& exchange) = 0;
  virtual HttpResponse Malformed() = 0;
  virtual HttpResponse Overloaded() = 0;
};

class Server {
 public:
  Server(Fd listener, Handler& handler, const core::Clock& clock, metrics::Counters& counters,
         int max_connections);
  ~Server();

  // From then on every answer closes its connection; new ones come in until StopListening.
  void Drain() { draining_ = true; }
  void StopListening();
  // Whether all connections have ended within that time.
  bool WaitClosed(Micros wait_us);

 private:
  void AcceptLoop();
  void Serve(Fd client);
  // The next request; nothing when the connection is to end.
  bool ReadRequest(const Fd& client, std::string& pending, HttpParser& parser, Micros& received_us);
  void Leave();

  Fd listener_;
  Handler& handler_;
  const core::Clock& clock_;
  metrics::Counters& counters_;
  const int max_connections_;
  std::atomic<bool> draining_{false};
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable left_;
  int connections_ = 0;
  Thread accept_thread_;
};

// A client's place to wait; see core::ClientReply.
class WaitingReply : public core::ClientReply {
 public:
  explicit WaitingReply(std::shared_ptr<Fd> waker) : waker_(std::move(waker)) {}
  void Deliver(core::FinalAnswer answer) override;

  enum class End { kAnswered, kGone, kLate };
  // Until the answer is there, the client has gone, or `deadline_us` has come.
  End Wait(int client, const core::Clock& clock, Micros deadline_us);
  core::FinalAnswer& answer() { return *answer_; }

 private:
  std::shared_ptr<Fd> waker_;
  std::mutex mutex_;
  std::optional<core::FinalAnswer> answer_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_SERVER_H_
