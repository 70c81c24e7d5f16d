// Stand-ins for the search API: a record holder that speaks it, and a client.
#ifndef LIFTRUDDER_REVIEW_SUPPORT_2_SEARCH_STAND_INS_H_
#define LIFTRUDDER_REVIEW_SUPPORT_2_SEARCH_STAND_INS_H_

#include "stand_ins.h"

namespace review {

// A record holder that answers each request with 200, the body that `answer` returns, and the request's
// X-Opaque-Id.
class SearchHolder {
 public:
  using Answer = std::function<std::string(const HttpRequest&)>;

  explicit SearchHolder(Answer answer)
      : answer_(std::move(answer)),
        server_([this](const std::shared_ptr<Socket>& socket, const std::atomic<bool>& stopping) {
          Serve(*socket, stopping);
        }) {}
  int port() const { return server_.port(); }

 private:
  void Serve(const Socket& socket, const std::atomic<bool>& stopping) const {
    std::string pending;
    while (auto request = ReadRequest(socket, pending, stopping)) {
      std::string body = answer_(*request);
      HttpReply head;  // for its look-up of headers
      head.head = request->head;
      std::string text =
          "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Opaque-Id: " + head.Header("x-opaque-id") +
          "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      if (!WriteAll(socket, text)) return;
    }
  }

  Answer answer_;
  ConnectionServer server_;
};

// Sends one request on a connection of its own.
inline HttpReply Post(int port, const std::string& target, const std::string& body) {
  Socket socket = ConnectTo(port);
  if (!socket.Valid()) throw CouldNotRun("the program refuses connections");
  WriteAll(socket, "POST " + target +
                       " HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
  return ReadReply(socket, 12);
}

}  // namespace review

#endif  // LIFTRUDDER_REVIEW_SUPPORT_2_SEARCH_STAND_INS_H_
