// What the issuer of callers' tokens would hold: a key pair of the tests' own, made anew each time.
#ifndef LIFTRUDDER_TESTS_SIGNER_H_
#define LIFTRUDDER_TESTS_SIGNER_H_

#include <openssl/core_names.h>
#include <openssl/ecdsa.h>
#include <openssl/evp.h>

#include <array>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "identity/base64url.h"

namespace liftrudder::tests {

using Json = nlohmann::json;
using identity::EncodeBase64Url;

class Signer {
 public:
  explicit Signer(bool ecdsa)
      : ecdsa_(ecdsa),
        key_(ecdsa ? EVP_EC_gen("P-256") : EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"), EVP_PKEY_free) {}

  // Always the same key pair, for inputs that are kept.
  explicit Signer(const std::array<unsigned char, 32>& ed25519)
      : ecdsa_(false),
        key_(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, ed25519.data(), ed25519.size()),
             EVP_PKEY_free) {}

  Json Jwk(const std::string& kid) const {
    if (!ecdsa_) {
      std::string x(32, '\0');
      std::size_t size = x.size();
      EVP_PKEY_get_raw_public_key(key_.get(), reinterpret_cast<unsigned char*>(x.data()), &size);
      return {{"kid", kid}, {"kty", "OKP"}, {"crv", "Ed25519"}, {"x", EncodeBase64Url(x)}};
    }
    unsigned char point[65];
    std::size_t size = 0;
    EVP_PKEY_get_octet_string_param(key_.get(), OSSL_PKEY_PARAM_ENCODED_PUBLIC_KEY, point, sizeof point,
                                    &size);
    std::string all(reinterpret_cast<char*>(point), size);
    return {{"kid", kid},
            {"kty", "EC"},
            {"crv", "P-256"},
            {"x", EncodeBase64Url(all.substr(1, 32))},
            {"y", EncodeBase64Url(all.substr(33))}};
  }

  std::string Sign(const std::string& text) const {
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
    EVP_DigestSignInit(context.get(), nullptr, ecdsa_ ? EVP_sha256() : nullptr, nullptr, key_.get());
    std::string out(128, '\0');
    std::size_t size = out.size();
    EVP_DigestSign(context.get(), reinterpret_cast<unsigned char*>(out.data()), &size,
                   reinterpret_cast<const unsigned char*>(text.data()), text.size());
    out.resize(size);
    if (!ecdsa_) return out;
    const auto* der = reinterpret_cast<const unsigned char*>(out.data());
    std::unique_ptr<ECDSA_SIG, decltype(&ECDSA_SIG_free)> both(
        d2i_ECDSA_SIG(nullptr, &der, static_cast<long>(size)), ECDSA_SIG_free);
    std::string raw(64, '\0');
    auto* bytes = reinterpret_cast<unsigned char*>(raw.data());
    BN_bn2binpad(ECDSA_SIG_get0_r(both.get()), bytes, 32);
    BN_bn2binpad(ECDSA_SIG_get0_s(both.get()), bytes + 32, 32);
    return raw;
  }

  std::string Raw(const std::string& header, const std::string& claims) const {
    std::string text = EncodeBase64Url(header) + "." + EncodeBase64Url(claims);
    return text + "." + EncodeBase64Url(Sign(text));
  }
  std::string Header(const std::string& kid) const {
    return Json{{"alg", ecdsa_ ? "ES256" : "EdDSA"}, {"kid", kid}}.dump();
  }
  std::string Token(const std::string& kid, const Json& claims) const {
    return Raw(Header(kid), claims.dump());
  }

 private:
  bool ecdsa_;
  std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key_;
};

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SIGNER_H_
