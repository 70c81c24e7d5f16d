// Verifies a signature over a token with a public key. Thread-safe.
#ifndef LIFTRUDDER_IDENTITY_SIGNATURE_H_
#define LIFTRUDDER_IDENTITY_SIGNATURE_H_

#include <string_view>

#include "identity/keys.h"

namespace liftrudder::identity {

// `signature` is the 64 raw bytes of Ed25519 or ES256 (RFC 7518 section 3.4); any other length is invalid.
bool VerifySignature(const Key& key, std::string_view signed_text, std::string_view signature);

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_SIGNATURE_H_
