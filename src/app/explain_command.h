// The sub-command that explains why queries were sent where they were: asks a running coordinator, or reads a
// record file. Prints the answer and ends. Main thread only.
#ifndef LIFTRUDDER_APP_EXPLAIN_COMMAND_H_
#define LIFTRUDDER_APP_EXPLAIN_COMMAND_H_

#include <functional>

namespace CLI {  // NOLINT(readability-identifier-naming): the name of the library
class App;
}

namespace liftrudder::app {

// Exit codes. Scripts rely on them, so they never change.
constexpr int kFound = 0;
constexpr int kNotFound = 1;  // the record holds nothing about the requested query
constexpr int kBadUsage = 2;  // invalid arguments or filter, or an unusable record file
constexpr int kNoAnswer = 3;  // the coordinator is unreachable, or sent an error or no complete response

// Adds the sub-command. If the user chooses it, parsing sets `run` to a function that returns the exit code.
void AddExplainCommand(CLI::App& app, std::function<int()>& run);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_EXPLAIN_COMMAND_H_
