// The signals that control a running coordinator. They are blocked in every thread and received synchronously
// on the main thread, so no code runs in a signal handler.
#ifndef LIFTRUDDER_APP_SIGNALS_H_
#define LIFTRUDDER_APP_SIGNALS_H_

#include <signal.h>  // NOLINT(modernize-deprecated-headers): sigset_t is POSIX, not in <csignal>

#include "coordinator/interfaces.h"

namespace liftrudder::app {

enum class ControlSignal {
  kNone,           // no signal arrived in time, or the wait was interrupted
  kPrintCounters,  // SIGUSR1
  kReload,         // SIGHUP
  kTerminate,      // SIGTERM, SIGINT
};

// Owned by the main thread.
class ControlSignals {
 public:
  // Blocks the signals in the calling thread. To be constructed before any other thread starts, since threads
  // inherit the mask.
  ControlSignals();

  ControlSignal Wait() const;
  // Waits at most `timeout_us`.
  ControlSignal WaitFor(coordinator::Micros timeout_us) const;

 private:
  sigset_t set_{};
};

// Ignores SIGPIPE in the whole process: the coordinator serves on when the reader of its log is gone. Not for
// sub-commands, which are to end when nobody reads their output.
void IgnoreBrokenPipes();

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_SIGNALS_H_
