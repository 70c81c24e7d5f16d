// Starts and stops the program under test as a child process with its own configuration. For tests and
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

constexpr net::Micros kTestTimeoutUs = 20'000'000;  // bounds a test that hangs; no result depends on it

class CoordinatorProcess {
 public:
  // Writes the configuration into `directory` and starts the program with it. In `arguments`, $CONFIG stands
  // for the path of the file. `listener_fd`: a listening socket that the program inherits as descriptor 3; -1
  // for none. When addr() is empty afterwards, the program did not start to listen and Log() says why.
  // `log_fd`: a descriptor for the program's log in place of a file; addr() and Log() are empty then.
  CoordinatorProcess(const std::string& program, const std::string& directory, const std::string& config,
                     const std::vector<std::string>& arguments = {}, int listener_fd = -1, int log_fd = -1);
  ~CoordinatorProcess() { Kill(); }
  CoordinatorProcess(const CoordinatorProcess&) = delete;

  const std::string& addr() const { return addr_; }
  // The rest of the first log line that contains `mark`, after it; empty while there is no such line.
  std::string LoggedTextAfter(const std::string& mark) const;
  pid_t pid() const { return child_; }
  std::string Log() const;
  void Signal(int signal) const;
  void Kill();
  // CPU time of all its threads so far; negative on error.
  double CpuMs() const;
  // Sends SIGTERM, waits for the exit and returns the CPU seconds used (user and system); negative unless it
  // exited with 0.
  double Stop();

 private:
  std::string log_path_, addr_;
  pid_t child_ = -1;
};

// Sends a request on a new connection and returns the response; its status is 0 when none was received.
net::HttpMessage Fetch(const std::string& addr, const std::string& request);
net::HttpMessage Get(const std::string& addr, const std::string& target);

// Runs the program until it exits. Returns its exit code (-1 unless it exited normally) and its standard
// output and standard error together.
std::pair<int, std::string> RunProgram(const std::string& program, const std::vector<std::string>& arguments);

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_COORDINATOR_PROCESS_H_
