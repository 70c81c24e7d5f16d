#include "test_support/coordinator_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

namespace liftrudder::test_support {
namespace {

[[noreturn]] void ExecProgram(const std::string& program, const std::vector<std::string>& arguments) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the program dies with the test that started it
  std::vector<char*> argv{const_cast<char*>("liftrudder")};
  for (const std::string& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  ::execv(program.c_str(), argv.data());
  ::_exit(127);
}

}  // namespace

CoordinatorProcess::CoordinatorProcess(const std::string& program, const std::string& directory,
                                       const std::string& config, const std::vector<std::string>& arguments,
                                       int listener_fd, int log_fd)
    : log_path_(directory + "/log") {
  std::string path = directory + "/config.json";
  std::ofstream(path) << config;
  std::vector<std::string> expanded_arguments = arguments;
  for (std::string& argument : expanded_arguments) {
    if (argument == "$CONFIG") argument = path;
  }
  ::unlink(log_path_.c_str());
  child_ = ::fork();
  if (child_ == 0) {
    if (log_fd < 0) log_fd = ::open(log_path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    ::dup2(log_fd, STDERR_FILENO);
    ::setenv("BALANCER_CONFIG", path.c_str(), 1);
    if (listener_fd >= 0) {
      ::dup2(listener_fd, 3);
      ::setenv("BALANCER_PASSED_SOCKET", "3", 1);
    }
    ExecProgram(program, expanded_arguments);
  }
  if (log_fd >= 0) return;
  for (net::Micros waited_us = 0; addr_.empty() && waited_us < kTestTimeoutUs; waited_us += 10'000) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    addr_ = LoggedTextAfter(" listens on ");
  }
}

std::string CoordinatorProcess::LoggedTextAfter(const std::string& mark) const {
  std::string text = Log();
  auto at = text.find(mark);
  auto end = at == std::string::npos ? at : text.find('\n', at);
  return end == std::string::npos ? "" : text.substr(at + mark.size(), end - at - mark.size());
}

std::string CoordinatorProcess::Log() const {
  std::ostringstream out;
  out << std::ifstream(log_path_).rdbuf();
  return out.str();
}

void CoordinatorProcess::Signal(int signal) const { ::kill(child_, signal); }

void CoordinatorProcess::Kill() {
  if (child_ <= 0) return;
  ::kill(child_, SIGKILL);
  ::waitpid(child_, nullptr, 0);
  child_ = -1;
}

double CoordinatorProcess::CpuMs() const {
  clockid_t clock{};
  timespec used{};
  if (::clock_getcpuclockid(child_, &clock) != 0 || ::clock_gettime(clock, &used) != 0) return -1;
  return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) / 1e6;
}

double CoordinatorProcess::Stop() {
  if (child_ <= 0) return -1;
  ::kill(child_, SIGTERM);
  int status = 0;
  rusage used{};
  ::wait4(child_, &status, 0, &used);
  child_ = -1;
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) return -1;
  auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(used.ru_utime) + seconds(used.ru_stime);
}

net::HttpMessage Fetch(const std::string& addr, const std::string& request) {
  net::Fd fd = net::Connect(addr, kTestTimeoutUs);
  net::HttpParser parser(net::HttpParser::Kind::kResponse, std::size_t{1} << 22);
  if (!fd.Valid() || net::WriteAll(fd, request, kTestTimeoutUs).status != net::IoStatus::kOk) return {};
  std::string in;
  auto state = net::HttpParser::State::kHead;
  while (state != net::HttpParser::State::kDone &&
         net::ReadSome(fd, in, kTestTimeoutUs) == net::IoStatus::kOk) {
    state = parser.Feed(in);
  }
  if (state != net::HttpParser::State::kDone) return {};
  return parser.message();
}

net::HttpMessage Get(const std::string& addr, const std::string& target) {
  return Fetch(addr, "GET " + target + " HTTP/1.1\r\nHost: g\r\n\r\n");
}

std::pair<int, std::string> RunProgram(const std::string& program,
                                       const std::vector<std::string>& arguments) {
  int pipe_fds[2];
  if (::pipe(pipe_fds) != 0) return {-1, ""};
  pid_t child = ::fork();
  if (child == 0) {
    ::dup2(pipe_fds[1], STDOUT_FILENO);
    ::dup2(pipe_fds[1], STDERR_FILENO);
    ::close(pipe_fds[0]);
    ExecProgram(program, arguments);
  }
  ::close(pipe_fds[1]);
  std::string out;
  char buffer[4096];
  for (ssize_t size_read = 0; (size_read = ::read(pipe_fds[0], buffer, sizeof buffer)) > 0;) {
    out.append(buffer, static_cast<std::size_t>(size_read));
  }
  ::close(pipe_fds[0]);
  int status = 0;
  ::waitpid(child, &status, 0);
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
}

}  // namespace liftrudder::test_support
