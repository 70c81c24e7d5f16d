// Callers' compact tokens (JWS, RFC 7515, with the claims of RFC 7519): parsed strictly and verified against
// a KeySet at a given time, with the exact reason of a rejection. No I/O, no clock. Plain functions for any
// thread.
#ifndef LIFTRUDDER_IDENTITY_TOKEN_H_
#define LIFTRUDDER_IDENTITY_TOKEN_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "identity/keys.h"

namespace liftrudder::identity {

constexpr std::size_t kMaxTokenBytes = 4096;
constexpr std::size_t kMaxClaimBytes = 256;  // of a name in a claim or header

enum class TokenError {
  kTooLong,
  kNotCompact,   // not three sections separated by two dots
  kBadEncoding,  // a section that is not strict base64url
  kBadHeader,    // not JSON, a duplicate member, a member of another type
  kCritical,     // `crit`: an extension that this program does not know (RFC 7515 section 4.1.11)
  kNoAlgorithm,  // `none`, or one that is neither EdDSA nor ES256
  kNoKid,
  kUnknownKey,
  kWrongAlgorithm,  // the header's does not fit the key
  kKeyAnnounced,
  kKeyRetired,
  kKeyWithdrawn,
  kBadSignature,
  kBadClaims,
  kNoIssuer,    // absent, or another issuer
  kNoAudience,  // the coordinator's audience is not among them
  kNoExpiry,
  kExpired,
  kNotYet,  // `nbf` or `iat` lies in the future
  kTooLongLived,
  kNoTenant,  // no tenant, or no subject
};

// The reason as the audit log shows it.
std::string_view Name(TokenError error);

struct TokenRequirements {
  std::string issuer;
  std::string audience;
  Micros clock_skew_us = 5'000'000;        // tolerated in both directions
  Micros max_lifetime_us = 86400'000'000;  // from `iat`, or from now where it is absent, to `exp`
};

struct VerifiedToken {
  std::string tenant;
  std::string subject;
  std::string kid;
  Thumbprint key{};          // that signed it
  Micros valid_from_us = 0;  // with the tolerated skew, as is the next
  Micros valid_until_us = 0;
};

// No claim is read before the signature has been verified.
tl::expected<VerifiedToken, TokenError> VerifyToken(std::string_view token, const KeySet& keys,
                                                    const TokenRequirements& requirements, Micros now_us);

// Why signatures of this key do not count now, going by its state alone; nothing: they count. A null key is
// one that has left the set, which withdraws it.
std::optional<TokenError> CheckKeyState(const Key* key, Micros now_us);

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_TOKEN_H_
