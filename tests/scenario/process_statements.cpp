// Statements for the program under test: start, configuration, signals and exit.
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <list>

#include "scenario/player.h"
#include "scenario/scenario.h"
#include "scenario/text.h"

namespace liftrudder::tests {
namespace {

constexpr char kConfigFile[] = "/config.json";
constexpr char kListenPrefix[] = "listens on ";

}  // namespace

void Player::WriteConfiguration(const std::string& text) const {
  std::ofstream(directory_ + kConfigFile) << text;
}

void Player::ExecuteProgram(int log_fd) const {
  const std::string path = directory_ + kConfigFile;
  ::dup2(log_fd, STDERR_FILENO);
  ::setenv("BALANCER_CONFIG", path.c_str(), 1);
  if (serves_search_) ::execl(program_.c_str(), "liftrudder", "--opensearch", path.c_str(), nullptr);
  ::execl(program_.c_str(), "liftrudder", nullptr);
  ::_exit(127);
}

void Player::Start(const Statement& statement) {
  serves_search_ = statement.subject == "search";
  WriteConfiguration(config_.dump());
  std::array<int, 2> sockets{};
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets.data()) != 0) {
    throw ScenarioError("cannot create the socket pair for the log");
  }
  child_ = ::fork();
  if (child_ == 0) ExecuteProgram(sockets[1]);
  ::close(sockets[1]);
  log_fd_ = net::Fd(sockets[0]);
  // The kernel chooses the port, and the program logs it.
  WaitUntil([&] { return !LoggedTextAfter(log_, kListenPrefix).empty(); },
            "the program did not start to listen");
  program_address_ = LoggedTextAfter(log_, kListenPrefix);
  if (config_["discovery"] == "") return;
  WaitUntil([&] { return !discovery_.connections.empty() || !stalled_watches_.empty(); },
            "the program did not start to watch discovery");
}

void Player::LimitDescriptors(const Statement& statement) {
  rlimit limit = descriptor_limit_;
  if (statement.subject == "none") {
    ::prlimit(child_, RLIMIT_NOFILE, nullptr, &descriptor_limit_);
    limit = {0, descriptor_limit_.rlim_max};
  }
  if (::prlimit(child_, RLIMIT_NOFILE, &limit, nullptr) != 0) {
    throw ScenarioError("cannot change the program's limit on descriptors");
  }
}

void Player::Reload(const Statement& statement) {
  if (statement.subject == "only") {
    WriteConfiguration(config_.dump());
    ::kill(child_, SIGHUP);
    return;
  }
  if (statement.subject == "bad") {
    WriteConfiguration("{");
    ::kill(child_, SIGHUP);
    WaitUntil([&] { return log_.find("keeping the current discovery address") != std::string::npos; },
              "the program did not log that it rejected the configuration");
    return;
  }
  std::list<Connection> old_watches;  // kept open until the program watches at the new address
  discovery_.listener = net::Listen("127.0.0.1:0");
  config_["discovery"] = net::LocalAddress(discovery_.listener);
  old_watches.swap(discovery_.connections);
  WriteConfiguration(config_.dump());
  ::kill(child_, SIGHUP);
  WaitUntil([&] { return !discovery_.connections.empty(); },
            "the program did not watch discovery at its new address");
}

void Player::Terminate(const Statement& /*statement*/) {
  ::kill(child_, SIGTERM);
  WaitUntil([&] { return log_.find("shutting down") != std::string::npos; },
            "the program did not react to SIGTERM");
}

void Player::Wait(const Statement& statement) {
  if (statement.subject != "exit") throw ScenarioError("unknown statement");
  AwaitExit();
}

void Player::AwaitExit() {
  int status = 0;
  WaitUntil([&] { return ::waitpid(child_, &status, WNOHANG) == child_; }, "the program did not exit");
  child_ = 0;
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) throw ScenarioError("the program failed:\n" + log_);
}

}  // namespace liftrudder::tests
