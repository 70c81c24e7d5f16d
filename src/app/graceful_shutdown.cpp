#include "app/graceful_shutdown.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "log/log.h"

namespace liftrudder::app {
namespace {

using coordinator::Micros;

// How long clients are still accepted after the process reports that it is not ready, since load balancers
// notice late.
constexpr Micros kListenAfterDrainUs = 700'000;
constexpr Micros kSignalPollUs = 50'000;  // longest interval between checks for signals

void HandlePendingReload(const ShutdownContext& context) {
  if (context.signals.WaitFor(0) == ControlSignal::kReload) context.reloader.Reload();
}

void KeepListening(const ShutdownContext& context) {
  const Micros until_us = context.clock.Now() + kListenAfterDrainUs;
  for (Micros left_us = kListenAfterDrainUs; left_us > 0; left_us = until_us - context.clock.Now()) {
    std::this_thread::sleep_for(std::chrono::microseconds(std::min(left_us, kSignalPollUs)));
    HandlePendingReload(context);
  }
}

}  // namespace

void ShutDownGracefully(net::Server& server, const ShutdownContext& context, int open_queries) {
  server.Drain();
  if (context.listener_is_shared) server.StopAccepting();
  log::Info("shutting down; {} queries are in flight", open_queries);
  KeepListening(context);
  server.StopListening();
  while (!server.WaitClosed(kSignalPollUs)) HandlePendingReload(context);
}

}  // namespace liftrudder::app
