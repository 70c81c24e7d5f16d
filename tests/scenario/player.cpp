#include "scenario/player.h"

#include <poll.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <utility>

#include "scenario/configuration.h"
#include "scenario/scenario.h"
#include "scenario/text.h"

namespace liftrudder::tests {
namespace {

// Bounds a test that hangs; much longer than any statement needs, so that a slow machine fails no test.
constexpr auto kStatementTimeout = std::chrono::seconds(20);
constexpr auto kHeartbeatInterval = std::chrono::seconds(1);
constexpr int kPollTimeoutMs = 20;

}  // namespace

Player::Player(std::string program) : program_(std::move(program)), config_(DefaultConfiguration()) {
  char name[] = "/tmp/scenario-XXXXXX";
  directory_ = ::mkdtemp(name);
  discovery_.listener = net::Listen("127.0.0.1:0");
  config_["discovery"] = net::LocalAddress(discovery_.listener);
  config_["listen"] = "127.0.0.1:0";
  config_["known"] = {{"version", list_version_}, {"full", true}, {"servers", nlohmann::json::array()}};
}

Player::~Player() {
  if (child_ > 0) {
    ::kill(child_, SIGKILL);
    ::waitpid(child_, nullptr, 0);
  }
  std::filesystem::remove_all(directory_);
}

const std::map<std::string, Player::Handler>& Player::Handlers() {
  static const std::map<std::string, Handler> handlers = {
      {"set", &Player::Set},
      {"holder", &Player::AddEndpoint},
      {"admit", &Player::AdmitConnections},
      {"zone", &Player::WriteZone},
      {"update", &Player::SendDnsUpdate},
      {"list", &Player::SendList},
      {"indented", &Player::SendIndentedList},
      {"restart", &Player::RestartEndpoint},
      {"takeover", &Player::TakeOverAddress},
      {"deny", &Player::QueueWatchDenial},
      {"stall", &Player::QueueWatchDenial},
      {"start", &Player::Start},
      {"reload", &Player::Reload},
      {"descriptors", &Player::LimitDescriptors},
      {"signal", &Player::Terminate},
      {"wait", &Player::Wait},
      {"query", &Player::Query},
      {"post", &Player::Post},
      {"http", &Player::Http},
      {"begin", &Player::BeginHttp},
      {"complete", &Player::CompleteHttp},
      {"keys", &Player::WriteKeys},
      {"token", &Player::SetToken},
      {"tls", &Player::WriteTls},
      {"certificate", &Player::SetCertificate},
      {"send", &Player::Send},
      {"bytes", &Player::SendBytes},
      {"flood", &Player::Flood},
      {"reply", &Player::Reply},
      {"expect", &Player::Expect},
      {"ended", &Player::ExpectEnded},
      {"finished", &Player::ExpectFinished},
      {"quiet", &Player::ExpectQuiet},
      {"log", &Player::ExpectLog},
      {"until", &Player::ExpectCounters},
      {"keep", &Player::Keep},
      {"close", &Player::Close},
      {"reset", &Player::Close},
      {"dead", &Player::Close},
  };
  return handlers;
}

Statement Player::Parse(const std::string& line) const {
  std::istringstream words(line);
  Statement statement;
  statement.line = line;
  words >> statement.verb >> statement.subject;
  std::getline(words >> std::ws, statement.arguments);
  std::string& arguments = statement.arguments;
  for (const auto& [name, value] : kept_values_) {
    const std::string reference = "$" + name;
    for (auto at = arguments.find(reference); at != std::string::npos; at = arguments.find(reference)) {
      arguments.replace(at, reference.size(), value);
    }
  }
  return statement;
}

void Player::Execute(const std::string& line) {
  const Statement statement = Parse(line);
  const auto handler = Handlers().find(statement.verb);
  if (handler == Handlers().end()) throw ScenarioError("unknown statement");
  (this->*handler->second)(statement);
}

void Player::StopProgram() {
  if (child_ <= 0) return;
  for (auto& [name, client] : clients_) CloseAll(client, CloseKind::kClose);
  ::kill(child_, SIGTERM);
  AwaitExit();
  WaitUntil([&] { return !log_fd_.Valid(); }, "the program exited, but its log stays open");
  if (log_.find("Sanitizer") != std::string::npos) throw ScenarioError(log_);
}

std::string Player::ResolveAlias(const std::string& name) const {
  const auto alias = aliases_.find(name);
  return alias == aliases_.end() ? name : alias->second;
}

Peer& Player::FindPeer(const std::string& name) {
  const auto endpoint = endpoints_.find(ResolveAlias(name));
  return endpoint == endpoints_.end() ? clients_[name] : endpoint->second;
}

void Player::WaitUntil(const std::function<bool()>& condition, const std::string& error_text) {
  const auto end = std::chrono::steady_clock::now() + kStatementTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) throw ScenarioError(error_text + "\n" + log_);
    ServeOnce();
  }
}

void Player::ServeOnce() {
  std::vector<pollfd> fds;
  std::vector<std::function<void()>> actions;
  auto add = [&](const net::Fd& fd, std::function<void()> action) {
    if (!fd.Valid()) return;
    fds.push_back({fd.Get(), POLLIN, 0});
    actions.push_back(std::move(action));
  };
  auto add_connections = [&](Peer& peer) {
    for (Connection& connection : peer.connections) {
      if (!connection.ended) add(connection.fd, [&peer, &connection] { ReceiveMessages(peer, connection); });
    }
  };
  add(discovery_.listener, [this] { AcceptWatch(); });
  add_connections(discovery_);
  const WireKind endpoint_wire = serves_search_ ? WireKind::kHttp : WireKind::kFrames;
  for (auto& [name, endpoint] : endpoints_) {
    if (endpoint.backlog_fillers.empty()) {
      add(endpoint.listener, [this, &peer = endpoint, endpoint_wire] { Accept(peer, endpoint_wire); });
    }
    add_connections(endpoint);
  }
  for (auto& [name, client] : clients_) add_connections(client);
  add(log_fd_, [this] {
    if (net::ReadSome(log_fd_, log_, 0) == net::IoStatus::kEnd) log_fd_ = net::Fd();
  });
  if (::poll(fds.data(), fds.size(), kPollTimeoutMs) <= 0) SendHeartbeat();
  for (std::size_t i = 0; i < fds.size(); ++i) {
    if (fds[i].revents != 0) actions[i]();
  }
}

void Player::SendHeartbeat() {
  const auto now = std::chrono::steady_clock::now();
  if (discovery_.connections.empty() || now - last_watch_write_ < kHeartbeatInterval) return;
  last_watch_write_ = now;
  const Connection& watch = discovery_.connections.back();
  if (!watch.ended) net::WriteAll(watch.fd, "1\r\n\n\r\n", 0);
}

void Player::Accept(Peer& peer, WireKind wire) {
  Connection& connection = peer.connections.emplace_back();
  connection.fd = net::Accept(peer.listener, 0);
  connection.wire = wire;
  if (wire == WireKind::kHttp) {
    connection.http = std::make_unique<net::HttpParser>(net::HttpParser::Kind::kRequest);
  }
}

void Player::AcceptWatch() {
  net::Fd fd = net::Accept(discovery_.listener, 0);
  if (watch_denials_.empty()) {
    net::WriteAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 0);
    Connection& watch = discovery_.connections.emplace_back();
    watch.fd = std::move(fd);
    watch.wire = WireKind::kIgnored;
    return;
  }
  const WatchDenial denial = watch_denials_.front();
  watch_denials_.pop_front();
  net::WriteAll(fd, denial.bytes, 0);
  if (denial.stays_open) stalled_watches_.push_back(std::move(fd));
}

}  // namespace liftrudder::tests
