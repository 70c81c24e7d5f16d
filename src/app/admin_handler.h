// The requests of operators' tools at the admin address: health, figures, draining and its end. Recognizes
// the request and waits for nothing, so it may run on the admin server's only thread. It is never reachable
// through a client's address.
#ifndef LIFTRUDDER_APP_ADMIN_HANDLER_H_
#define LIFTRUDDER_APP_ADMIN_HANDLER_H_

#include <functional>
#include <mutex>
#include <utility>

#include "metrics/operator_figures.h"
#include "net/http.h"
#include "net/server.h"

namespace liftrudder::app {

class AdminHandler {
 public:
  // `refresh` brings the figures up to date that are looked up and not counted. `figures` outlives the
  // handler.
  AdminHandler(metrics::OperatorFigures& figures, std::function<void()> refresh)
      : figures_(figures), refresh_(std::move(refresh)) {}

  // The server whose health is reported and that is drained; null before it starts and once it shuts down.
  void Attach(net::Server* server);
  net::HttpResponse Answer(const net::HttpMessage& request);

 private:
  net::HttpResponse Health();
  net::HttpResponse SetDraining(bool draining);
  net::HttpResponse FiguresText();

  metrics::OperatorFigures& figures_;
  const std::function<void()> refresh_;
  std::mutex mutex_;
  net::Server* server_ = nullptr;  // guarded by mutex_
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_ADMIN_HANDLER_H_
