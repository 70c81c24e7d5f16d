// A signer of callers' tokens for tests, with a new key pair each time.
#ifndef LIFTRUDDER_TESTS_SUPPORT_TOKEN_SIGNER_H_
#define LIFTRUDDER_TESTS_SUPPORT_TOKEN_SIGNER_H_

#include <openssl/ec.h>
#include <openssl/evp.h>

#include <array>

#include "identity/signing.h"

namespace liftrudder::tests {

using Json = nlohmann::json;

class Signer : public identity::SigningKey {
 public:
  explicit Signer(bool ecdsa)
      : SigningKey(
            {ecdsa ? EVP_EC_gen("P-256") : EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"), EVP_PKEY_free}) {}

  // Always the same key pair, for inputs of a stored corpus.
  explicit Signer(const std::array<unsigned char, 32>& ed25519)
      : SigningKey({EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, ed25519.data(), ed25519.size()),
                    EVP_PKEY_free}) {}
};

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SUPPORT_TOKEN_SIGNER_H_
