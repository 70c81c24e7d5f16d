// Statements that send, expect and close on the connections of a scenario.
#include <sstream>

#include "scenario/player.h"
#include "scenario/scenario.h"
#include "scenario/text.h"

namespace liftrudder::tests {
namespace {

constexpr char kCountersClient[] = "#counters";

// The first word of a statement's arguments, and the text after it.
struct FirstWord {
  std::string word;
  std::string rest;
};

FirstWord SplitFirstWord(const std::string& arguments) {
  std::istringstream words(arguments);
  FirstWord split;
  words >> split.word;
  std::getline(words >> std::ws, split.rest);
  return split;
}

}  // namespace

void Player::Set(const Statement& statement) {
  config_[nlohmann::json::json_pointer(statement.subject)] = nlohmann::json::parse(statement.arguments);
}

void Player::Send(const Statement& statement) {
  const std::string bytes = Unescape(statement.arguments);
  if (!endpoints_.contains(ResolveAlias(statement.subject))) {
    Write(Client(statement.subject), bytes);
    return;
  }
  Peer& endpoint = FindEndpoint(statement.subject);
  Write(ConnectionForFrame(endpoint, statement.arguments), Frame(bytes));
}

void Player::SendBytes(const Statement& statement) {
  Write(*FindEndpoint(statement.subject).last_expected, Unescape(statement.arguments));
}

void Player::Flood(const Statement& statement) {
  const FirstWord split = SplitFirstWord(statement.arguments);
  Write(Client(statement.subject), Unescape(split.rest) + std::string(std::stoul(split.word), 'x'));
}

void Player::Reply(const Statement& statement) {
  const FirstWord split = SplitFirstWord(statement.arguments);
  net::HttpResponse response;
  response.status = std::stoi(split.word);
  response.body = split.rest;
  Connection& connection = *FindEndpoint(statement.subject).last_expected;
  if (!connection.opaque_id.empty()) response.headers.emplace_back(kOpaqueIdHeader, connection.opaque_id);
  Write(connection, net::Format(response, false));
}

std::string Player::AwaitEndpointMessage(const std::string& selector) {
  const bool any = selector == "any";
  std::string receiver;
  WaitUntil(
      [&] {
        for (auto& [name, endpoint] : endpoints_) {
          const bool matches = any || name != ResolveAlias("it");
          if (matches && !endpoint.messages.empty()) receiver = name;
        }
        return !receiver.empty();
      },
      "no endpoint received a message");
  aliases_[any ? "it" : "other"] = receiver;
  return receiver;
}

void Player::Expect(const Statement& statement) {
  std::string name = statement.subject;
  if (name == "any" || name == "other") name = AwaitEndpointMessage(name);
  Peer& peer = FindPeer(name);
  WaitUntil([&] { return !peer.messages.empty(); }, "no message was received");
  const Message message = peer.messages.front();
  peer.messages.pop_front();
  peer.last_expected = message.connection;
  const std::string& text = message.text;
  if (text.starts_with('q')) peer.shard_requests[text.substr(1, text.find(' ') - 1)] = message.connection;
  last_message_ = text;
  if (!MatchesGlob(Unescape(statement.arguments), text)) throw ScenarioError("received: " + text);
}

void Player::ExpectEnded(const Statement& statement) {
  const Peer& peer = FindPeer(statement.subject);
  WaitUntil([&] { return !peer.connections.empty() && peer.connections.back().ended; },
            "the program did not close the connection");
}

void Player::ExpectFinished(const Statement& statement) {
  ExpectEnded(statement);
  if (!FindPeer(statement.subject).connections.back().tls->peer_closed()) {
    throw ScenarioError("the connection was closed without a close_notify");
  }
}

void Player::ExpectQuiet(const Statement& statement) {
  const Peer& peer = FindPeer(statement.subject);
  if (!peer.messages.empty()) throw ScenarioError("unexpected message: " + peer.messages.front().text);
}

void Player::ExpectLog(const Statement& statement) {
  const std::string& text = statement.arguments;
  WaitUntil([&] { return log_.find(text) != std::string::npos; }, "the log does not contain the text");
  if (log_.find(text) != log_.rfind(text)) throw ScenarioError("logged more than once:\n" + log_);
}

void Player::ExpectCounters(const Statement& statement) {
  const std::string glob = statement.line.substr(statement.verb.size() + 1);
  std::string counters;
  WaitUntil(
      [&] {
        Peer& client = clients_[kCountersClient];
        if (!client.messages.empty()) {
          counters = client.messages.front().text;
          client.messages.pop_front();
          counters_requested_ = false;
          return MatchesGlob(glob, counters);
        }
        if (!counters.empty() && MatchesGlob(glob, counters)) return true;
        if (client.connections.empty() || !counters_requested_) {
          Write(Client(kCountersClient), HttpRequest("GET", "/-/metrics", "", ""));
        }
        counters_requested_ = true;
        return false;
      },
      "the counters did not match in time");
}

void Player::Keep(const Statement& statement) {
  const FirstWord split = SplitFirstWord(statement.arguments);
  const std::string& prefix = split.word;
  std::string suffix;
  std::istringstream(split.rest) >> suffix;
  auto from = last_message_.find(prefix);
  if (from == std::string::npos) throw ScenarioError("prefix not found in: " + last_message_);
  from += prefix.size();
  kept_values_[statement.subject] = last_message_.substr(from, last_message_.find(suffix, from) - from);
}

void Player::Close(const Statement& statement) {
  CloseKind kind = CloseKind::kClose;
  if (statement.verb == "reset") kind = CloseKind::kReset;
  if (statement.verb == "dead") kind = CloseKind::kDead;
  CloseAll(FindPeer(statement.subject), kind);
}

}  // namespace liftrudder::tests
