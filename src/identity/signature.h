// Verifies a signature over a token with a public key. A plain function for any thread.
#ifndef LIFTRUDDER_IDENTITY_SIGNATURE_H_
#define LIFTRUDDER_IDENTITY_SIGNATURE_H_

#include <string_view>

#include "identity/keys.h"

namespace liftrudder::identity {

// `signature`: 64 raw bytes, as Ed25519 and ES256 (RFC 7518 section 3.4) have them.
bool VerifySignature(const Key& key, std::string_view signed_text, std::string_view signature);

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_SIGNATURE_H_
