// What an issuer of callers' tokens does, for trying an installation out: this program issues none in
// service. A private key signs compact tokens and gives the public half for a key set. No I/O.
#ifndef LIFTRUDDER_IDENTITY_SIGNING_H_
#define LIFTRUDDER_IDENTITY_SIGNING_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>

struct evp_pkey_st;

namespace liftrudder::identity {

class SigningKey {
 public:
  // Ed25519 or P-256, in PEM without a passphrase; or what is wrong with it.
  static std::variant<SigningKey, std::string> Read(const std::string& pem);
  // The key must be one of these two.
  explicit SigningKey(std::shared_ptr<evp_pkey_st> key);

  // The public half, as a member of a key set.
  nlohmann::json Jwk(const std::string& kid) const;
  std::string Token(const std::string& kid, const nlohmann::json& claims) const;
  // The token of any header and claims, fit or not.
  std::string Raw(const std::string& header, const std::string& claims) const;
  std::string Header(const std::string& kid) const;
  std::string Sign(const std::string& text) const;

 private:
  std::shared_ptr<evp_pkey_st> key_;
  bool ecdsa_ = false;
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_SIGNING_H_
