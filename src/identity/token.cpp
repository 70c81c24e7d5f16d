#include "identity/token.h"

#include <openssl/ecdsa.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

#include "identity/base64url.h"
#include "identity/strict_json.h"

namespace liftrudder::identity {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kSignature = 64;  // bytes, of Ed25519 and of ES256's two numbers
constexpr double kMostSeconds = 1e11;

constexpr std::array<std::string_view, 22> kNames = {
    "none",          "too_long",      "not_compact",    "bad_encoding",    "bad_header",    "critical",
    "no_algorithm",  "no_kid",        "unknown_key",    "wrong_algorithm", "key_announced", "key_retired",
    "key_withdrawn", "bad_signature", "bad_claims",     "no_issuer",       "no_audience",   "no_expiry",
    "expired",       "not_yet",       "too_long_lived", "no_tenant"};

// ES256 signs as two numbers in a row (RFC 7518 section 3.4); OpenSSL wants them in DER.
std::string Der(std::string_view signature) {
  const auto* bytes = reinterpret_cast<const unsigned char*>(signature.data());
  std::unique_ptr<ECDSA_SIG, decltype(&ECDSA_SIG_free)> both(ECDSA_SIG_new(), ECDSA_SIG_free);
  BIGNUM* r = BN_bin2bn(bytes, kSignature / 2, nullptr);
  BIGNUM* s = BN_bin2bn(bytes + kSignature / 2, kSignature / 2, nullptr);
  if (!both || r == nullptr || s == nullptr || ECDSA_SIG_set0(both.get(), r, s) != 1) {
    BN_free(r);
    BN_free(s);
    return "";
  }
  unsigned char* der = nullptr;
  int size = i2d_ECDSA_SIG(both.get(), &der);
  std::string out = size > 0 ? std::string(reinterpret_cast<char*>(der), static_cast<std::size_t>(size)) : "";
  OPENSSL_free(der);
  return out;
}

bool Signed(const Key& key, std::string_view text, std::string_view signature) {
  if (signature.size() != kSignature) return false;
  bool ecdsa = key.algorithm == Algorithm::kEs256;
  std::string given = ecdsa ? Der(signature) : std::string(signature);
  std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  return context && !given.empty() &&
         EVP_DigestVerifyInit(context.get(), nullptr, ecdsa ? EVP_sha256() : nullptr, nullptr,
                              key.public_key.get()) == 1 &&
         EVP_DigestVerify(context.get(), reinterpret_cast<const unsigned char*>(given.data()), given.size(),
                          reinterpret_cast<const unsigned char*>(text.data()), text.size()) == 1;
}

std::optional<std::string> Text(const Json& object, const char* name) {
  auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return std::nullopt;
  std::string text = found->get<std::string>();
  if (text.empty() || text.size() > kMostClaim) return std::nullopt;
  return text;
}

// Unix seconds, maybe with decimals (RFC 7519 section 2, NumericDate).
std::optional<Micros> Time(const Json& object, const char* name) {
  auto found = object.find(name);
  if (found == object.end() || !found->is_number()) return std::nullopt;
  double seconds = found->get<double>();
  if (!(seconds >= 0 && seconds < kMostSeconds)) return std::nullopt;
  return static_cast<Micros>(seconds * 1e6);
}

bool Names(const Json& object, const std::string& audience) {
  auto found = object.find("aud");
  if (found == object.end()) return false;
  if (found->is_string()) return *found == audience;
  return found->is_array() && std::ranges::any_of(*found, [&](const Json& one) { return one == audience; });
}

std::variant<VerifiedToken, Denial> ReadClaims(const Json& claims, const Rules& rules, Micros now_us) {
  if (!claims.is_object()) return Denial::kBadClaims;
  auto issuer = Text(claims, "iss");
  if (!issuer || *issuer != rules.issuer) return Denial::kNoIssuer;
  if (!Names(claims, rules.audience)) return Denial::kNoAudience;
  auto expiry = Time(claims, "exp");
  if (!expiry) return Denial::kNoExpiry;
  auto not_before = Time(claims, "nbf"), issued = Time(claims, "iat");
  if (!not_before || (claims.contains("iat") && !issued)) return Denial::kBadClaims;
  if (now_us >= *expiry + rules.skew_us) return Denial::kExpired;
  Micros from_us = std::max(*not_before, issued.value_or(0)) - rules.skew_us;
  if (now_us < from_us) return Denial::kNotYet;
  if (*expiry - issued.value_or(now_us) > rules.most_life_us) return Denial::kTooLongLived;
  auto tenant = Text(claims, "tenant"), subject = Text(claims, "sub");
  if (!tenant || !subject) return Denial::kNoTenant;
  return VerifiedToken{*tenant, *subject, "", {}, from_us, *expiry + rules.skew_us};
}

}  // namespace

std::string_view Name(Denial reason) {
  auto place = static_cast<std::size_t>(reason);
  return place < kNames.size() ? kNames[place] : "unknown";
}

Denial MaySign(const Key* key, Micros now_us) {
  if (key == nullptr) return Denial::kKeyWithdrawn;
  switch (key->state) {
    case KeyState::kAnnounced:
      return Denial::kKeyAnnounced;
    case KeyState::kActive:
      return Denial::kNone;
    case KeyState::kRetiring:
      return now_us < key->until_us ? Denial::kNone : Denial::kKeyRetired;
    case KeyState::kWithdrawn:
      return Denial::kKeyWithdrawn;
  }
  return Denial::kKeyWithdrawn;
}

std::variant<VerifiedToken, Denial> Verify(std::string_view token, const KeySet& keys, const Rules& rules,
                                           Micros now_us) {
  if (token.size() > kMostToken) return Denial::kTooLong;
  auto first = token.find('.'), last = token.rfind('.');
  if (first == std::string_view::npos || first == last || token.find('.', first + 1) != last)
    return Denial::kNotCompact;
  auto header = DecodeBase64Url(token.substr(0, first));
  auto payload = DecodeBase64Url(token.substr(first + 1, last - first - 1));
  auto signature = DecodeBase64Url(token.substr(last + 1));
  if (!header || !payload || !signature) return Denial::kBadEncoding;
  auto read = ReadStrictJson(*header, kMostToken);
  const Json* head = std::get_if<Json>(&read);
  if (head == nullptr || !head->is_object()) return Denial::kBadHeader;
  if (head->contains("crit") || head->contains("b64")) return Denial::kCritical;
  auto algorithm = Text(*head, "alg"), kid = Text(*head, "kid");
  if (!algorithm || (*algorithm != "EdDSA" && *algorithm != "ES256")) return Denial::kNoAlgorithm;
  if (!kid) return Denial::kNoKid;
  const Key* key = keys.Find(*kid);
  if (key == nullptr) return Denial::kUnknownKey;
  // The key says how it signs; what the header claims must only agree.
  if ((*algorithm == "ES256") != (key->algorithm == Algorithm::kEs256)) return Denial::kWrongAlgorithm;
  if (Denial reason = MaySign(key, now_us); reason != Denial::kNone) return reason;
  // Nothing of the claims is looked at before the signature holds.
  if (!Signed(*key, token.substr(0, last), *signature)) return Denial::kBadSignature;
  auto claims = ReadStrictJson(*payload, kMostToken);
  if (!std::holds_alternative<Json>(claims)) return Denial::kBadClaims;
  auto out = ReadClaims(std::get<Json>(claims), rules, now_us);
  if (VerifiedToken* caller = std::get_if<VerifiedToken>(&out)) {
    caller->kid = *kid;
    caller->key = key->thumbprint;
  }
  return out;
}

}  // namespace liftrudder::identity
