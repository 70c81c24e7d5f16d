// The server side of one client connection: the socket, with TLS if the listener uses it. Reads and writes
// plaintext in both cases. Each call does a bounded amount of work; the connection's lifetime is bounded by
// the caller.
#ifndef LIFTRUDDER_NET_CLIENT_CONNECTION_H_
#define LIFTRUDDER_NET_CLIENT_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include "net/socket.h"
#include "net/tls.h"
#include "net/tls_channel.h"

namespace liftrudder::net {

// A client's certificate and whether it is still valid.
struct VerifiedPeer {
  const TlsPeer* peer = nullptr;  // null: none was presented, or none is requested any more
  std::string error;              // why it is no longer valid; empty: it is valid
};

// Used by one thread at a time; owns the socket.
class ClientConnection {
 public:
  ClientConnection() = default;
  // `tls` null: plain TCP. The connection keeps the TLS context that is current at construction.
  ClientConnection(Fd fd, const ReloadableTlsContext* tls)
      : fd_(std::move(fd)), reloadable_context_(tls), context_(tls == nullptr ? nullptr : tls->Get()) {}

  // Appends a bounded amount of received plaintext without waiting. kTimeout: no plaintext yet, although a
  // handshake may have advanced. kEnd: the client closed its side, under TLS with a close_notify. kError: the
  // connection was reset or truncated, or violated the protocol.
  IoStatus Read(std::string& plain);
  WriteResult Write(std::string_view plain, Micros wait_us);
  // What the next Read would return. Plaintext that this has to decrypt is kept for that Read.
  SocketState Probe();
  // Sends the TLS close_notify or alert without waiting, so that the client can tell this end from a
  // truncation. Releases the socket; the caller should read it to its end before closing it.
  Fd Finish();
  Fd Release() { return std::move(fd_); }

  int fd() const { return fd_.Get(); }
  bool InHandshake() const {
    return channel_ != nullptr && channel_->state() == TlsChannel::State::kHandshake;
  }
  // Null before the first byte has arrived, and without TLS.
  const TlsChannel* channel() const { return channel_.get(); }
  // Verifies the certificate again when the TLS context has changed, and at most every kReverifyIntervalUs to
  // detect expiry.
  VerifiedPeer Peer(Micros now_us);

 private:
  static constexpr Micros kReverifyIntervalUs = 1'000'000;

  Fd fd_;
  const ReloadableTlsContext* reloadable_context_ = nullptr;
  std::shared_ptr<const TlsContext> context_;  // null: plain TCP
  std::unique_ptr<TlsChannel> channel_;        // created at the first byte, so that silent clients need none
  std::string probed_;                         // plaintext that Probe has read

  // The last verification of the peer's certificate.
  std::shared_ptr<const TlsContext> verified_against_;
  Micros verified_us_ = 0;
  std::string peer_error_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_CLIENT_CONNECTION_H_
