#include "scenario/peer.h"

#include <sys/socket.h>

#include <string_view>
#include <utility>

#include "scenario/scenario.h"
#include "scenario/text.h"

namespace liftrudder::tests {
namespace {

constexpr std::size_t kLengthBytes = 4;
// A DNS response over TCP without records: two bytes of length and the header.
constexpr std::size_t kDnsResponseBytes = 14;
constexpr std::size_t kDnsRcodeByte = 5;

std::string Describe(const net::HttpMessage& message) {
  std::string text =
      message.status > 0 ? std::to_string(message.status) : message.method + " " + message.target;
  for (const char* name : {"Retry-After", "Connection"}) {
    const std::string* value = message.Header(name);
    if (value != nullptr) text += std::string(" ") + name + ":" + *value;
  }
  return text + " " + message.body;
}

// These split one message off what was received; false where there is none whole.
bool TakeDns(Peer& peer, Connection& connection) {
  std::string& received = connection.received;
  if (received.size() < kDnsResponseBytes) return false;
  peer.messages.push_back({&connection, "rcode " + std::to_string(received[kDnsRcodeByte] & 0xf)});
  received.erase(0, kDnsResponseBytes);
  return true;
}

bool TakeFrame(Peer& peer, Connection& connection) {
  std::string& received = connection.received;
  if (received.size() < kLengthBytes) return false;
  const std::size_t size = FrameSize(received);
  if (received.size() - kLengthBytes < size) return false;
  peer.messages.push_back({&connection, received.substr(kLengthBytes, size)});
  received.erase(0, kLengthBytes + size);
  return true;
}

bool TakeHttp(Peer& peer, Connection& connection) {
  using net::HttpParser;
  if (connection.http->Feed(connection.received) != HttpParser::State::kDone) return false;
  const net::HttpMessage& message = connection.http->message();
  const auto kind = message.status > 0 ? HttpParser::Kind::kResponse : HttpParser::Kind::kRequest;
  peer.messages.push_back({&connection, Describe(message)});
  connection.http = std::make_unique<HttpParser>(kind);
  return true;
}

bool TakeMessage(Peer& peer, Connection& connection) {
  switch (connection.wire) {
    case WireKind::kDns:
      return TakeDns(peer, connection);
    case WireKind::kFrames:
      return TakeFrame(peer, connection);
    case WireKind::kHttp:
      return TakeHttp(peer, connection);
    case WireKind::kIgnored:
      break;
  }
  return false;
}

}  // namespace

void Write(Connection& connection, const std::string& bytes) {
  const std::string sealed = connection.tls ? connection.tls->Say(bytes) : bytes;
  if (net::WriteAll(connection.fd, sealed, kWriteTimeoutUs).status != net::Io::kOk) {
    throw ScenarioError("the connection takes nothing");
  }
}

void Handshake(Connection& connection) {
  std::string came;
  while (SSL_is_init_finished(connection.tls->raw()) == 0) {
    const std::string out = connection.tls->Step(came, connection.received);
    if (!out.empty()) net::WriteAll(connection.fd, out, kWriteTimeoutUs);
    came.clear();
    if (SSL_is_init_finished(connection.tls->raw()) != 0) return;
    if (net::ReadSome(connection.fd, came, kWriteTimeoutUs) != net::Io::kOk) {
      throw ScenarioError("no handshake");
    }
  }
}

void ReceiveMessages(Peer& peer, Connection& connection) {
  std::string sealed;
  const net::Io got = net::ReadSome(connection.fd, connection.tls ? sealed : connection.received, 0);
  if (connection.tls) net::WriteAll(connection.fd, connection.tls->Step(sealed, connection.received), 0);
  if (got == net::Io::kEnd || got == net::Io::kError) connection.ended = true;
  while (TakeMessage(peer, connection)) {
  }
}

void CloseAll(Peer& peer, CloseKind kind) {
  for (Connection& connection : peer.connections) {
    const linger reset{1, 0};
    if (kind != CloseKind::kClose) {
      ::setsockopt(connection.fd.Get(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    connection.fd = net::Fd();
    connection.ended = true;
  }
  if (kind == CloseKind::kDead) peer.listener = net::Fd();
}

Connection& ConnectionForFrame(Peer& peer, const std::string& frame) {
  const auto found = peer.shard_requests.find(frame.substr(1, frame.find(' ') - 1));
  const bool answers = frame.starts_with('a') && found != peer.shard_requests.end();
  return answers ? *found->second : *peer.last_expected;
}

}  // namespace liftrudder::tests
