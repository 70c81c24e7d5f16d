#include "identity/token.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

#include "identity/base64url.h"
#include "identity/signature.h"
#include "identity/strict_json.h"
#include "identity/wire_names.h"

namespace liftrudder::identity {
namespace {

using Json = nlohmann::json;

constexpr double kMaxUnixSeconds = 1e11;
constexpr double kMicrosPerSecond = 1e6;

constexpr std::array<std::string_view, 21> kErrorNames = {
    "too_long",      "not_compact",    "bad_encoding",    "bad_header",    "critical",    "no_algorithm",
    "no_kid",        "unknown_key",    "wrong_algorithm", "key_announced", "key_retired", "key_withdrawn",
    "bad_signature", "bad_claims",     "no_issuer",       "no_audience",   "no_expiry",   "expired",
    "not_yet",       "too_long_lived", "no_tenant"};

// A token's three sections, still encoded.
struct Sections {
  std::string_view header;
  std::string_view payload;
  std::string_view signature;
  std::string_view signed_text;  // header, dot and payload
};

struct Header {
  std::string algorithm;
  std::string kid;
};

std::optional<Sections> SplitSections(std::string_view token) {
  auto first_dot = token.find('.');
  auto last_dot = token.rfind('.');
  if (first_dot == std::string_view::npos || first_dot == last_dot) return std::nullopt;
  if (token.find('.', first_dot + 1) != last_dot) return std::nullopt;
  Sections sections;
  sections.header = token.substr(0, first_dot);
  sections.payload = token.substr(first_dot + 1, last_dot - first_dot - 1);
  sections.signature = token.substr(last_dot + 1);
  sections.signed_text = token.substr(0, last_dot);
  return sections;
}

std::optional<std::string> StringMember(const Json& object, const char* name) {
  auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return std::nullopt;
  auto text = found->get<std::string>();
  if (text.empty() || text.size() > kMaxClaimBytes) return std::nullopt;
  return text;
}

// Unix seconds, possibly with decimals (RFC 7519 section 2, NumericDate).
std::optional<Micros> TimeMember(const Json& object, const char* name) {
  auto found = object.find(name);
  if (found == object.end() || !found->is_number()) return std::nullopt;
  auto seconds = found->get<double>();
  bool in_range = seconds >= 0 && seconds < kMaxUnixSeconds;
  if (!in_range) return std::nullopt;
  return static_cast<Micros>(seconds * kMicrosPerSecond);
}

bool HasAudience(const Json& claims, const std::string& audience) {
  auto found = claims.find(wire_names::kClaimAudience);
  if (found == claims.end()) return false;
  if (found->is_string()) return *found == audience;
  auto is_ours = [&audience](const Json& one) { return one == audience; };
  return found->is_array() && std::ranges::any_of(*found, is_ours);
}

tl::expected<Header, TokenError> ParseHeader(const std::string& text) {
  auto json = ParseStrictJson(text, kMaxTokenBytes);
  if (!json || !json->is_object()) return tl::unexpected(TokenError::kBadHeader);
  if (json->contains(wire_names::kCritical) || json->contains(wire_names::kUnencodedPayload)) {
    return tl::unexpected(TokenError::kCritical);
  }
  auto algorithm = StringMember(*json, wire_names::kAlgorithm);
  bool known_algorithm = algorithm && (*algorithm == "EdDSA" || *algorithm == "ES256");
  if (!known_algorithm) return tl::unexpected(TokenError::kNoAlgorithm);
  auto kid = StringMember(*json, wire_names::kKeyId);
  if (!kid) return tl::unexpected(TokenError::kNoKid);
  return Header{*algorithm, *kid};
}

tl::expected<VerifiedToken, TokenError> ReadClaims(const Json& claims, const TokenRequirements& requirements,
                                                   Micros now_us) {
  if (!claims.is_object()) return tl::unexpected(TokenError::kBadClaims);
  auto issuer = StringMember(claims, wire_names::kClaimIssuer);
  if (!issuer || *issuer != requirements.issuer) return tl::unexpected(TokenError::kNoIssuer);
  if (!HasAudience(claims, requirements.audience)) return tl::unexpected(TokenError::kNoAudience);
  auto expiry_us = TimeMember(claims, wire_names::kClaimExpiry);
  if (!expiry_us) return tl::unexpected(TokenError::kNoExpiry);
  auto not_before_us = TimeMember(claims, wire_names::kClaimNotBefore);
  auto issued_at_us = TimeMember(claims, wire_names::kClaimIssuedAt);
  bool bad_issued_at = claims.contains(wire_names::kClaimIssuedAt) && !issued_at_us;
  if (!not_before_us || bad_issued_at) return tl::unexpected(TokenError::kBadClaims);
  Micros valid_until_us = *expiry_us + requirements.clock_skew_us;
  if (now_us >= valid_until_us) return tl::unexpected(TokenError::kExpired);
  Micros valid_from_us = std::max(*not_before_us, issued_at_us.value_or(0)) - requirements.clock_skew_us;
  if (now_us < valid_from_us) return tl::unexpected(TokenError::kNotYet);
  Micros lifetime_us = *expiry_us - issued_at_us.value_or(now_us);
  if (lifetime_us > requirements.max_lifetime_us) return tl::unexpected(TokenError::kTooLongLived);
  auto tenant = StringMember(claims, wire_names::kClaimTenant);
  auto subject = StringMember(claims, wire_names::kClaimSubject);
  if (!tenant || !subject) return tl::unexpected(TokenError::kNoTenant);
  return VerifiedToken{*tenant, *subject, "", {}, valid_from_us, valid_until_us};
}

}  // namespace

std::string_view Name(TokenError error) {
  auto index = static_cast<std::size_t>(error);
  return index < kErrorNames.size() ? kErrorNames[index] : "unknown";
}

std::optional<TokenError> CheckKeyState(const Key* key, Micros now_us) {
  if (key == nullptr) return TokenError::kKeyWithdrawn;
  switch (key->state) {
    case KeyState::kAnnounced:
      return TokenError::kKeyAnnounced;
    case KeyState::kActive:
      return std::nullopt;
    case KeyState::kRetiring:
      if (now_us < key->retires_at_us) return std::nullopt;
      return TokenError::kKeyRetired;
    case KeyState::kWithdrawn:
      return TokenError::kKeyWithdrawn;
  }
  return TokenError::kKeyWithdrawn;
}

tl::expected<VerifiedToken, TokenError> VerifyToken(std::string_view token, const KeySet& keys,
                                                    const TokenRequirements& requirements, Micros now_us) {
  if (token.size() > kMaxTokenBytes) return tl::unexpected(TokenError::kTooLong);
  auto sections = SplitSections(token);
  if (!sections) return tl::unexpected(TokenError::kNotCompact);
  auto header_text = DecodeBase64Url(sections->header);
  auto payload = DecodeBase64Url(sections->payload);
  auto signature = DecodeBase64Url(sections->signature);
  if (!header_text || !payload || !signature) return tl::unexpected(TokenError::kBadEncoding);
  auto header = ParseHeader(*header_text);
  if (!header) return tl::unexpected(header.error());
  const Key* key = keys.Find(header->kid);
  if (key == nullptr) return tl::unexpected(TokenError::kUnknownKey);
  // The key determines the algorithm; the header must agree, so that an attacker cannot choose one.
  bool claims_es256 = header->algorithm == "ES256";
  bool is_es256 = key->algorithm == Algorithm::kEs256;
  if (claims_es256 != is_es256) return tl::unexpected(TokenError::kWrongAlgorithm);
  if (auto error = CheckKeyState(key, now_us)) return tl::unexpected(*error);
  if (!VerifySignature(*key, sections->signed_text, *signature)) {
    return tl::unexpected(TokenError::kBadSignature);
  }
  auto claims = ParseStrictJson(*payload, kMaxTokenBytes);
  if (!claims) return tl::unexpected(TokenError::kBadClaims);
  auto verified = ReadClaims(*claims, requirements, now_us);
  if (!verified) return verified;
  verified->kid = header->kid;
  verified->key = key->thumbprint;
  return verified;
}

}  // namespace liftrudder::identity
