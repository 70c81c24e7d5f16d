// Signs tokens with a private key, for trying an installation out and for tests: the coordinator issues no
// tokens in service. No I/O. For one thread.
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
  // Ed25519 or P-256, in PEM without a passphrase.
  static tl::expected<SigningKey, ReadError> Parse(const std::string& pem);
  // The key must be one of these two.
  explicit SigningKey(std::shared_ptr<evp_pkey_st> key);

  // The public half, as a member of a key set.
  nlohmann::json Jwk(const std::string& kid) const;
  std::string Token(const std::string& kid, const nlohmann::json& claims) const;
  // A token of any header and claims, valid or not.
  std::string Raw(const std::string& header, const std::string& claims) const;
  std::string Header(const std::string& kid) const;
  std::string Sign(const std::string& text) const;

 private:
  std::shared_ptr<evp_pkey_st> key_;
  bool is_ecdsa_ = false;
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_SIGNING_H_
