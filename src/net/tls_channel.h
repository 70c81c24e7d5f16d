// The server side of TLS on one connection, without I/O: takes received bytes and returns plaintext and bytes
// to write. The owner of the socket limits the time and number of handshakes.
#ifndef LIFTRUDDER_NET_TLS_CHANNEL_H_
#define LIFTRUDDER_NET_TLS_CHANNEL_H_

#include <memory>
#include <string>
#include <string_view>

#include "net/tls.h"

struct ssl_st;

namespace liftrudder::net {

// Used by one thread at a time.
class TlsChannel {
 public:
  enum class State {
    kHandshake,
    kOpen,
    kEnded,   // the client sent close_notify; a connection that ends without it was truncated
    kFailed,  // see fault()
  };

  explicit TlsChannel(std::shared_ptr<const TlsContext> context);

  // Processes received bytes. Appends plaintext to `plain`, and bytes to write, including alerts, to `wire`.
  State Feed(std::string_view arrived, std::string& plain, std::string& wire);
  // Encrypts `plain` and appends it to `wire`. Returns false during the handshake and after a failure.
  bool Encrypt(std::string_view plain, std::string& wire);
  // Appends the close_notify.
  void Close(std::string& wire);

  State state() const { return state_; }
  const std::string& fault() const { return fault_; }  // why it failed; empty if it has not
  // Null if the client has presented no certificate.
  const TlsPeer* peer() const { return peer_.get(); }
  bool resumed() const;
  std::string protocol() const;

 private:
  void TakeOutput(std::string& wire);
  State StateAfter(int result);
  void ReadPeer();

  std::shared_ptr<const TlsContext> context_;
  std::unique_ptr<ssl_st, void (*)(ssl_st*)> ssl_;
  State state_ = State::kHandshake;
  std::string fault_;
  std::unique_ptr<TlsPeer> peer_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_TLS_CHANNEL_H_
