#include "identity/keys.h"

#include <openssl/core_names.h>
#include <openssl/ec.h>
#include <openssl/evp.h>
#include <openssl/param_build.h>
#include <openssl/sha.h>

#include <cmath>

#include "identity/base64url.h"
#include "identity/strict_json.h"

namespace liftrudder::identity {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kCoordinate = 32;  // bytes, of Ed25519 and P-256 alike

// A member that is text; empty where there is none or it is something else.
std::string Text(const Json& object, const char* name) {
  auto found = object.find(name);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

std::shared_ptr<EVP_PKEY> Own(EVP_PKEY* key) { return {key, EVP_PKEY_free}; }

std::shared_ptr<EVP_PKEY> Ed25519(const std::string& x) {
  return Own(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr,
                                         reinterpret_cast<const unsigned char*>(x.data()), x.size()));
}

// OpenSSL refuses a point that is not on the curve.
std::shared_ptr<EVP_PKEY> P256(const std::string& x, const std::string& y) {
  std::string point = '\x04' + x + y;
  std::unique_ptr<OSSL_PARAM_BLD, decltype(&OSSL_PARAM_BLD_free)> build(OSSL_PARAM_BLD_new(),
                                                                        OSSL_PARAM_BLD_free);
  if (!build ||
      OSSL_PARAM_BLD_push_utf8_string(build.get(), OSSL_PKEY_PARAM_GROUP_NAME, "prime256v1", 0) != 1 ||
      OSSL_PARAM_BLD_push_octet_string(build.get(), OSSL_PKEY_PARAM_PUB_KEY, point.data(), point.size()) != 1)
    return nullptr;
  std::unique_ptr<OSSL_PARAM, decltype(&OSSL_PARAM_free)> parameters(OSSL_PARAM_BLD_to_param(build.get()),
                                                                     OSSL_PARAM_free);
  std::unique_ptr<EVP_PKEY_CTX, decltype(&EVP_PKEY_CTX_free)> context(
      EVP_PKEY_CTX_new_from_name(nullptr, "EC", nullptr), EVP_PKEY_CTX_free);
  EVP_PKEY* key = nullptr;
  if (!parameters || !context || EVP_PKEY_fromdata_init(context.get()) != 1 ||
      EVP_PKEY_fromdata(context.get(), &key, EVP_PKEY_PUBLIC_KEY, parameters.get()) != 1)
    return nullptr;
  std::shared_ptr<EVP_PKEY> out = Own(key);
  std::unique_ptr<EVP_PKEY_CTX, decltype(&EVP_PKEY_CTX_free)> check(
      EVP_PKEY_CTX_new_from_pkey(nullptr, key, nullptr), EVP_PKEY_CTX_free);
  return check && EVP_PKEY_public_check(check.get()) == 1 ? out : nullptr;
}

Thumbprint Digest(const std::string& text) {
  Thumbprint out;
  ::SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), out.data());
  return out;
}

// What is wrong with it, or nothing.
std::string ReadKey(const Json& object, Key& key) {
  if (!object.is_object()) return "is not an object";
  key.kid = Text(object, "kid");
  if (key.kid.empty() || key.kid.size() > kMostKid)
    return "has no kid of 1 to " + std::to_string(kMostKid) + " bytes";
  for (const char* secret : {"d", "p", "q", "k"}) {
    if (object.contains(secret))
      return std::string("has the private member '") + secret + "'; only public keys belong here";
  }
  if (object.contains("use") && Text(object, "use") != "sig") return "has a use other than sig";
  if (object.contains("key_ops")) {
    const Json& operations = object["key_ops"];
    if (!operations.is_array() || operations != Json::array({"verify"}))
      return "has key_ops other than [\"verify\"]";
  }
  std::string kind = Text(object, "kty"), curve = Text(object, "crv"), algorithm = Text(object, "alg");
  auto x = DecodeBase64Url(Text(object, "x"));
  if (!x || x->size() != kCoordinate) return "has no x of 32 bytes in base64url";
  if (kind == "OKP" && curve == "Ed25519") {
    key.algorithm = Algorithm::kEdDsa;
    if (!algorithm.empty() && algorithm != "EdDSA")
      return "has alg '" + algorithm + "', which does not fit Ed25519";
    key.public_key = Ed25519(*x);
    key.thumbprint = Digest(R"({"crv":"Ed25519","kty":"OKP","x":")" + EncodeBase64Url(*x) + "\"}");
  } else if (kind == "EC" && curve == "P-256") {
    key.algorithm = Algorithm::kEs256;
    if (!algorithm.empty() && algorithm != "ES256")
      return "has alg '" + algorithm + "', which does not fit P-256";
    auto y = DecodeBase64Url(Text(object, "y"));
    if (!y || y->size() != kCoordinate) return "has no y of 32 bytes in base64url";
    key.public_key = P256(*x, *y);
    key.thumbprint = Digest(R"({"crv":"P-256","kty":"EC","x":")" + EncodeBase64Url(*x) + R"(","y":")" +
                            EncodeBase64Url(*y) + "\"}");
  } else {
    return "is neither OKP with Ed25519 nor EC with P-256";
  }
  if (key.public_key == nullptr) return "is no point of its curve";
  std::string state = object.contains("state") ? Text(object, "state") : "active";
  bool known = false;
  for (KeyState one : {KeyState::kAnnounced, KeyState::kActive, KeyState::kRetiring, KeyState::kWithdrawn}) {
    if (Name(one) == state) key.state = one, known = true;
  }
  if (!known) return "has a state other than announced, active, retiring or withdrawn";
  bool retiring = key.state == KeyState::kRetiring;
  if (retiring != object.contains("until"))
    return retiring ? "retires, and has no until" : "has an until and does not retire";
  if (retiring) {
    const Json& until = object["until"];
    if (!until.is_number() || !(until.get<double>() > 0 && until.get<double>() < 1e11))
      return "has an until that is no Unix time in seconds";
    key.until_us = static_cast<Micros>(until.get<double>() * 1e6);
  }
  return "";
}

}  // namespace

std::string_view Name(KeyState state) {
  switch (state) {
    case KeyState::kAnnounced:
      return "announced";
    case KeyState::kActive:
      return "active";
    case KeyState::kRetiring:
      return "retiring";
    case KeyState::kWithdrawn:
      return "withdrawn";
  }
  return "unknown";
}

std::variant<std::shared_ptr<const KeySet>, std::string> KeySet::Read(std::string_view text) {
  auto read = ReadStrictJson(text, kMostKeySetBytes);
  if (auto* wrong = std::get_if<std::string>(&read)) return "key set: " + *wrong;
  const Json& set = std::get<Json>(read);
  if (!set.is_object() || !set.contains("keys") || !set["keys"].is_array()) return "key set: no list 'keys'";
  if (set["keys"].size() > kMostKeys) return "key set: more than " + std::to_string(kMostKeys) + " keys";
  auto out = std::make_shared<KeySet>();
  std::size_t place = 0;
  for (const Json& object : set["keys"]) {
    Key key;
    std::string wrong = ReadKey(object, key);
    std::string name = key.kid.empty() ? "" : " ('" + key.kid + "')";
    if (!wrong.empty()) return "key set: key " + std::to_string(place) + name + " " + wrong;
    for (const auto& [kid, other] : out->keys_) {
      if (other.thumbprint == key.thumbprint)
        return "key set: keys '" + kid + "' and '" + key.kid + "' are the same key";
    }
    std::string kid = key.kid;
    if (!out->keys_.emplace(kid, std::move(key)).second)
      return "key set: the kid '" + kid + "' is there twice";
    ++place;
  }
  return out;
}

const Key* KeySet::Find(std::string_view kid) const {
  auto found = keys_.find(kid);
  return found == keys_.end() ? nullptr : &found->second;
}

std::vector<std::string> Differences(const KeySet& before, const KeySet& after) {
  std::vector<std::string> out;
  for (const auto& [kid, key] : after.keys()) {
    const Key* old = before.Find(kid);
    if (old == nullptr) {
      out.push_back("key '" + kid + "' is new: " + std::string(Name(key.state)));
    } else if (old->state != key.state || old->until_us != key.until_us) {
      out.push_back("key '" + kid + "' was " + std::string(Name(old->state)) + ", is " +
                    std::string(Name(key.state)));
    }
  }
  for (const auto& [kid, key] : before.keys()) {
    if (after.Find(kid) == nullptr) out.push_back("key '" + kid + "' is gone, which withdraws it");
  }
  return out;
}

std::optional<std::string> KnownKids::Take(const KeySet& keys) {
  std::size_t fresh = 0;
  for (const auto& [kid, key] : keys.keys()) {
    auto known = named_.find(kid);
    fresh += known == named_.end() ? 1 : 0;
    if (known != named_.end() && known->second != key.thumbprint)
      return "key set: the kid '" + kid + "' names another key than before; a new key needs a new kid";
  }
  if (named_.size() + fresh > kMostKnownKids)
    return "key set: more than " + std::to_string(kMostKnownKids) +
           " kids since the start; only a restart forgets them";
  for (const auto& [kid, key] : keys.keys()) named_.emplace(kid, key.thumbprint);
  return std::nullopt;
}

}  // namespace liftrudder::identity
