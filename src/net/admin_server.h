// Answers short calls at an address of its own: one call a connection, each answered at once by a function
// that waits for nothing. One thread of its own does it all, so that no load on the other addresses delays
// it; it never touches a client's connection. Callers that say nothing or stop half way are bounded in
// number, time and bytes.
#ifndef LIFTRUDDER_NET_ADMIN_SERVER_H_
#define LIFTRUDDER_NET_ADMIN_SERVER_H_

#include <atomic>
#include <functional>
#include <list>
#include <string>

#include "net/http.h"
#include "net/socket.h"

namespace liftrudder::net {

class AdminServer {
 public:
  // Descriptors it may hold beside its listener.
  static constexpr int kMostCallers = 12;
  static constexpr int kDescriptors = kMostCallers + 4;  // the listener, the one being taken, poll and waker

  // On the server's thread, and on no other.
  using Answer = std::function<HttpResponse(const HttpMessage& request)>;
  AdminServer(Fd listener, Answer answer);
  ~AdminServer();

 private:
  struct Caller {
    std::list<Caller>::iterator self;
    Fd fd;
    Micros until_us = 0;
    bool answered = false;  // read to its end only, so that the answer is not lost to a reset
    HttpParser parser;
    std::string pending;
    Caller();
  };
  void Loop();
  void TakeIn();
  void Handle(Caller& caller);
  void Reply(Caller& caller, const HttpResponse& response);
  void EndOverdue(Micros now);

  const Answer answer_;
  SteadyClock clock_;
  Fd listener_, epoll_, waker_;
  std::list<Caller> authenticator_;  // in the order in which they came
  std::atomic<bool> stopping_{false};
  Thread thread_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ADMIN_SERVER_H_
