// Serves administrative requests on a separate address: one request per connection, answered by a callback
// that must not block. A dedicated thread does all work, so load on the other listeners does not delay it.
// Connections are limited in number, time and bytes, which bounds the resources held by clients that send
// nothing or stop halfway.
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
  // The most descriptors that it holds: besides the connections, the listener, a connection being accepted,
  // the epoll instance and the waker.
  static constexpr int kMaxDescriptors = kMaxConnections + 4;

  // Called on the server's thread only.
  using RequestHandler = std::function<HttpResponse(const HttpMessage& request)>;
  AdminServer(Fd listener, RequestHandler handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

 private:
  struct Connection {
    Connection();
    std::list<Connection>::iterator self;
    Fd fd;
    Micros deadline_us = 0;
    bool response_sent = false;  // input is now discarded, so that a reset does not lose the response
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

  const RequestHandler handler_;
  const SteadyClock clock_;
  const Fd listener_;
  const Fd epoll_;
  const Waker waker_;
  std::list<Connection> connections_;  // server thread only; oldest first
  std::atomic<bool> stopping_{false};
  Thread thread_;  // declared last: the thread uses all members above
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ADMIN_SERVER_H_
