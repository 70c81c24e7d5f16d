// Authenticates requests: verifies the token, matches the client's certificate, and looks up the tenant's
// permissions. The caller reads the files and passes in keys and permissions. Authenticator is thread-safe.
#ifndef LIFTRUDDER_IDENTITY_AUTHENTICATOR_H_
#define LIFTRUDDER_IDENTITY_AUTHENTICATOR_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "identity/permissions.h"
#include "identity/token_verifier.h"

namespace liftrudder::identity {

// An authenticated caller, with the permissions that apply to this request even if they are replaced
// meanwhile.
struct Principal {
  std::string tenant;
  std::string subject;
  std::shared_ptr<const Permissions> permissions;
};

// What a request and its connection present.
struct Credentials {
  const std::string* authorization = nullptr;  // the header's text; null: absent
  std::string address;                         // of the client
  std::vector<std::string> certificate_names;  // as net::TlsPeer has them; empty: no certificate
  std::string certificate_error;               // why the certificate is no longer valid; empty: it is valid
};

struct AuthenticationError {
  enum class Kind {
    kUnauthenticated,  // 401
    kForbidden,        // 403: authenticated, but not from this network
  };
  Kind kind = Kind::kUnauthenticated;
  std::string reason;  // for the audit log only: it would tell a forger which check failed
  std::string tenant;  // empty if none was determined
};

class Authenticator {
 public:
  explicit Authenticator(PermissionTable permission_table);

  // One line of text for each change, for the audit log.
  using Changes = std::vector<std::string>;
  // Each replaces the current version for all later requests. On an error nothing changes.
  tl::expected<Changes, ReadError> ReplaceKeys(std::string_view text);
  tl::expected<Changes, ReadError> ReplacePermissions(PermissionTable permission_table);

  // The token identifies the caller; without one, the certificate does. If both name a tenant, the two must
  // match, so that a stolen token is useless on another tenant's connection.
  tl::expected<Principal, AuthenticationError> Authenticate(const Credentials& credentials, Micros now_us);

  std::shared_ptr<const PermissionTable> permission_table() const;
  std::shared_ptr<const KeySet> keys() const { return token_verifier_.keys(); }

 private:
  TokenVerifier token_verifier_;
  mutable std::mutex mutex_;
  std::shared_ptr<const PermissionTable> permission_table_;  // guarded by mutex_
};

// Limits the rate of audit log lines about rejected callers. Not thread-safe.
class AuditLimiter {
 public:
  // Returns the number of lines suppressed since the last written one, or nothing if this line is suppressed
  // too.
  std::optional<std::int64_t> TryWrite(Micros now_us);

 private:
  static constexpr double kLinesPerSecond = 10;
  static constexpr double kBurstLines = 20;
  double tokens_ = kBurstLines;
  Micros refilled_us_ = 0;
  std::int64_t suppressed_ = 0;
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_AUTHENTICATOR_H_
