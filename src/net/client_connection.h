// The server's side of one client connection: the socket, with TLS over it where the listener has that. Reads
// and writes plain text either way. It bounds what one call does, not how long the connection lives.
#ifndef LIFTRUDDER_NET_CLIENT_CONNECTION_H_
#define LIFTRUDDER_NET_CLIENT_CONNECTION_H_

#include <memory>
#include <string>
#include <string_view>

#include "net/socket.h"
#include "net/tls.h"
#include "net/tls_channel.h"

namespace liftrudder::net {

// The certificate that a client showed, and whether it is still valid.
struct VerifiedPeer {
  const TlsPeer* peer = nullptr;  // null: none was shown, or none is asked for now
  std::string fault;              // why it is not valid any more; empty: it is
};

// Used by one thread at a time; owns the socket.
class ClientConnection {
 public:
  ClientConnection() = default;
  // `tls` null: plain TCP. The connection keeps the context that is current now.
  ClientConnection(Fd fd, const TlsSource* tls)
      : fd_(std::move(fd)), source_(tls), context_(tls == nullptr ? nullptr : tls->Get()) {}

  // Appends what has arrived, a bounded amount, without waiting. kTimeout: no plain text, though a handshake
  // may have advanced. kEnd: the client closed its side properly. kError: the connection was cut or violated
  // the protocol.
  Io Read(std::string& plain);
  Written Write(std::string_view plain, Micros wait_us);
  // What the next Read would find; what this has to read for it is kept for that.
  SocketState Probe();
  // Sends the TLS closure or alert without waiting, so that the client can tell this end from a cut, and
  // releases the socket, which the caller should read to its end.
  Fd Finish();
  Fd Release() { return std::move(fd_); }

  int fd() const { return fd_.Get(); }
  bool InHandshake() const {
    return channel_ != nullptr && channel_->state() == TlsChannel::State::kHandshake;
  }
  // Null before the first byte, and without TLS.
  const TlsChannel* channel() const { return channel_.get(); }
  // The certificate is verified again when the server's files have changed, and every kReverifyInterval for
  // what expires.
  VerifiedPeer Peer(Micros now_us);

 private:
  static constexpr Micros kReverifyInterval = 1'000'000;

  Fd fd_;
  const TlsSource* source_ = nullptr;
  std::shared_ptr<const TlsContext> context_;  // null: plain TCP
  std::unique_ptr<TlsChannel> channel_;        // made at the first byte: a silent client costs none
  std::string probed_;                         // plain text that Probe has read

  // The last verification of the peer's certificate.
  std::shared_ptr<const TlsContext> verified_against_;
  Micros verified_us_ = 0;
  std::string peer_fault_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_CLIENT_CONNECTION_H_
