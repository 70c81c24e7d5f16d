// The fake endpoints, clients and discovery of a scenario: their connections, and the messages that came.
// Nothing here blocks but connecting, writing and handshakes. One thread.
#ifndef LIFTRUDDER_TESTS_SCENARIO_PEER_H_
#define LIFTRUDDER_TESTS_SCENARIO_PEER_H_

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "net/http.h"
#include "net/socket.h"
#include "support/token_issuer.h"

namespace liftrudder::tests {

constexpr net::Micros kWriteTimeoutUs = 5'000'000;

// What is spoken on a connection; kIgnored: what comes is not looked at.
enum class WireKind { kFrames, kHttp, kDns, kIgnored };

struct Connection {
  net::Fd fd;
  WireKind wire = WireKind::kFrames;      // of what comes
  std::unique_ptr<net::HttpParser> http;  // null where the wire is another
  std::unique_ptr<TlsClient> tls;         // null: plain text
  std::string received;                   // not a whole message yet
  bool ended = false;                     // by the program, or by the scenario
};

struct Message {
  Connection* connection = nullptr;
  std::string text;  // frames without their length; HTTP as "STATUS|METHOD TARGET HEADERS BODY"
};

struct Peer {
  net::Fd listener;  // none for clients
  std::string address;
  int cell = 0;                                       // of an endpoint
  std::list<Connection> connections;                  // their addresses stay
  std::deque<Message> messages;                       // came and not expected yet
  Connection* last_expected = nullptr;                // whose message was expected last
  std::map<std::string, Connection*> shard_requests;  // where each came last, by id
};

// Throws ScenarioError where the connection takes nothing.
void Write(Connection& connection, const std::string& bytes);
// TLS, from the client's side.
void Handshake(Connection& connection);
// Reads what is there, and splits whole messages off it.
void ReceiveMessages(Peer& peer, Connection& connection);
// As the program sees it: closed, reset, or reset with the listener gone too.
enum class CloseKind { kClose, kReset, kDead };
void CloseAll(Peer& peer, CloseKind kind);
// A response goes where its shard request came, any other frame where the last message was expected.
Connection& ConnectionForFrame(Peer& peer, const std::string& frame);

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SCENARIO_PEER_H_
