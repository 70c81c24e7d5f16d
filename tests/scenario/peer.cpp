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

// The functions below move one message from `received` to the peer; false when it is not complete.
bool ExtractDnsResponse(Peer& peer, Connection& connection) {
  std::string& received = connection.received;
  if (received.size() < kDnsResponseBytes) return false;
  peer.messages.push_back({&connection, "rcode " + std::to_string(received[kDnsRcodeByte] & 0xf)});
  received.erase(0, kDnsResponseBytes);
  return true;
}

bool ExtractFrame(Peer& peer, Connection& connection) {
  std::string& received = connection.received;
  if (received.size() < kLengthBytes) return false;
  const std::size_t size = FrameSize(received);
  if (received.size() - kLengthBytes < size) return false;
  peer.messages.push_back({&connection, received.substr(kLengthBytes, size)});
  received.erase(0, kLengthBytes + size);
  return true;
}

bool ExtractHttpMessage(Peer& peer, Connection& connection) {
  using net::HttpParser;
  if (connection.http->Feed(connection.received) != HttpParser::State::kDone) return false;
  const net::HttpMessage& message = connection.http->message();
  const auto kind = message.status > 0 ? HttpParser::Kind::kResponse : HttpParser::Kind::kRequest;
  peer.messages.push_back({&connection, Describe(message)});
  const std::string* opaque_id = message.Header(kOpaqueIdHeader);
  connection.opaque_id = opaque_id == nullptr ? "" : *opaque_id;
  connection.http = std::make_unique<HttpParser>(kind);
  return true;
}

bool ExtractMessage(Peer& peer, Connection& connection) {
  switch (connection.wire) {
    case WireKind::kDns:
      return ExtractDnsResponse(peer, connection);
    case WireKind::kFrames:
      return ExtractFrame(peer, connection);
    case WireKind::kHttp:
      return ExtractHttpMessage(peer, connection);
    case WireKind::kIgnored:
      break;
  }
  return false;
}

}  // namespace

void Write(Connection& connection, const std::string& bytes) {
  const std::string wire_bytes = connection.tls ? connection.tls->Encrypt(bytes) : bytes;
  if (net::WriteAll(connection.fd, wire_bytes, kWriteTimeoutUs).status != net::IoStatus::kOk) {
    throw ScenarioError("cannot write to the connection");
  }
}

void Handshake(Connection& connection) {
  std::string input;
  while (SSL_is_init_finished(connection.tls->raw()) == 0) {
    const std::string output = connection.tls->ProcessInput(input, connection.received);
    if (!output.empty()) net::WriteAll(connection.fd, output, kWriteTimeoutUs);
    input.clear();
    if (SSL_is_init_finished(connection.tls->raw()) != 0) return;
    if (net::ReadSome(connection.fd, input, kWriteTimeoutUs) != net::IoStatus::kOk) {
      throw ScenarioError("TLS handshake failed: the connection was closed or timed out");
    }
  }
}

void ReceiveMessages(Peer& peer, Connection& connection) {
  std::string raw;
  const net::IoStatus status = net::ReadSome(connection.fd, connection.tls ? raw : connection.received, 0);
  if (connection.tls) net::WriteAll(connection.fd, connection.tls->ProcessInput(raw, connection.received), 0);
  if (status == net::IoStatus::kEnd || status == net::IoStatus::kError) connection.ended = true;
  while (ExtractMessage(peer, connection)) {
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

void FillBacklog(Peer& peer) {
  // A backlog of 0 holds one connection; the handshakes of all others stay incomplete.
  constexpr int kFillers = 4;
  ::listen(peer.listener.Get(), 0);
  for (int i = 0; i < kFillers; ++i) peer.backlog_fillers.push_back(net::BeginConnect(peer.address));
}

Connection& ConnectionForFrame(Peer& peer, const std::string& frame) {
  const auto found = peer.shard_requests.find(frame.substr(1, frame.find(' ') - 1));
  const bool answers = frame.starts_with('a') && found != peer.shard_requests.end();
  return answers ? *found->second : *peer.last_expected;
}

}  // namespace liftrudder::tests
