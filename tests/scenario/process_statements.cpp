// The program under test: its start, configuration, signals and end.
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
constexpr char kListens[] = "listens on ";

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
  std::array<int, 2> ends{};
  if (::socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) != 0) {
    throw ScenarioError("no socket pair");
  }
  child_ = ::fork();
  if (child_ == 0) ExecuteProgram(ends[1]);
  ::close(ends[1]);
  log_fd_ = net::Fd(ends[0]);
  // The kernel picks the ports, and the program logs them.
  Until([&] { return !LoggedAfter(log_, kListens).empty(); }, "the program does not listen");
  program_address_ = LoggedAfter(log_, kListens);
  if (config_["discovery"] == "") return;
  Until([&] { return !discovery_.connections.empty() || !stalled_watches_.empty(); },
        "the program does not watch discovery");
}

void Player::Reload(const Statement& statement) {
  if (statement.subject == "bad") {
    WriteConfiguration("{");
    ::kill(child_, SIGHUP);
    Until([&] { return log_.find("keeping the current settings") != std::string::npos; }, "not read again");
    return;
  }
  std::list<Connection> old_watches;  // they stay open until the program has moved
  discovery_.listener = net::Listen("127.0.0.1:0");
  config_["discovery"] = net::LocalAddress(discovery_.listener);
  old_watches.swap(discovery_.connections);
  WriteConfiguration(config_.dump());
  ::kill(child_, SIGHUP);
  Until([&] { return !discovery_.connections.empty(); }, "the watch does not move");
}

void Player::Terminate(const Statement& /*statement*/) {
  ::kill(child_, SIGTERM);
  Until([&] { return log_.find("shutting down") != std::string::npos; }, "the program heeds no signal");
}

void Player::Wait(const Statement& statement) {
  if (statement.subject != "exit") throw ScenarioError("no such statement");
  AwaitExit();
}

void Player::AwaitExit() {
  int status = 0;
  Until([&] { return ::waitpid(child_, &status, WNOHANG) == child_; }, "the program does not end");
  child_ = 0;
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) throw ScenarioError("the program crashed:\n" + log_);
}

}  // namespace liftrudder::tests
