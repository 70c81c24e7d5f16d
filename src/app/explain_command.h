// `liftrudder why ...`: asks a running gatherer, or the file that one left, why queries went where they went.
// Prints to standard output and ends; serves nothing.
#ifndef LIFTRUDDER_APP_EXPLAIN_COMMAND_H_
#define LIFTRUDDER_APP_EXPLAIN_COMMAND_H_

#include <functional>

namespace CLI {  // NOLINT(readability-identifier-naming): the name of the library
class App;
}

namespace liftrudder::app {

// Exit codes, the same for ever: scripts may rely on them.
constexpr int kFoundIt = 0;
constexpr int kNotFound = 1;  // nothing is kept of the query that was named
constexpr int kBadUsage = 2;  // a filter that is none, a file that is no record
constexpr int kNoAnswer = 3;  // the gatherer could not be reached, or had no time

// Adds the sub-command; when it is chosen, `run` is set to what it does.
void AddExplainCommand(CLI::App& app, std::function<int()>& run);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_EXPLAIN_COMMAND_H_
