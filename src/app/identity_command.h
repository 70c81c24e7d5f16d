// `liftrudder keys check FILE` and `liftrudder token inspect`: what the gatherer would make of a key set or a
// token, without one running. Prints to standard output and ends.
#ifndef LIFTRUDDER_APP_IDENTITY_COMMAND_H_
#define LIFTRUDDER_APP_IDENTITY_COMMAND_H_

#include <functional>

namespace CLI {  // NOLINT(readability-identifier-naming): the name of the library
class App;
}

namespace liftrudder::app {

// They end with 0; 1: the set or token is not good, and why; 2: a file that cannot be read.
void AddIdentityCommands(CLI::App& app, std::function<int()>& run);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_IDENTITY_COMMAND_H_
