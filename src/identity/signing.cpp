#include "identity/signing.h"

#include <openssl/core_names.h>
#include <openssl/ecdsa.h>
#include <openssl/err.h>
#include <openssl/evp.h>
#include <openssl/pem.h>

#include "identity/base64url.h"

namespace liftrudder::identity {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kCoordinateBytes = 32;  // of Ed25519 and P-256 keys, and of r and s of ES256
constexpr std::size_t kMaxDerSignatureBytes = 128;

int NoPassphrase(char*, int, int, void*) { return -1; }

bool IsP256(EVP_PKEY* key) {
  char group[32] = {};
  std::size_t size = 0;
  return EVP_PKEY_is_a(key, "EC") == 1 &&
         EVP_PKEY_get_utf8_string_param(key, OSSL_PKEY_PARAM_GROUP_NAME, group, sizeof group, &size) == 1 &&
         std::string(group) == "prime256v1";
}

}  // namespace

tl::expected<SigningKey, ReadError> SigningKey::Parse(const std::string& pem) {
  std::unique_ptr<BIO, decltype(&BIO_free_all)> text(
      BIO_new_mem_buf(pem.data(), static_cast<int>(pem.size())), BIO_free_all);
  std::shared_ptr<EVP_PKEY> key(PEM_read_bio_PrivateKey(text.get(), nullptr, NoPassphrase, nullptr),
                                EVP_PKEY_free);
  ERR_clear_error();
  if (key == nullptr) {
    return tl::unexpected(ReadError{"", "the file has no private key in PEM without a passphrase"});
  }
  bool is_supported = EVP_PKEY_is_a(key.get(), "ED25519") == 1 || IsP256(key.get());
  if (!is_supported) return tl::unexpected(ReadError{"", "the key is neither Ed25519 nor P-256"});
  return SigningKey(std::move(key));
}

SigningKey::SigningKey(std::shared_ptr<evp_pkey_st> key)
    : key_(std::move(key)), is_ecdsa_(EVP_PKEY_is_a(key_.get(), "EC") == 1) {}

Json SigningKey::Jwk(const std::string& kid) const {
  if (!is_ecdsa_) {
    std::string x(kCoordinateBytes, '\0');
    std::size_t size = x.size();
    EVP_PKEY_get_raw_public_key(key_.get(), reinterpret_cast<unsigned char*>(x.data()), &size);
    return {{"kid", kid}, {"kty", "OKP"}, {"crv", "Ed25519"}, {"x", EncodeBase64Url(x)}};
  }
  auto coordinate = [this](const char* name) {
    BIGNUM* number = nullptr;
    EVP_PKEY_get_bn_param(key_.get(), name, &number);
    std::string out(kCoordinateBytes, '\0');
    BN_bn2binpad(number, reinterpret_cast<unsigned char*>(out.data()), kCoordinateBytes);
    BN_free(number);
    return EncodeBase64Url(out);
  };
  return {{"kid", kid},
          {"kty", "EC"},
          {"crv", "P-256"},
          {"x", coordinate(OSSL_PKEY_PARAM_EC_PUB_X)},
          {"y", coordinate(OSSL_PKEY_PARAM_EC_PUB_Y)}};
}

std::string SigningKey::Sign(const std::string& text) const {
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_DigestSignInit(context.get(), nullptr, is_ecdsa_ ? EVP_sha256() : nullptr, nullptr, key_.get());
  std::string out(kMaxDerSignatureBytes, '\0');
  std::size_t size = out.size();
  EVP_DigestSign(context.get(), reinterpret_cast<unsigned char*>(out.data()), &size,
                 reinterpret_cast<const unsigned char*>(text.data()), text.size());
  out.resize(size);
  if (!is_ecdsa_) return out;
  // RFC 7518 section 3.4 wants r and s concatenated, not DER.
  const auto* der = reinterpret_cast<const unsigned char*>(out.data());
  std::unique_ptr<ECDSA_SIG, decltype(&ECDSA_SIG_free)> ecdsa_signature(
      d2i_ECDSA_SIG(nullptr, &der, static_cast<long>(size)), ECDSA_SIG_free);
  std::string raw(2 * kCoordinateBytes, '\0');
  auto* bytes = reinterpret_cast<unsigned char*>(raw.data());
  BN_bn2binpad(ECDSA_SIG_get0_r(ecdsa_signature.get()), bytes, kCoordinateBytes);
  BN_bn2binpad(ECDSA_SIG_get0_s(ecdsa_signature.get()), bytes + kCoordinateBytes, kCoordinateBytes);
  return raw;
}

std::string SigningKey::RawToken(const std::string& header, const std::string& claims) const {
  std::string text = EncodeBase64Url(header) + "." + EncodeBase64Url(claims);
  return text + "." + EncodeBase64Url(Sign(text));
}

std::string SigningKey::Header(const std::string& kid) const {
  return Json{{"alg", is_ecdsa_ ? "ES256" : "EdDSA"}, {"kid", kid}}.dump();
}

std::string SigningKey::Token(const std::string& kid, const Json& claims) const {
  return RawToken(Header(kid), claims.dump());
}

}  // namespace liftrudder::identity
