// The fake endpoints, clients and discovery of a scenario: their connections, and the messages received on
// them. Only connecting, writing and TLS handshakes block. Not thread-safe.
#ifndef LIFTRUDDER_TESTS_SCENARIO_PEER_H_
#define LIFTRUDDER_TESTS_SCENARIO_PEER_H_

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/http.h"
#include "net/socket.h"
#include "support/certificate_issuer.h"

namespace liftrudder::tests {

constexpr const char* kOpaqueIdHeader = "X-Opaque-Id";
constexpr net::Micros kWriteTimeoutUs = 5'000'000;

// The protocol of a connection; kIgnored: received bytes are not parsed.
enum class WireKind { kFrames, kHttp, kDns, kIgnored };

struct Connection {
  net::Fd fd;
  WireKind wire = WireKind::kFrames;      // of received messages
  std::unique_ptr<net::HttpParser> http;  // null unless `wire` is kHttp
  std::unique_ptr<TlsClient> tls;         // null: plain text
  std::string received;                   // not a complete message yet
  std::string opaque_id;                  // X-Opaque-Id of the last HTTP request; empty: none
  bool ended = false;                     // closed by the program or by the scenario
};

struct Message {
  Connection* connection = nullptr;
  std::string text;  // frames without their length; HTTP as "STATUS|METHOD TARGET HEADERS BODY"
};

struct Peer {
  net::Fd listener;  // none for clients
  // Not empty while connections to the endpoint stay pending: these fill its backlog.
  std::vector<net::Fd> backlog_fillers;
  std::string address;
  int cell = 0;                                       // of an endpoint; unused for others
  std::list<Connection> connections;                  // a list, so that pointers to them stay valid
  std::deque<Message> messages;                       // received, and not consumed by `expect` yet
  Connection* last_expected = nullptr;                // of the message that `expect` consumed last
  std::map<std::string, Connection*> shard_requests;  // by id: where it was received last
};

// Throws ScenarioError when the bytes cannot be written.
void Write(Connection& connection, const std::string& bytes);
// Completes the client's side of a TLS handshake, or throws ScenarioError.
void Handshake(Connection& connection);
// Reads the available bytes and appends each complete message to the peer's messages.
void ReceiveMessages(Peer& peer, Connection& connection);
// What the program observes: a close, a reset, or a reset with the listener closed too.
enum class CloseKind { kClose, kReset, kDead };
void CloseAll(Peer& peer, CloseKind kind);
// Keeps new connections to the peer pending, until its backlog_fillers are closed.
void FillBacklog(Peer& peer);
// The connection that a frame is sent on: a response goes to where its shard request was received, any other
// frame to the connection of the last expected message.
Connection& ConnectionForFrame(Peer& peer, const std::string& frame);

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SCENARIO_PEER_H_
