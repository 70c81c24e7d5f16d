// The server's TLS configuration at one point in time: certificates, the issuers of client certificates and
// their revocation lists. No file or socket I/O; uses OpenSSL for cryptography. Connections are TlsChannels.
#ifndef LIFTRUDDER_NET_TLS_H_
#define LIFTRUDDER_NET_TLS_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "coordinator/interfaces.h"

struct ssl_ctx_st;
struct x509_st;
struct x509_store_st;

namespace liftrudder::net {

using coordinator::Micros;

class TicketKeys;

// The most certificates besides the leaf, in a file or from a client.
constexpr std::size_t kMaxChainCertificates = 8;

// PEM texts.
struct TlsKeyPair {
  std::string certificate;  // the leaf first, followed by its issuers
  std::string key;
  bool operator==(const TlsKeyPair&) const = default;
};

// PEM texts.
struct TlsConfig {
  std::vector<TlsKeyPair> key_pairs;  // the first serves clients that name no server or an unknown one
  std::string client_ca;  // issuers of client certificates; empty: no client certificates are requested
  std::string revocation_lists;  // a revocation list of every issuer; empty: revocation is not checked
  bool client_required = false;
  bool operator==(const TlsConfig&) const = default;
};

enum class TlsFault {
  kNoCertificate,         // no pair was given
  kNoClientCa,            // `client_required` or `revocation_lists` is set without `client_ca`
  kUnreadableClientCa,    // `client_ca` holds no certificate
  kUnreadableRevocation,  // `revocation_lists` holds no list
  kCertificate,           // a pair's certificate cannot be used
  kKey,                   // a pair's key cannot be used
};

struct TlsError {
  TlsFault fault = TlsFault::kNoCertificate;
  std::size_t certificate = 0;  // number of the pair, from 1; 0: no particular pair
  std::string reason;           // of kCertificate and kKey
  std::string Message() const;
};

// The contents of a client's verified certificate.
struct TlsPeer {
  std::vector<std::string> names;  // its subjectAltName, prefixed with dns:, uri: or email:
  std::string subject;             // on one line, for the audit log
  std::shared_ptr<x509_st> certificate;
  std::vector<std::shared_ptr<x509_st>> chain;  // issuers, as the client sent them
};

// Immutable; a connection keeps the context that it began with. Thread-safe.
class TlsContext {
 public:
  // Session tickets issued under `previous` stay valid. None are issued if client certificates are requested:
  // a resumed connection presents no certificate, so a revocation would have no effect. `clock` must outlive
  // the context.
  static tl::expected<std::shared_ptr<const TlsContext>, TlsError> Create(
      TlsConfig config, const coordinator::Clock& clock, const TlsContext* previous = nullptr);

  const TlsConfig& config() const { return config_; }
  // Why a client certificate that was valid when its connection began is no longer valid: it has expired, was
  // revoked, or its issuer was removed. Empty if it is still valid.
  std::string Verify(const TlsPeer& peer) const;
  // The earliest expiry of the server's certificates, in seconds of Unix time.
  std::int64_t expires_s() const { return expires_s_; }
  // The subjects of the server's certificates, for the audit log.
  const std::string& subjects() const { return subjects_; }
  ssl_ctx_st* raw() const { return contexts_[0].get(); }

 private:
  friend struct TlsCallbacks;

  tl::expected<void, TlsError> LoadClientCa();
  tl::expected<void, TlsError> AddKeyPair(const TlsKeyPair& pair);
  void Configure(ssl_ctx_st* context);
  void ConfigureClientCertificates(ssl_ctx_st* context) const;

  TlsConfig config_;
  const coordinator::Clock* clock_ = nullptr;
  std::shared_ptr<TicketKeys> ticket_keys_;
  std::vector<std::shared_ptr<ssl_ctx_st>> contexts_;  // one for each pair
  std::vector<std::shared_ptr<x509_st>> client_issuers_;
  std::shared_ptr<x509_store_st> client_store_;  // null: no client certificates are requested
  std::int64_t expires_s_ = 0;
  std::string subjects_;
};

// The current context, which new connections use and a reload replaces. Thread-safe.
class ReloadableTlsContext {
 public:
  void Set(std::shared_ptr<const TlsContext> context) {
    std::lock_guard lock(mutex_);
    context_ = std::move(context);
  }
  std::shared_ptr<const TlsContext> Get() const {
    std::lock_guard lock(mutex_);
    return context_;
  }

 private:
  mutable std::mutex mutex_;
  std::shared_ptr<const TlsContext> context_;  // under the lock
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_TLS_H_
