// Serves short administrative requests at an address of its own: one request a connection, answered at once
// by a function that does not block. One thread of its own does all of it, so that load on the other
// listeners does not delay it. Clients that send nothing or stop half way are bounded in number, time and
// bytes.
#ifndef LIFTRUDDER_NET_ADMIN_SERVER_H_
#define LIFTRUDDER_NET_ADMIN_SERVER_H_

#include <atomic>
#include <functional>
#include <list>
#include <string>

#include "net/http.h"
#include "net/socket.h"
#include "net/waker.h"

namespace liftrudder::net {

class AdminServer {
 public:
  static constexpr int kMaxConnections = 12;
  // Descriptors that it may hold: also the listener, a connection being accepted, the poll and the waker.
  static constexpr int kDescriptors = kMaxConnections + 4;

  // Called on the server's thread, and on no other.
  using Answer = std::function<HttpResponse(const HttpMessage& request)>;
  AdminServer(Fd listener, Answer answer);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

 private:
  struct Connection {
    Connection();
    std::list<Connection>::iterator self;
    Fd fd;
    Micros deadline_us = 0;
    bool answered = false;  // it is only read to its end, so that no reset loses the response
    HttpParser parser;
    std::string unparsed;
  };

  void Run();
  void HandleEvent(Connection& connection);
  void AcceptSome();
  void Receive(Connection& connection);
  void Reply(Connection& connection, const HttpResponse& response);
  void DiscardInput(Connection& connection);
  void Close(Connection& connection);
  void CloseExpired(Micros now_us);

  const Answer answer_;
  const SteadyClock clock_;
  const Fd listener_;
  const Fd epoll_;
  const Waker waker_;
  std::list<Connection> connections_;  // the server's thread's; the oldest first
  std::atomic<bool> stopping_{false};
  Thread thread_;  // last: it uses everything above
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ADMIN_SERVER_H_
