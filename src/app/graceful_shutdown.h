// Takes a serving coordinator out of service without losing a request. Decides nothing about queries. Main
// thread only.
#ifndef LIFTRUDDER_APP_GRACEFUL_SHUTDOWN_H_
#define LIFTRUDDER_APP_GRACEFUL_SHUTDOWN_H_

#include "app/reload.h"
#include "app/signals.h"
#include "coordinator/interfaces.h"
#include "net/server.h"

namespace liftrudder::app {

struct ShutdownContext {
  const ControlSignals& signals;
  const coordinator::Clock& clock;
  Reloader& reloader;
  bool listener_is_shared = false;  // another process holds the listener too and accepts from it
};

// 1. The server reports that it is not ready, and goes on listening for 0.7 s: load balancers and clients
//    learn of the shutdown late, and whoever connects meanwhile is served. A shared listener is left to the
//    other process at once.
// 2. It stops listening.
// 3. It returns when every connection has closed; each request that has begun to arrive is answered.
// SIGHUP is still obeyed all the while, since requests go on needing endpoints; other signals are ignored.
void ShutDownGracefully(net::Server& server, const ShutdownContext& context, int open_queries);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_GRACEFUL_SHUTDOWN_H_
