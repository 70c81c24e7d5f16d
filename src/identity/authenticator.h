// Lets requests in or turns them away: the gate for tokens, and the newest book of tenants' rights. Decides
// from what it is handed; files are read elsewhere. Any thread.
#ifndef LIFTRUDDER_IDENTITY_AUTHENTICATOR_H_
#define LIFTRUDDER_IDENTITY_AUTHENTICATOR_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "identity/permissions.h"
#include "identity/token_verifier.h"

namespace liftrudder::identity {

// Who was let in, with the rights that hold for this request whatever changes meanwhile.
struct Principal {
  std::string tenant, subject;
  std::shared_ptr<const Permissions> permissions;
};

// What a request and its connection show of who asks.
struct Presented {
  const std::string* authorization =
      nullptr;  // that header's text; null where there is none or more than one
  std::string address;
  // Of the client's certificate, as net::TlsPeer has them; none where none was shown.
  std::vector<std::string> names;
  std::string wrong;  // why that certificate is not good any more; empty: it is
};

// `why` is for the audit alone; a caller learns only whether it is unknown or not let in from there.
struct Refusal {
  std::string reason;
  bool unknown = true;  // 401; else 403
  std::string tenant;   // where the token was good
};

class Authenticator {
 public:
  explicit Authenticator(PermissionTable permission_table);

  // The newer keys or rights hold for every request after; or nothing changes and it says why. What changed
  // is a line each in `changes`.
  std::optional<std::string> TakeKeys(std::string_view text, std::vector<std::string>& changes);
  std::optional<std::string> TakePermissions(PermissionTable permission_table,
                                             std::vector<std::string>& changes);

  // A token says who asks; where there is none, the certificate. Where both name a tenant it must be the
  // same, so that a token that was taken is no use on another tenant's connection.
  std::variant<Principal, Refusal> Admit(const Presented& presented, Micros now_us);

  std::shared_ptr<const PermissionTable> permission_table() const;

 private:
  TokenVerifier token_verifier_;
  mutable std::mutex mutex_;
  std::shared_ptr<const PermissionTable> permission_table_;
};

// Bounds what is written of refusals: so many lines a second, and how many there were besides. Not for
// several threads without a lock of the caller's.
class AuditLimiter {
 public:
  // Whether this refusal's line is written; `unwritten` says how many were not since the last that was.
  bool Take(Micros now_us, std::int64_t& unwritten);

 private:
  static constexpr double kLinesPerSecond = 10, kBurst = 20;
  double tokens_ = kBurst;
  Micros filled_us_ = 0;
  std::int64_t unwritten_ = 0;
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_AUTHENTICATOR_H_
