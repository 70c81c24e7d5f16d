// Signs tokens with a private key, to try out an installation and for tests; the coordinator itself issues no
// tokens. No I/O. Not thread-safe.
#ifndef LIFTRUDDER_IDENTITY_SIGNING_H_
#define LIFTRUDDER_IDENTITY_SIGNING_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

#include "identity/read_error.h"

struct evp_pkey_st;

namespace liftrudder::identity {

class SigningKey {
 public:
  // Parses an Ed25519 or P-256 private key in PEM without a passphrase.
  static tl::expected<SigningKey, ReadError> Parse(const std::string& pem);
  // `key` must be an Ed25519 or P-256 private key.
  explicit SigningKey(std::shared_ptr<evp_pkey_st> key);

  // Returns the public key as a JWK.
  nlohmann::json Jwk(const std::string& kid) const;
  std::string Token(const std::string& kid, const nlohmann::json& claims) const;
  // Signs any header and claims, valid or not.
  std::string RawToken(const std::string& header, const std::string& claims) const;
  std::string Header(const std::string& kid) const;
  std::string Sign(const std::string& text) const;

 private:
  std::shared_ptr<evp_pkey_st> key_;
  bool is_ecdsa_ = false;
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_SIGNING_H_
