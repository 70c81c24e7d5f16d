#include "identity/signature.h"

#include <openssl/ecdsa.h>
#include <openssl/evp.h>

#include <memory>
#include <string>

namespace liftrudder::identity {
namespace {

constexpr std::size_t kSignatureBytes = 64;  // of Ed25519, and of r and s of ES256 together

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

// Converts an ES256 signature, r and s concatenated, to the DER that OpenSSL expects; empty if out of memory.
std::string ToDer(std::string_view signature) {
  std::unique_ptr<ECDSA_SIG, decltype(&ECDSA_SIG_free)> ecdsa_signature(ECDSA_SIG_new(), ECDSA_SIG_free);
  BIGNUM* r = BN_bin2bn(Bytes(signature), kSignatureBytes / 2, nullptr);
  BIGNUM* s = BN_bin2bn(Bytes(signature) + kSignatureBytes / 2, kSignatureBytes / 2, nullptr);
  bool owned =
      ecdsa_signature && r != nullptr && s != nullptr && ECDSA_SIG_set0(ecdsa_signature.get(), r, s) == 1;
  if (!owned) {
    BN_free(r);
    BN_free(s);
    return "";
  }
  unsigned char* der = nullptr;
  int size = i2d_ECDSA_SIG(ecdsa_signature.get(), &der);
  if (size <= 0) return "";
  std::string text(reinterpret_cast<char*>(der), static_cast<std::size_t>(size));
  OPENSSL_free(der);
  return text;
}

}  // namespace

bool VerifySignature(const Key& key, std::string_view signed_text, std::string_view signature) {
  if (signature.size() != kSignatureBytes) return false;
  bool is_ecdsa = key.algorithm == Algorithm::kEs256;
  std::string encoded = is_ecdsa ? ToDer(signature) : std::string(signature);
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  if (!context || encoded.empty()) return false;
  const EVP_MD* digest = is_ecdsa ? EVP_sha256() : nullptr;
  if (EVP_DigestVerifyInit(context.get(), nullptr, digest, nullptr, key.public_key.get()) != 1) return false;
  return EVP_DigestVerify(context.get(), Bytes(encoded), encoded.size(), Bytes(signed_text),
                          signed_text.size()) == 1;
}

}  // namespace liftrudder::identity
