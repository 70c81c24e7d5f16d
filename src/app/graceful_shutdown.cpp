#include "app/graceful_shutdown.h"

#include <algorithm>
#include <chrono>
#include <thread>

#include "log/log.h"

namespace liftrudder::app {
namespace {

constexpr Micros kSignalPollUs = 50'000;  // longest interval between checks for signals
constexpr double kUsPerSecond = 1e6;

double Seconds(Micros span_us) { return static_cast<double>(span_us) / kUsPerSecond; }

void HandlePendingReload(const ShutdownContext& context) {
  if (context.signals.WaitFor(0) == ControlSignal::kReload) context.reloader.Reload();
  context.reloader.Retry();
}

void KeepListening(const ShutdownContext& context) {
  const Micros until_us = context.terminated_us + context.timeouts.listen_us;
  while (true) {
    const Micros left_us = until_us - context.clock.Now();
    if (left_us <= 0) return;
    std::this_thread::sleep_for(std::chrono::microseconds(std::min(left_us, kSignalPollUs)));
    HandlePendingReload(context);
  }
}

}  // namespace

void ShutDownGracefully(net::Server& server, coordinator::Coordinator& coordinator,
                        const ShutdownContext& context) {
  const limits::ShutdownTimeouts& timeouts = context.timeouts;
  const Micros answer_by_us = context.terminated_us + timeouts.answer_within_us;
  server.Drain(answer_by_us);
  if (context.listener_is_shared) server.StopAccepting();
  coordinator.BeginShutdown(answer_by_us);
  log::Info(
      "shutting down; {} queries are in flight; answers are sure for {:.3f} s, "
      "SIGKILL may come after {:.3f} s (the longest client timeout is {:.3f} s)",
      coordinator.OpenQueries(), Seconds(timeouts.answer_within_us), Seconds(timeouts.kill_us),
      Seconds(timeouts.longest_client_timeout_us));
  KeepListening(context);
  server.StopListening();
  while (!server.WaitClosed(kSignalPollUs)) HandlePendingReload(context);
}

}  // namespace liftrudder::app
