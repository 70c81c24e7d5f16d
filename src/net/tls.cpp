#include "net/tls.h"

#include <openssl/core_names.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#include <algorithm>
#include <cstring>
#include <optional>
#include <utility>

#include "net/tls_certificate.h"
#include "net/tls_ticket_keys.h"

namespace liftrudder::net {
namespace {

constexpr int kMaxClientChainBytes = 32 * 1024;
constexpr int kMaxClientChainDepth = 4;  // issuers between a client's certificate and one in client_ca
// For TLS 1.2; TLS 1.3 has no weak suites.
constexpr char kTls12CipherSuites[] = "ECDHE+AESGCM:ECDHE+CHACHA20";

constexpr int kTicketNotUsable = 0;  // ticket callback result: do a full handshake
constexpr int kTicketUsable = 1;     // resume the session
constexpr int kTicketRenew = 2;      // resume the session and issue a new ticket
constexpr int kTicketFailure = -1;   // fail the handshake

}  // namespace

struct TlsCallbacks {
  static TlsContext& ContextOf(SSL* ssl) {
    return *static_cast<TlsContext*>(SSL_CTX_get_app_data(SSL_get_SSL_CTX(ssl)));
  }

  // Selects the certificate that matches the server name requested by the client.
  static int SelectByServerName(SSL* ssl, int* /*alert*/, void* /*argument*/) {
    const char* name = SSL_get_servername(ssl, TLSEXT_NAMETYPE_host_name);
    if (name == nullptr) return SSL_TLSEXT_ERR_NOACK;
    for (const auto& context : ContextOf(ssl).contexts_) {
      if (X509_check_host(SSL_CTX_get0_certificate(context.get()), name, 0, 0, nullptr) != 1) continue;
      SSL_set_SSL_CTX(ssl, context.get());
      return SSL_TLSEXT_ERR_OK;
    }
    return SSL_TLSEXT_ERR_NOACK;
  }

  // Sets up the encryption of a new ticket or the decryption of a presented one (RFC 5077).
  static int PrepareTicketKey(SSL* ssl, unsigned char* name, unsigned char* iv, EVP_CIPHER_CTX* cipher,
                              EVP_MAC_CTX* mac, int encrypting) {
    TlsContext& context = ContextOf(ssl);
    Micros now_us = context.clock_->Now();
    TicketKeys::Key key;
    int result = kTicketUsable;
    if (encrypting != 0) {
      key = context.ticket_keys_->Newest(now_us);
      std::memcpy(name, key.name.data(), key.name.size());
      if (RAND_bytes(iv, EVP_CIPHER_get_iv_length(EVP_aes_256_cbc())) != 1) return kTicketFailure;
    } else {
      std::optional<TicketKeys::FoundKey> found = context.ticket_keys_->Find(name, now_us);
      if (!found) return kTicketNotUsable;
      key = found->key;
      if (!found->newest) result = kTicketRenew;
    }
    char digest[] = "SHA256";
    OSSL_PARAM params[] = {
        OSSL_PARAM_construct_octet_string(OSSL_MAC_PARAM_KEY, key.mac.data(), key.mac.size()),
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0), OSSL_PARAM_construct_end()};
    if (EVP_CipherInit_ex(cipher, EVP_aes_256_cbc(), nullptr, key.cipher.data(), iv, encrypting) != 1 ||
        EVP_MAC_CTX_set_params(mac, params) != 1) {
      return kTicketFailure;
    }
    return result;
  }
};

std::string TlsError::Message() const {
  std::string where = "certificate " + std::to_string(certificate) + ": ";
  switch (fault) {
    case TlsFault::kNoCertificate:
      return "no server certificate is configured";
    case TlsFault::kNoClientCa:
      return "client certificates are required or revocation lists are given, but no issuers of client "
             "certificates are configured";
    case TlsFault::kUnreadableClientCa:
      return "issuers of client certificates: the file contains no PEM certificate";
    case TlsFault::kUnreadableRevocation:
      return "revocation lists: the file contains no PEM revocation list";
    case TlsFault::kCertificate:
      return where + reason;
    case TlsFault::kKey:
      return where + "private key: " + reason;
  }
  return reason;
}

tl::expected<std::shared_ptr<const TlsContext>, TlsError> TlsContext::Create(TlsConfig config,
                                                                             const coordinator::Clock& clock,
                                                                             const TlsContext* previous) {
  bool mutual = !config.client_ca.empty();
  if (config.key_pairs.empty()) return tl::unexpected(TlsError{TlsFault::kNoCertificate, 0, {}});
  bool client_settings = config.client_required || !config.revocation_lists.empty();
  if (!mutual && client_settings) return tl::unexpected(TlsError{TlsFault::kNoClientCa, 0, {}});
  auto context = std::make_shared<TlsContext>();
  context->clock_ = &clock;
  context->config_ = std::move(config);
  bool keep_tickets = previous != nullptr && !mutual;
  context->ticket_keys_ = keep_tickets ? previous->ticket_keys_ : std::make_shared<TicketKeys>(clock.Now());
  if (mutual) {
    auto loaded = context->LoadClientCa();
    if (!loaded) return tl::unexpected(loaded.error());
  }
  for (const TlsKeyPair& pair : context->config_.key_pairs) {
    auto added = context->AddKeyPair(pair);
    if (!added) return tl::unexpected(added.error());
  }
  return std::shared_ptr<const TlsContext>(std::move(context));
}

tl::expected<void, TlsError> TlsContext::LoadClientCa() {
  for (Certificate& issuer : ReadCertificates(config_.client_ca)) {
    client_issuers_.emplace_back(issuer.release(), X509_free);
  }
  if (client_issuers_.empty()) return tl::unexpected(TlsError{TlsFault::kUnreadableClientCa, 0, {}});
  client_store_.reset(X509_STORE_new(), X509_STORE_free);
  for (const auto& issuer : client_issuers_) X509_STORE_add_cert(client_store_.get(), issuer.get());
  std::vector<RevocationList> lists = ReadRevocationLists(config_.revocation_lists);
  for (const RevocationList& list : lists) X509_STORE_add_crl(client_store_.get(), list.get());
  ERR_clear_error();
  if (!config_.revocation_lists.empty() && lists.empty()) {
    return tl::unexpected(TlsError{TlsFault::kUnreadableRevocation, 0, {}});
  }
  if (!lists.empty()) {
    X509_STORE_set_flags(client_store_.get(), X509_V_FLAG_CRL_CHECK | X509_V_FLAG_CRL_CHECK_ALL);
  }
  return {};
}

tl::expected<void, TlsError> TlsContext::AddKeyPair(const TlsKeyPair& pair) {
  std::size_t position = contexts_.size() + 1;
  auto certificate_fault = [position](std::string reason) {
    return tl::unexpected(TlsError{TlsFault::kCertificate, position, std::move(reason)});
  };
  auto key_fault = [position](std::string reason) {
    return tl::unexpected(TlsError{TlsFault::kKey, position, std::move(reason)});
  };
  std::shared_ptr<SSL_CTX> context(SSL_CTX_new(TLS_server_method()), SSL_CTX_free);
  if (context == nullptr) return certificate_fault(LastOpenSslError("out of memory"));
  Configure(context.get());
  std::vector<Certificate> chain = ReadCertificates(pair.certificate);
  if (chain.empty()) return certificate_fault("the file contains no PEM certificate");
  if (chain.size() > kMaxChainCertificates + 1) return certificate_fault("it has more than eight issuers");
  if (SSL_CTX_use_certificate(context.get(), chain[0].get()) != 1) {
    return certificate_fault(LastOpenSslError("OpenSSL rejects the certificate"));
  }
  for (std::size_t i = 1; i < chain.size(); ++i) SSL_CTX_add1_chain_cert(context.get(), chain[i].get());
  PrivateKey key = ReadPrivateKey(pair.key);
  if (key == nullptr) return key_fault(LastOpenSslError("the file contains no PEM private key"));
  if (SSL_CTX_use_PrivateKey(context.get(), key.get()) != 1 ||
      SSL_CTX_check_private_key(context.get()) != 1) {
    return key_fault(LastOpenSslError("it does not belong to the certificate"));
  }
  const ASN1_TIME* not_after = X509_get0_notAfter(chain[0].get());
  if (X509_cmp_current_time(not_after) <= 0) return certificate_fault("it has expired");
  bool first = contexts_.empty();
  std::int64_t expires_s = UnixSeconds(not_after);
  expires_s_ = first ? expires_s : std::min(expires_s_, expires_s);
  if (!first) subjects_ += ' ';
  subjects_ += SubjectOf(chain[0].get());
  contexts_.push_back(std::move(context));
  return {};
}

void TlsContext::Configure(SSL_CTX* context) {
  SSL_CTX_set_min_proto_version(context, TLS1_2_VERSION);
  SSL_CTX_set_cipher_list(context, kTls12CipherSuites);
  SSL_CTX_set_options(context,
                      SSL_OP_NO_RENEGOTIATION | SSL_OP_NO_COMPRESSION | SSL_OP_CIPHER_SERVER_PREFERENCE);
  SSL_CTX_set_mode(context, SSL_MODE_RELEASE_BUFFERS | SSL_MODE_NO_AUTO_CHAIN);
  SSL_CTX_set_session_cache_mode(context, SSL_SESS_CACHE_OFF);  // clients could fill a cache
  SSL_CTX_set_max_cert_list(context, kMaxClientChainBytes);
  static constexpr unsigned char kSessionIdContext[] = "liftrudder";
  SSL_CTX_set_session_id_context(context, kSessionIdContext, sizeof kSessionIdContext - 1);
  SSL_CTX_set_app_data(context, this);
  SSL_CTX_set_tlsext_servername_callback(context, TlsCallbacks::SelectByServerName);
  if (client_store_ != nullptr) {
    ConfigureClientCertificates(context);
  } else {
    SSL_CTX_set_num_tickets(context, 1);
    SSL_CTX_set_tlsext_ticket_key_evp_cb(context, TlsCallbacks::PrepareTicketKey);
  }
}

void TlsContext::ConfigureClientCertificates(SSL_CTX* context) const {
  SSL_CTX_set_options(context, SSL_OP_NO_TICKET);
  SSL_CTX_set_num_tickets(context, 0);
  SSL_CTX_set1_verify_cert_store(context, client_store_.get());
  SSL_CTX_set_verify_depth(context, kMaxClientChainDepth);
  int required = config_.client_required ? SSL_VERIFY_FAIL_IF_NO_PEER_CERT : 0;
  SSL_CTX_set_verify(context, SSL_VERIFY_PEER | required, nullptr);
  for (const auto& issuer : client_issuers_) SSL_CTX_add_client_CA(context, issuer.get());
}

std::string TlsContext::Verify(const TlsPeer& peer) const {
  if (client_store_ == nullptr) return "client certificates are no longer requested";
  std::unique_ptr<STACK_OF(X509), void (*)(STACK_OF(X509)*)> chain(
      sk_X509_new_null(), [](STACK_OF(X509) * stack) { sk_X509_free(stack); });
  for (const auto& issuer : peer.chain) sk_X509_push(chain.get(), issuer.get());
  StoreContext check(X509_STORE_CTX_new());
  if (X509_STORE_CTX_init(check.get(), client_store_.get(), peer.certificate.get(), chain.get()) != 1) {
    return LastOpenSslError("out of memory");
  }
  X509_STORE_CTX_set_default(check.get(), "ssl_client");
  X509_STORE_CTX_set_depth(check.get(), kMaxClientChainDepth);
  bool valid = X509_verify_cert(check.get()) == 1;
  ERR_clear_error();
  return valid ? std::string() : X509_verify_cert_error_string(X509_STORE_CTX_get_error(check.get()));
}

}  // namespace liftrudder::net
