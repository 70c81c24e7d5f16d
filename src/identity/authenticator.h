// Authenticates requests: verifies the token, matches the client's certificate, and looks up the tenant's
// permissions. Keys and permissions are handed in; files are read elsewhere. Any thread.
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

// An authenticated caller, with the permissions that hold for this request whatever changes meanwhile.
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
  std::string certificate_error;               // why the certificate is no longer good; empty: it is good
};

struct AuthenticationError {
  enum class Kind {
    kUnauthenticated,  // 401
    kForbidden,        // 403: authenticated, but not from this network
  };
  Kind kind = Kind::kUnauthenticated;
  std::string reason;  // for the audit log alone: it would tell a forger how far it came
  std::string tenant;  // where one was established
};

class Authenticator {
 public:
  explicit Authenticator(PermissionTable permission_table);

  // One line of text for each change, for the audit log.
  using Changes = std::vector<std::string>;
  // The new version holds for all requests from now on. On an error nothing changes.
  tl::expected<Changes, ReadError> ReplaceKeys(std::string_view text);
  tl::expected<Changes, ReadError> ReplacePermissions(PermissionTable permission_table);

  // The token names the caller; without one, the certificate does. Where both name a tenant it must be the
  // same, so that a stolen token is useless on another tenant's connection.
  tl::expected<Principal, AuthenticationError> Authenticate(const Credentials& credentials, Micros now_us);

  std::shared_ptr<const PermissionTable> permission_table() const;

 private:
  TokenVerifier token_verifier_;
  mutable std::mutex mutex_;
  std::shared_ptr<const PermissionTable> permission_table_;  // guarded by mutex_
};

// Limits the lines that rejected callers can cause in the audit log. Not thread-safe.
class AuditLimiter {
 public:
  // Nothing: this line is not to be written. Otherwise the number of lines suppressed since the last written
  // one.
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
