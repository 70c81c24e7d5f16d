// Callers' compact tokens (JWS, RFC 7515, with the claims of RFC 7519): parsed strictly and verified against
// a KeySet at a given time, with the exact reason for a rejection. Does no I/O and reads no clock.
// Thread-safe.
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
constexpr std::size_t kMaxClaimBytes = 256;  // of a string in a header or in claims

enum class TokenError {
  kTooLong,
  kNotCompact,   // not three sections separated by two dots
  kBadEncoding,  // a section that is not strict base64url
  kBadHeader,    // not JSON, a duplicate member, a member of another type
  kCritical,     // `crit` (RFC 7515 section 4.1.11) or `b64` (RFC 7797): extensions are not supported
  kNoAlgorithm,  // absent, `none`, or neither EdDSA nor ES256
  kNoKid,
  kUnknownKey,
  kWrongAlgorithm,  // the header's algorithm differs from the key's
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

// Returns the error's name in the audit log.
std::string_view Name(TokenError error);

struct TokenRequirements {
  std::string issuer;
  std::string audience;
  Micros clock_skew_us = 5'000'000;        // tolerated in both directions
  Micros max_lifetime_us = 86400'000'000;  // from `iat`, or from now if it is absent, to `exp`
};

struct VerifiedToken {
  std::string tenant;
  std::string subject;
  std::string kid;
  Thumbprint key{};          // the one that signed the token
  Micros valid_from_us = 0;  // both times include the tolerated clock skew
  Micros valid_until_us = 0;
};

// No claim is read before the signature has been verified.
tl::expected<VerifiedToken, TokenError> VerifyToken(std::string_view token, const KeySet& keys,
                                                    const TokenRequirements& requirements, Micros now_us);

// Checks the key's state alone: returns why signatures of the key are not accepted now, or nothing if the
// state allows them. A null `key` means that the key was removed from the set; it counts as withdrawn.
std::optional<TokenError> CheckKeyState(const Key* key, Micros now_us);

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_TOKEN_H_
