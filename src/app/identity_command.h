// The sub-commands `keys check`, `token inspect` and `token sign-for-tests`: whether a coordinator would
// accept a key set or a token, without a running one. They print the answer and end. Main thread only.
#ifndef LIFTRUDDER_APP_IDENTITY_COMMAND_H_
#define LIFTRUDDER_APP_IDENTITY_COMMAND_H_

#include <functional>

namespace CLI {  // NOLINT(readability-identifier-naming): the name of the library
class App;
}

namespace liftrudder::app {

// Adds the sub-commands. If the user chooses one, parsing sets `run` to a function that returns the exit
// code: 0, 1 for a key set or token that is not valid, 2 for a file that cannot be read.
void AddIdentityCommands(CLI::App& app, std::function<int()>& run);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_IDENTITY_COMMAND_H_
