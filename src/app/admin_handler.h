// What operators' tools ask of a gatherer at its second address: is it ready, its figures, take it out of
// service and back. Decides only which call is which; it waits for nothing, so it may run on the thread of
// the calls. Never on a client's.
#ifndef LIFTRUDDER_APP_ADMIN_HANDLER_H_
#define LIFTRUDDER_APP_ADMIN_HANDLER_H_

#include <functional>
#include <mutex>

#include "metrics/operator_figures.h"
#include "net/http.h"
#include "net/server.h"

namespace liftrudder::app {

class AdminHandler {
 public:
  // `refresh`: brings the figures up to date that are not counted but looked up.
  AdminHandler(metrics::OperatorFigures& figures, std::function<void()> refresh)
      : figures_(figures), refresh_(std::move(refresh)) {}

  // From then on there is something to be ready; null: not any more, it ends.
  void Attach(net::Server* server);
  net::HttpResponse Answer(const net::HttpMessage& call);

 private:
  net::HttpResponse SetAside(bool aside);

  metrics::OperatorFigures& figures_;
  const std::function<void()> refresh_;
  std::mutex mutex_;
  net::Server* server_ = nullptr;
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_ADMIN_HANDLER_H_
