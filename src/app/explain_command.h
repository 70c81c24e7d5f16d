// The sub-command that explains decisions: asks a running coordinator, or reads the record file that one
// left, why queries went where they went. Prints the answer and ends; serves nothing. Main thread only.
#ifndef LIFTRUDDER_APP_EXPLAIN_COMMAND_H_
#define LIFTRUDDER_APP_EXPLAIN_COMMAND_H_

#include <functional>

namespace CLI {  // NOLINT(readability-identifier-naming): the name of the library
class App;
}

namespace liftrudder::app {

// Exit codes. Scripts rely on them: they never change.
constexpr int kFoundIt = 0;
constexpr int kNotFound = 1;  // the record has nothing on the query that was named
constexpr int kBadUsage = 2;  // a filter or a record file that cannot be used
constexpr int kNoAnswer = 3;  // the coordinator could not be reached or gave no complete answer

// Adds the sub-command; where the user chose it, parsing sets `run` to a function that returns the exit code.
void AddExplainCommand(CLI::App& app, std::function<int()>& run);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_EXPLAIN_COMMAND_H_
