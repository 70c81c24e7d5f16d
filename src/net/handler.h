// The interface that a front implements to answer the requests that a Server reads.
#ifndef LIFTRUDDER_NET_HANDLER_H_
#define LIFTRUDDER_NET_HANDLER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <vector>

#include "coordinator/interfaces.h"
#include "net/client_connection.h"
#include "net/http.h"
#include "net/reply_waiter.h"

namespace liftrudder::net {

using coordinator::AnsweredQuery;

// The context of one request. Valid during Handler::Handle.
struct Exchange {
  ClientConnection* connection = nullptr;  // the handler may inspect it but must not write to it
  Micros received_us = 0;  // when the request's last byte arrived; the client's timeout counts from then
  bool draining = false;
  std::vector<AnsweredQuery>* answered_queries = nullptr;  // the handler adds the queries it answers
  std::shared_ptr<ReplyWaiter> reply_waiter;
};

class Handler {
 public:
  virtual ~Handler() = default;
  // Answers one request on a worker's thread; may block. Returns nullopt if the client has disconnected; the
  // connection is then closed without a response. May move parts out of `request`, so that its bytes are not
  // held twice while it waits for an answer.
  virtual std::optional<HttpResponse> Handle(HttpMessage& request, const Exchange& exchange) = 0;
  // The response to a request that cannot be parsed (400) or did not arrive in time (408). Called on the
  // reader thread; must not block.
  virtual HttpResponse MalformedResponse(int status) = 0;
  // The response to a rejected request. `request` is null if nothing has been read. Called on the reader
  // thread; must not block.
  virtual HttpResponse OverloadedResponse(const HttpMessage* request) = 0;
  // The response to a request that is not complete when a shutdown leaves no time for it. Called on the
  // reader thread; must not block.
  virtual HttpResponse ShuttingDownResponse() = 0;
  // Called on the worker's thread after `bytes` of a response were written; `complete` says whether that is
  // all of it.
  virtual void OnResponseWritten(const std::vector<AnsweredQuery>& answered_queries, int status,
                                 std::size_t bytes, bool complete) = 0;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_HANDLER_H_
