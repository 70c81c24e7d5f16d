#include "app/signals.h"

#include <pthread.h>

#include <csignal>
#include <ctime>

namespace liftrudder::app {
namespace {

constexpr coordinator::Micros kMicrosPerSecond = 1'000'000;
constexpr coordinator::Micros kNanosPerMicro = 1000;

ControlSignal FromNumber(int number) {
  switch (number) {
    case SIGHUP:
      return ControlSignal::kReload;
    case SIGUSR1:
      return ControlSignal::kPrintCounters;
    case SIGTERM:
    case SIGINT:
      return ControlSignal::kTerminate;
    default:
      return ControlSignal::kNone;
  }
}

}  // namespace

ControlSignals::ControlSignals() {
  sigemptyset(&set_);
  for (int number : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) sigaddset(&set_, number);
  pthread_sigmask(SIG_BLOCK, &set_, nullptr);
}

void IgnoreBrokenPipes() { std::signal(SIGPIPE, SIG_IGN); }

ControlSignal ControlSignals::Wait() const { return FromNumber(sigwaitinfo(&set_, nullptr)); }

ControlSignal ControlSignals::WaitFor(coordinator::Micros timeout_us) const {
  const timespec timeout{timeout_us / kMicrosPerSecond, (timeout_us % kMicrosPerSecond) * kNanosPerMicro};
  return FromNumber(sigtimedwait(&set_, nullptr, &timeout));
}

}  // namespace liftrudder::app
