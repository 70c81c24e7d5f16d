#include "net/tls_channel.h"

#include <openssl/err.h>
#include <openssl/ssl.h>

#include <algorithm>
#include <utility>

#include "net/tls_certificate.h"

namespace liftrudder::net {
namespace {

constexpr std::size_t kMaxRecordPlaintextBytes = 16 * 1024;  // RFC 8446 section 5.1: plaintext of one record

}  // namespace

TlsChannel::TlsChannel(std::shared_ptr<const TlsContext> context)
    : context_(std::move(context)), ssl_(SSL_new(context_->raw()), SSL_free) {
  if (ssl_ == nullptr) {
    state_ = State::kFailed;
    fault_ = LastOpenSslError("out of memory");
    return;
  }
  SSL_set_bio(ssl_.get(), BIO_new(BIO_s_mem()), BIO_new(BIO_s_mem()));
  SSL_set_accept_state(ssl_.get());
}

TlsChannel::State TlsChannel::Feed(std::string_view arrived, std::string& plain, std::string& wire) {
  if (state_ == State::kFailed || state_ == State::kEnded) return state_;
  ERR_clear_error();
  BIO_write(SSL_get_rbio(ssl_.get()), arrived.data(), static_cast<int>(arrived.size()));
  int result = 1;
  if (state_ == State::kHandshake) {
    result = SSL_do_handshake(ssl_.get());
    if (result == 1) {
      state_ = State::kOpen;
      ReadPeer();
    }
  }
  char buffer[kMaxRecordPlaintextBytes];
  while (result > 0) {
    result = SSL_read(ssl_.get(), buffer, sizeof buffer);
    if (result > 0) plain.append(buffer, static_cast<std::size_t>(result));
  }
  state_ = StateAfter(result);
  TakeOutput(wire);  // after a failure, the alert that tells the client why
  return state_;
}

// The state after an OpenSSL call that transferred nothing: unchanged if it needs more input, kEnded if the
// client has closed its side, otherwise kFailed.
TlsChannel::State TlsChannel::StateAfter(int result) {
  int error = SSL_get_error(ssl_.get(), result);
  if (error == SSL_ERROR_WANT_READ || error == SSL_ERROR_WANT_WRITE) return state_;
  if (error == SSL_ERROR_ZERO_RETURN) return State::kEnded;
  long verified = SSL_get_verify_result(ssl_.get());  // NOLINT(google-runtime-int): OpenSSL's type
  fault_ = LastOpenSslError("TLS failed without an OpenSSL reason");
  if (verified != X509_V_OK) fault_ += std::string(": ") + X509_verify_cert_error_string(verified);
  return State::kFailed;
}

bool TlsChannel::Encrypt(std::string_view plain, std::string& wire) {
  if (state_ != State::kOpen && state_ != State::kEnded) return false;
  ERR_clear_error();
  bool encrypted = true;
  while (encrypted && !plain.empty()) {
    std::size_t size = std::min(plain.size(), kMaxRecordPlaintextBytes);
    encrypted = SSL_write(ssl_.get(), plain.data(), static_cast<int>(size)) == static_cast<int>(size);
    plain.remove_prefix(size);
    TakeOutput(wire);
  }
  if (!encrypted) state_ = State::kFailed;
  return encrypted;
}

void TlsChannel::Close(std::string& wire) {
  if (state_ != State::kOpen && state_ != State::kEnded) return;
  SSL_shutdown(ssl_.get());
  ERR_clear_error();
  TakeOutput(wire);
}

bool TlsChannel::resumed() const { return SSL_session_reused(ssl_.get()) == 1; }
std::string TlsChannel::protocol() const { return SSL_get_version(ssl_.get()); }

void TlsChannel::TakeOutput(std::string& wire) {
  BIO* output = SSL_get_wbio(ssl_.get());
  std::size_t pending = BIO_ctrl_pending(output);
  std::size_t size_before = wire.size();
  wire.resize(size_before + pending);
  if (pending > 0) BIO_read(output, wire.data() + size_before, static_cast<int>(pending));
}

void TlsChannel::ReadPeer() {
  X509* certificate = SSL_get1_peer_certificate(ssl_.get());
  if (certificate == nullptr) return;
  peer_ = std::make_unique<TlsPeer>();
  peer_->certificate.reset(certificate, X509_free);
  peer_->names = SubjectAltNames(certificate);
  peer_->subject = SubjectOf(certificate);
  STACK_OF(X509)* chain = SSL_get_peer_cert_chain(ssl_.get());
  for (int i = 0; i < sk_X509_num(chain) && peer_->chain.size() < kMaxChainCertificates; ++i) {
    X509* issuer = sk_X509_value(chain, i);
    X509_up_ref(issuer);
    peer_->chain.emplace_back(issuer, X509_free);
  }
}

}  // namespace liftrudder::net
