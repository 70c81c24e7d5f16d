// Takes a serving coordinator out of service without losing a request. Main thread only.
#ifndef LIFTRUDDER_APP_GRACEFUL_SHUTDOWN_H_
#define LIFTRUDDER_APP_GRACEFUL_SHUTDOWN_H_

#include "app/reload.h"
#include "app/signals.h"
#include "coordinator/coordinator.h"
#include "coordinator/interfaces.h"
#include "limits/shutdown_timeouts.h"
#include "net/server.h"

namespace liftrudder::app {

using coordinator::Micros;

struct ShutdownContext {
  const ControlSignals& signals;
  const coordinator::Clock& clock;
  Reloader& reloader;
  limits::ShutdownTimeouts timeouts;
  Micros terminated_us = 0;         // when the process received SIGTERM
  bool listener_is_shared = false;  // another process accepts on the same listener
};

// 1. The server reports that it is not ready. It accepts new clients for another 0.7 s, since load balancers
//    and clients notice the shutdown late; if the listener is shared, it stops accepting at once, and the
//    other process accepts them.
// 2. It stops listening.
// 3. It returns when every connection has closed; each request that has begun to arrive is answered, within
//    `timeouts.answer_within_us`.
// SIGHUP is handled throughout, since open requests still need endpoints; other signals are ignored.
void ShutDownGracefully(net::Server& server, coordinator::Coordinator& coordinator,
                        const ShutdownContext& context);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_GRACEFUL_SHUTDOWN_H_
