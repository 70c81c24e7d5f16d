// Why the program cannot start; thrown during start-up only and printed by main().
#ifndef LIFTRUDDER_APP_STARTUP_ERROR_H_
#define LIFTRUDDER_APP_STARTUP_ERROR_H_

#include <stdexcept>

namespace liftrudder::app {

// The text names the resource that is not available, such as the address or the file.
class StartupError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_STARTUP_ERROR_H_
