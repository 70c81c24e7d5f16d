// Starts the program under test as a child, with a configuration of its own, and ends it. For tests and
// measurements.
#ifndef LIFTRUDDER_TOOLS_TEST_SUPPORT_COORDINATOR_PROCESS_H_
#define LIFTRUDDER_TOOLS_TEST_SUPPORT_COORDINATOR_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <utility>
#include <vector>

#include "net/http.h"
#include "net/socket.h"

namespace liftrudder::test_support {

constexpr net::Micros kPatience = 20'000'000;  // ends what hangs, decides nothing else

class CoordinatorProcess {
 public:
  // Writes the configuration into the folder and starts the program there; `arguments` with $CONFIG for the
  // file's path. `passed`: a listener that it inherits as descriptor 3. Ready once addr() is not empty; else
  // Log() says why not.
  CoordinatorProcess(const std::string& program, const std::string& directory, const std::string& config,
                     const std::vector<std::string>& arguments = {}, int passed = -1);
  ~CoordinatorProcess() { Kill(); }
  CoordinatorProcess(const CoordinatorProcess&) = delete;

  const std::string& addr() const { return addr_; }
  // What follows this mark in its line of the log; empty while there is no such line.
  std::string Logged(const std::string& mark) const;
  pid_t pid() const { return child_; }
  std::string Log() const;
  void Signal(int signal) const;
  void Kill();
  // Processor time so far, of all its threads.
  double CpuMs() const;
  // SIGTERM, and its CPU seconds (user and system) once it has ended; negative when it ended badly.
  double Stop();

 private:
  std::string log_, addr_;
  pid_t child_ = -1;
};

// A request on a connection of its own, and its answer; status 0: none came.
net::HttpMessage Fetch(const std::string& addr, const std::string& request);
net::HttpMessage Get(const std::string& addr, const std::string& target);

// Runs the program to its end: exit code and what it printed to both outputs.
std::pair<int, std::string> RunProgram(const std::string& program, const std::vector<std::string>& arguments);

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_COORDINATOR_PROCESS_H_
