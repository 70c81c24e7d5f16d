// Answers operators' requests at the admin address: health, figures, and starting and ending a drain. It
// never blocks, so it may run on the admin server's only thread. It is not reachable through clients'
// addresses.
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
  // `refresh` updates the figures that are sampled, not counted. `figures` outlives the handler.
  AdminHandler(metrics::OperatorFigures& figures, std::function<void()> refresh)
      : figures_(figures), refresh_(std::move(refresh)) {}

  // Sets the server whose health is reported and that is drained; null before start-up and during shutdown.
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
