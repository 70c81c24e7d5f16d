#include "identity/key_parser.h"

#include <fmt/format.h>
#include <openssl/core_names.h>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/param_build.h>
#include <openssl/sha.h>

#include <array>
#include <optional>
#include <utility>

#include "identity/base64url.h"
#include "identity/wire_names.h"

namespace liftrudder::identity {
namespace {

using Json = nlohmann::json;
using Problem = std::optional<std::string>;  // what is wrong; nothing if all is well

constexpr std::size_t kCoordinateBytes = 32;  // of Ed25519 and P-256 alike
constexpr double kMaxUnixSeconds = 1e11;
constexpr double kMicrosPerSecond = 1e6;
constexpr std::array kPrivateMembers = {"d", "p", "q", "k"};
constexpr std::array kKeyStates = {KeyState::kAnnounced, KeyState::kActive, KeyState::kRetiring,
                                   KeyState::kWithdrawn};

// Returns an empty string if the member is absent or not a string.
std::string StringMember(const Json& object, const char* name) {
  auto found = object.find(name);
  bool is_string = found != object.end() && found->is_string();
  return is_string ? found->get<std::string>() : std::string();
}

std::shared_ptr<EVP_PKEY> TakeOwnership(EVP_PKEY* key) { return {key, EVP_PKEY_free}; }

std::shared_ptr<EVP_PKEY> MakeEd25519Key(const std::string& x) {
  const auto* bytes = reinterpret_cast<const unsigned char*>(x.data());
  return TakeOwnership(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, bytes, x.size()));
}

using ParametersPtr = std::unique_ptr<OSSL_PARAM, decltype(&OSSL_PARAM_free)>;

ParametersPtr MakeP256Parameters(const std::string& x, const std::string& y) {
  std::string uncompressed_point = '\x04' + x + y;
  std::unique_ptr<OSSL_PARAM_BLD, decltype(&OSSL_PARAM_BLD_free)> builder(OSSL_PARAM_BLD_new(),
                                                                          OSSL_PARAM_BLD_free);
  bool built =
      builder &&
      OSSL_PARAM_BLD_push_utf8_string(builder.get(), OSSL_PKEY_PARAM_GROUP_NAME, "prime256v1", 0) == 1 &&
      OSSL_PARAM_BLD_push_octet_string(builder.get(), OSSL_PKEY_PARAM_PUB_KEY, uncompressed_point.data(),
                                       uncompressed_point.size()) == 1;
  return {built ? OSSL_PARAM_BLD_to_param(builder.get()) : nullptr, OSSL_PARAM_free};
}

// Returns null if OpenSSL finds that the point is not on the curve.
std::shared_ptr<EVP_PKEY> MakeP256Key(const std::string& x, const std::string& y) {
  using ContextPtr = std::unique_ptr<EVP_PKEY_CTX, decltype(&EVP_PKEY_CTX_free)>;
  ParametersPtr parameters = MakeP256Parameters(x, y);
  ContextPtr context(EVP_PKEY_CTX_new_from_name(nullptr, "EC", nullptr), EVP_PKEY_CTX_free);
  if (!parameters || !context || EVP_PKEY_fromdata_init(context.get()) != 1) return nullptr;
  EVP_PKEY* raw_key = nullptr;
  if (EVP_PKEY_fromdata(context.get(), &raw_key, EVP_PKEY_PUBLIC_KEY, parameters.get()) != 1) return nullptr;
  std::shared_ptr<EVP_PKEY> key = TakeOwnership(raw_key);
  ContextPtr check(EVP_PKEY_CTX_new_from_pkey(nullptr, raw_key, nullptr), EVP_PKEY_CTX_free);
  bool is_on_curve = check && EVP_PKEY_public_check(check.get()) == 1;
  return is_on_curve ? key : nullptr;
}

Thumbprint Sha256(const std::string& text) {
  Thumbprint digest;
  ::SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  return digest;
}

// Checks that the key is public and meant for verifying signatures.
Problem CheckPurpose(const Json& object) {
  for (const char* member : kPrivateMembers) {
    if (object.contains(member)) {
      return fmt::format("has the private member '{}'; only public keys belong here", member);
    }
  }
  if (object.contains(wire_names::kKeyUse) && StringMember(object, wire_names::kKeyUse) != "sig") {
    return "has a use other than sig";
  }
  auto operations = object.find(wire_names::kKeyOperations);
  if (operations != object.end() && *operations != Json::array({"verify"})) {
    return "has key_ops other than [\"verify\"]";
  }
  return std::nullopt;
}

// Returns the bytes of a coordinate of the public key; nothing if there are not 32 in base64url.
std::optional<std::string> Coordinate(const Json& object, const char* name) {
  auto bytes = DecodeBase64Url(StringMember(object, name));
  if (!bytes || bytes->size() != kCoordinateBytes) return std::nullopt;
  return bytes;
}

Problem CheckAlgorithmMember(const Json& object, const char* expected, const char* curve) {
  std::string stated = StringMember(object, wire_names::kAlgorithm);
  if (stated.empty() || stated == expected) return std::nullopt;
  return fmt::format("has alg '{}', which does not fit {}", stated, curve);
}

Problem ReadEd25519(const Json& object, const std::string& x, Key& key) {
  if (Problem problem = CheckAlgorithmMember(object, "EdDSA", "Ed25519")) return problem;
  key.algorithm = Algorithm::kEdDsa;
  key.public_key = MakeEd25519Key(x);
  key.thumbprint = Sha256(fmt::format(R"({{"crv":"Ed25519","kty":"OKP","x":"{}"}})", EncodeBase64Url(x)));
  return std::nullopt;
}

Problem ReadP256(const Json& object, const std::string& x, Key& key) {
  if (Problem problem = CheckAlgorithmMember(object, "ES256", "P-256")) return problem;
  auto y = Coordinate(object, wire_names::kCoordinateY);
  if (!y) return "has no y of 32 bytes in base64url";
  key.algorithm = Algorithm::kEs256;
  key.public_key = MakeP256Key(x, *y);
  key.thumbprint = Sha256(fmt::format(R"({{"crv":"P-256","kty":"EC","x":"{}","y":"{}"}})", EncodeBase64Url(x),
                                      EncodeBase64Url(*y)));
  return std::nullopt;
}

Problem ReadPublicKey(const Json& object, Key& key) {
  std::string type = StringMember(object, wire_names::kKeyType);
  std::string curve = StringMember(object, wire_names::kCurve);
  auto x = Coordinate(object, wire_names::kCoordinateX);
  if (!x) return "has no x of 32 bytes in base64url";
  Problem problem;
  if (type == "OKP" && curve == "Ed25519") {
    problem = ReadEd25519(object, *x, key);
  } else if (type == "EC" && curve == "P-256") {
    problem = ReadP256(object, *x, key);
  } else {
    problem = "is neither OKP with Ed25519 nor EC with P-256";
  }
  if (problem) return problem;
  if (key.public_key == nullptr) return "is no point of its curve";
  return std::nullopt;
}

std::optional<KeyState> StateByName(const std::string& name) {
  for (KeyState state : kKeyStates) {
    if (Name(state) == name) return state;
  }
  return std::nullopt;
}

Problem ReadLifeCycle(const Json& object, Key& key) {
  bool has_state = object.contains(wire_names::kState);
  auto state = has_state ? StateByName(StringMember(object, wire_names::kState)) : KeyState::kActive;
  if (!state) return "has a state other than announced, active, retiring or withdrawn";
  key.state = *state;
  bool retiring = key.state == KeyState::kRetiring;
  auto until = object.find(wire_names::kRetiresAtSeconds);
  bool has_until = until != object.end();
  if (retiring && !has_until) return "retires, and has no until";
  if (!retiring && has_until) return "has an until and does not retire";
  if (!retiring) return std::nullopt;
  double seconds = until->is_number() ? until->get<double>() : 0;
  bool is_time = seconds > 0 && seconds < kMaxUnixSeconds;
  if (!is_time) return "has an until that is no Unix time in seconds";
  key.retires_at_us = static_cast<Micros>(seconds * kMicrosPerSecond);
  return std::nullopt;
}

}  // namespace

tl::expected<Key, KeyError> ParseKey(const Json& object) {
  if (!object.is_object()) return tl::unexpected(KeyError{"", "is not an object"});
  Key key;
  key.kid = StringMember(object, wire_names::kKeyId);
  if (key.kid.empty() || key.kid.size() > kMaxKeyIdBytes) {
    return tl::unexpected(KeyError{key.kid, fmt::format("has no kid of 1 to {} bytes", kMaxKeyIdBytes)});
  }
  Problem problem = CheckPurpose(object);
  if (!problem) problem = ReadPublicKey(object, key);
  if (!problem) problem = ReadLifeCycle(object, key);
  if (problem) return tl::unexpected(KeyError{key.kid, *problem});
  return key;
}

}  // namespace liftrudder::identity
