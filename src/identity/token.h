// Compact tokens of callers (JWS, RFC 7515; claims as RFC 7519 has them): read strictly and held against a
// KeySet at a moment that is handed in. Says exactly why not. No I/O, no clock; plain functions, any thread.
#ifndef LIFTRUDDER_IDENTITY_TOKEN_H_
#define LIFTRUDDER_IDENTITY_TOKEN_H_

#include <string>
#include <string_view>
#include <variant>

#include "identity/keys.h"

namespace liftrudder::identity {

constexpr std::size_t kMostToken = 4096;  // bytes
constexpr std::size_t kMostClaim = 256;   // of a name in it

enum class Denial {
  kNone,
  kTooLong,
  kNotCompact,   // not three parts between two dots
  kBadEncoding,  // a part that is not strict base64url
  kBadHeader,    // not JSON, a member twice, a member of another kind
  kCritical,     // `crit`: an extension that this program does not know (RFC 7515 section 4.1.11)
  kNoAlgorithm,  // `none`, or one that is neither EdDSA nor ES256
  kNoKid,
  kUnknownKey,
  kWrongAlgorithm,  // the header's does not fit the key
  kKeyAnnounced,
  kKeyRetired,  // its overlap has ended
  kKeyWithdrawn,
  kBadSignature,
  kBadClaims,
  kNoIssuer,    // or another one
  kNoAudience,  // we are not among them
  kNoExpiry,
  kExpired,
  kNotYet,  // `nbf`, or an `iat` that lies ahead
  kTooLongLived,
  kNoTenant,
};

std::string_view Name(Denial reason);

struct Rules {
  std::string issuer, audience;
  Micros skew_us = 5'000'000;           // that clocks may differ, both ways
  Micros most_life_us = 86400'000'000;  // from `iat`, or from now where there is none, to `exp`
};

struct VerifiedToken {
  std::string tenant, subject;
  std::string kid;
  Thumbprint key{};
  Micros from_us = 0, until_us = 0;  // within which the token holds, skew included
};

// The caller, or why not. A denied token's own words are told nobody.
std::variant<VerifiedToken, Denial> Verify(std::string_view token, const KeySet& keys, const Rules& rules,
                                           Micros now_us);

// Whether the key may vouch at that moment, by its state alone; kNone: it may. A key that is not in the set
// any more is withdrawn.
Denial MaySign(const Key* key, Micros now_us);

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_TOKEN_H_
