// What comes and goes on the connections of a scenario.
#include <sstream>

#include "scenario/player.h"
#include "scenario/scenario.h"
#include "scenario/text.h"

namespace liftrudder::tests {
namespace {

constexpr char kCountersClient[] = "#counters";

// The first word off `arguments`, and what stands behind it.
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
  if (!endpoints_.contains(Resolve(statement.subject))) {
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
  Write(*FindEndpoint(statement.subject).last_expected, net::Format(response, false));
}

std::string Player::AwaitEndpointMessage(const std::string& who) {
  const bool any = who == "any";
  std::string found;
  Until(
      [&] {
        for (auto& [name, endpoint] : endpoints_) {
          const bool fits = any || name != Resolve("it");
          if (fits && !endpoint.messages.empty()) found = name;
        }
        return !found.empty();
      },
      "nothing came at an endpoint");
  aliases_[any ? "it" : "other"] = found;
  return found;
}

void Player::Expect(const Statement& statement) {
  std::string name = statement.subject;
  if (name == "any" || name == "other") name = AwaitEndpointMessage(name);
  Peer& peer = FindPeer(name);
  Until([&] { return !peer.messages.empty(); }, "nothing came");
  const Message message = peer.messages.front();
  peer.messages.pop_front();
  peer.last_expected = message.connection;
  const std::string& text = message.text;
  if (text.starts_with('q')) peer.shard_requests[text.substr(1, text.find(' ') - 1)] = message.connection;
  last_message_ = text;
  if (!MatchesGlob(Unescape(statement.arguments), text)) throw ScenarioError("came: " + text);
}

void Player::ExpectEnded(const Statement& statement) {
  const Peer& peer = FindPeer(statement.subject);
  Until([&] { return !peer.connections.empty() && peer.connections.back().ended; },
        "the connection stays open");
}

void Player::ExpectFinished(const Statement& statement) {
  ExpectEnded(statement);
  if (!FindPeer(statement.subject).connections.back().tls->ended()) {
    throw ScenarioError("it was cut, without a close_notify");
  }
}

void Player::ExpectQuiet(const Statement& statement) {
  const Peer& peer = FindPeer(statement.subject);
  if (!peer.messages.empty()) throw ScenarioError("came: " + peer.messages.front().text);
}

void Player::ExpectLog(const Statement& statement) {
  const std::string& text = statement.arguments;
  Until([&] { return log_.find(text) != std::string::npos; }, "the log does not say so");
  if (log_.find(text) != log_.rfind(text)) throw ScenarioError("logged more than once:\n" + log_);
}

void Player::ExpectCounters(const Statement& statement) {
  const std::string glob = statement.line.substr(statement.verb.size() + 1);
  std::string counters;
  Until(
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
      "the counters do not come to match");
}

void Player::Keep(const Statement& statement) {
  const FirstWord split = SplitFirstWord(statement.arguments);
  const std::string& prefix = split.word;
  std::string suffix;
  std::istringstream(split.rest) >> suffix;
  auto from = last_message_.find(prefix);
  if (from == std::string::npos) throw ScenarioError("not in: " + last_message_);
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
