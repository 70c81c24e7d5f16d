// Tests authentication: parsing of tokens and key sets, the life cycle of keys, the token cache,
// certificates, and the sub-command that signs tokens for tests. The time is an argument.
#define CATCH_CONFIG_MAIN
#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/pem.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <thread>

#include "identity/authenticator.h"
#include "identity/base64url.h"
#include "identity/token_verifier.h"
#include "support/token_signer.h"
#include "test_support/coordinator_process.h"
#include "test_support/temporary_directory.h"

namespace identity = liftrudder::identity;
using namespace liftrudder::identity;
using liftrudder::tests::Signer;
using Json = nlohmann::json;

namespace {

constexpr Micros kSecond = 1'000'000;
constexpr Micros kNow = 1'800'000'000 * kSecond;
const TokenRequirements kRequirements{"https://id.example.org", "gatherer", 5 * kSecond, 3600 * kSecond};

Json Claims() {
  return {{"iss", kRequirements.issuer}, {"aud", kRequirements.audience},
          {"exp", kNow / kSecond + 60},  {"nbf", kNow / kSecond - 60},
          {"tenant", "north"},           {"sub", "teacher-7"}};
}

std::shared_ptr<const KeySet> MakeKeySet(const std::vector<Json>& keys) {
  auto set = KeySet::Parse(Json{{"keys", keys}}.dump());
  if (!set) FAIL(set.error().Message());
  return *set;
}

// Returns what is wrong with a key set; empty if it is valid.
std::string KeySetProblem(const std::string& text) {
  auto set = KeySet::Parse(text);
  return set ? "" : set.error().Message();
}

// Returns nothing if the token was accepted.
std::optional<TokenError> ErrorOf(const tl::expected<VerifiedToken, TokenError>& result) {
  if (result) return std::nullopt;
  return result.error();
}

Json WithMember(Json object, const char* name, const Json& value) {
  object[name] = value;
  return object;
}
Json WithoutMember(Json object, const char* name) {
  object.erase(name);
  return object;
}

const Signer& Ed25519Signer() {
  static const Signer signer(false);
  return signer;
}
const Signer& P256Signer() {
  static const Signer signer(true);
  return signer;
}

}  // namespace

TEST_CASE("base64url is strict: each value has exactly one encoding") {
  for (const std::string& bytes :
       {std::string(), std::string("f"), std::string("fo"), std::string("foo\0\xff", 5)}) {
    CHECK(DecodeBase64Url(EncodeBase64Url(bytes)) == bytes);
  }
  for (const char* bad : {"A", "Zg==", "Zh", "Zm9vY", "Zm 9", "Zm9+", "Zm9/", "Zm9v\n"}) {
    CHECK_FALSE(DecodeBase64Url(bad));
  }
  CHECK_FALSE(DecodeBase64Url(std::string_view("Zm\0v", 4)));
}

TEST_CASE("the thumbprint of RFC 8037's example key is the published one") {
  auto keys = MakeKeySet({{{"kid", "k"},
                           {"kty", "OKP"},
                           {"crv", "Ed25519"},
                           {"x", "11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo"}}});
  // Appendix A.3.
  CHECK(EncodeBase64Url(std::string_view(reinterpret_cast<const char*>(keys->Find("k")->thumbprint.data()),
                                         32)) == "kPrK_qmxVWaYVA9wwBF6Iuo3vVzz7TxHCTwXBygrS4k");
}

TEST_CASE("valid tokens of both algorithms are accepted") {
  auto keys = MakeKeySet({Ed25519Signer().Jwk("ed"), P256Signer().Jwk("ec")});
  for (const auto& [signer, kid] : {std::pair(&Ed25519Signer(), "ed"), std::pair(&P256Signer(), "ec")}) {
    auto out = VerifyToken(signer->Token(kid, Claims()), *keys, kRequirements, kNow);
    REQUIRE(ErrorOf(out) == std::nullopt);
    CHECK(out->tenant == "north");
    CHECK(out->subject == "teacher-7");
    CHECK(out->kid == kid);
  }
  CHECK(ErrorOf(VerifyToken(Ed25519Signer().Token("ed", WithMember(Claims(), "aud", {"other", "gatherer"})),
                            *keys, kRequirements, kNow)) == std::nullopt);
}

TEST_CASE("invalid tokens are rejected, each with its reason") {
  auto keys = MakeKeySet({Ed25519Signer().Jwk("ed"), P256Signer().Jwk("ec"), Signer(true).Jwk("other")});
  std::string good = Ed25519Signer().Token("ed", Claims()), header = Ed25519Signer().Header("ed"),
              claims = Claims().dump();
  std::string cut = good.substr(0, good.size() - 3), changed = good;
  changed[changed.size() - 10] = changed[changed.size() - 10] == 'A' ? 'B' : 'A';
  std::string other_claims = good.substr(0, good.find('.')) + "." +
                             EncodeBase64Url(WithMember(Claims(), "tenant", "south").dump()) +
                             good.substr(good.rfind('.'));
  const std::vector<std::pair<std::string, TokenError>> table = {
      {"", TokenError::kNotCompact},
      {"a.b", TokenError::kNotCompact},
      {good + ".x", TokenError::kNotCompact},
      {std::string(5000, 'a'), TokenError::kTooLong},
      {good + "=", TokenError::kBadEncoding},
      {" " + good, TokenError::kBadEncoding},
      {Ed25519Signer().RawToken("[]", claims), TokenError::kBadHeader},
      {Ed25519Signer().RawToken("{\"alg\":\"EdDSA\"", claims), TokenError::kBadHeader},
      {Ed25519Signer().RawToken(R"({"alg":"EdDSA","kid":"ed","alg":"EdDSA"})", claims),
       TokenError::kBadHeader},
      {Ed25519Signer().RawToken(R"({"alg":"EdDSA","kid":"ed","crit":["exp"]})", claims),
       TokenError::kCritical},
      {Ed25519Signer().RawToken(R"({"alg":"EdDSA","kid":"ed","b64":false})", claims), TokenError::kCritical},
      {Ed25519Signer().RawToken(R"({"alg":"none","kid":"ed"})", claims), TokenError::kNoAlgorithm},
      {EncodeBase64Url(R"({"alg":"none","kid":"ed"})") + "." + EncodeBase64Url(claims) + ".",
       TokenError::kNoAlgorithm},
      {Ed25519Signer().RawToken(R"({"alg":"eddsa","kid":"ed"})", claims), TokenError::kNoAlgorithm},
      {Ed25519Signer().RawToken(R"({"alg":"HS256","kid":"ed"})", claims), TokenError::kNoAlgorithm},
      {Ed25519Signer().RawToken(R"({"alg":7,"kid":"ed"})", claims), TokenError::kNoAlgorithm},
      {Ed25519Signer().RawToken(R"({"alg":"EdDSA"})", claims), TokenError::kNoKid},
      {Ed25519Signer().Token("nobody", Claims()), TokenError::kUnknownKey},
      {Ed25519Signer().RawToken(R"({"alg":"ES256","kid":"ed"})", claims), TokenError::kWrongAlgorithm},
      {Ed25519Signer().RawToken(R"({"alg":"EdDSA","kid":"ec"})", claims), TokenError::kWrongAlgorithm},
      {Signer(false).Token("ed", Claims()), TokenError::kBadSignature},
      {P256Signer().Token("other", Claims()), TokenError::kBadSignature},
      {changed, TokenError::kBadSignature},
      {other_claims, TokenError::kBadSignature},
      {good.substr(0, good.rfind('.') + 1), TokenError::kBadSignature},
      {Ed25519Signer().RawToken(header, "[]"), TokenError::kBadClaims},
      {Ed25519Signer().RawToken(header, "{\"iss\":1,\"iss\":2}"), TokenError::kBadClaims},
      {Ed25519Signer().Token("ed", WithoutMember(Claims(), "nbf")), TokenError::kBadClaims},
      {Ed25519Signer().Token("ed", WithMember(Claims(), "iat", "now")), TokenError::kBadClaims},
      {Ed25519Signer().Token("ed", WithoutMember(Claims(), "iss")), TokenError::kNoIssuer},
      {Ed25519Signer().Token("ed", WithMember(Claims(), "iss", "https://id.example.net")),
       TokenError::kNoIssuer},
      {Ed25519Signer().Token("ed", WithoutMember(Claims(), "aud")), TokenError::kNoAudience},
      {Ed25519Signer().Token("ed", WithMember(Claims(), "aud", Json::array())), TokenError::kNoAudience},
      {Ed25519Signer().Token("ed", WithoutMember(Claims(), "exp")), TokenError::kNoExpiry},
      {Ed25519Signer().Token("ed", WithMember(Claims(), "exp", "soon")), TokenError::kNoExpiry},
      {Ed25519Signer().Token("ed", WithMember(Claims(), "exp", kNow / kSecond - 5)), TokenError::kExpired},
      {Ed25519Signer().Token("ed", WithMember(Claims(), "nbf", kNow / kSecond + 6)), TokenError::kNotYet},
      {Ed25519Signer().Token("ed", WithMember(Claims(), "iat", kNow / kSecond + 6)), TokenError::kNotYet},
      {Ed25519Signer().Token("ed", WithMember(Claims(), "exp", kNow / kSecond + 3601)),
       TokenError::kTooLongLived},
      {Ed25519Signer().Token("ed", WithoutMember(Claims(), "tenant")), TokenError::kNoTenant},
      {Ed25519Signer().Token("ed", WithMember(Claims(), "sub", "")), TokenError::kNoTenant},
  };
  for (const auto& [token, reason] : table) {
    INFO(token << " should be " << Name(reason));
    auto error = ErrorOf(VerifyToken(token, *keys, kRequirements, kNow));
    CHECK((error ? Name(*error) : "accepted") == Name(reason));
  }
  // Both limits of the tolerated clock skew.
  CHECK(ErrorOf(VerifyToken(Ed25519Signer().Token("ed", WithMember(Claims(), "exp", kNow / kSecond - 4)),
                            *keys, kRequirements, kNow)) == std::nullopt);
  CHECK(ErrorOf(VerifyToken(Ed25519Signer().Token("ed", WithMember(Claims(), "nbf", kNow / kSecond + 5)),
                            *keys, kRequirements, kNow)) == std::nullopt);
}

TEST_CASE("an invalid key set names the key and the problem, and changes nothing") {
  auto set = [](const Json& key) { return Json{{"keys", {key}}}.dump(); };
  CHECK(KeySetProblem("{").find("not JSON") != std::string::npos);
  CHECK(KeySetProblem("{\"keys\":[],\"keys\":[]}").find("'keys' is there twice") != std::string::npos);
  CHECK(KeySetProblem("{\"keys\":" + std::string(20, '[')).find("deeper") != std::string::npos);
  CHECK(KeySetProblem("{}").find("no list 'keys'") != std::string::npos);
  CHECK(KeySetProblem(set(WithoutMember(Ed25519Signer().Jwk("a"), "kid"))).find("key 0 has no kid") !=
        std::string::npos);
  CHECK(KeySetProblem(set(WithMember(Ed25519Signer().Jwk("a"), "d", "secret")))
            .find("key 0 ('a') has the private member 'd'") != std::string::npos);
  CHECK(KeySetProblem(set(WithMember(Ed25519Signer().Jwk("a"), "d", "secret"))).find("secret") ==
        std::string::npos);
  CHECK(KeySetProblem(set(WithMember(Ed25519Signer().Jwk("a"), "kty", "RSA"))).find("neither OKP") !=
        std::string::npos);
  CHECK(KeySetProblem(set(WithMember(Ed25519Signer().Jwk("a"), "use", "enc"))).find("use") !=
        std::string::npos);
  CHECK(KeySetProblem(set(WithMember(Ed25519Signer().Jwk("a"), "alg", "ES256"))).find("does not fit") !=
        std::string::npos);
  CHECK(KeySetProblem(set(WithMember(P256Signer().Jwk("a"), "y", P256Signer().Jwk("a")["x"])))
            .find("no point of its curve") != std::string::npos);
  CHECK(KeySetProblem(set(WithMember(Ed25519Signer().Jwk("a"), "state", "old"))).find("state") !=
        std::string::npos);
  CHECK(KeySetProblem(set(WithMember(Ed25519Signer().Jwk("a"), "state", "retiring"))).find("no until") !=
        std::string::npos);
  CHECK(KeySetProblem(Json{{"keys", {Ed25519Signer().Jwk("a"), Ed25519Signer().Jwk("b")}}}.dump())
            .find("are the same key") != std::string::npos);
  CHECK(KeySetProblem(Json{{"keys", {Ed25519Signer().Jwk("a"), P256Signer().Jwk("a")}}}.dump())
            .find("'a' is there twice") != std::string::npos);

  TokenVerifier token_verifier(kRequirements, 16);
  REQUIRE_FALSE(token_verifier.ReplaceKeys(MakeKeySet({Ed25519Signer().Jwk("a")})));
  auto wrong = token_verifier.ReplaceKeys(MakeKeySet({P256Signer().Jwk("a")}));
  REQUIRE(wrong);
  CHECK(wrong->Message().find("'a' names another key") != std::string::npos);
  // The kid stays bound to its key after the key has left the set.
  REQUIRE_FALSE(token_verifier.ReplaceKeys(MakeKeySet({Ed25519Signer().Jwk("c")})));
  CHECK(token_verifier.ReplaceKeys(MakeKeySet({P256Signer().Jwk("a")})));
  REQUIRE_FALSE(token_verifier.ReplaceKeys(MakeKeySet({Ed25519Signer().Jwk("a")})));
  CHECK(ErrorOf(token_verifier.Verify(Ed25519Signer().Token("a", Claims()), kNow)) == std::nullopt);
}

TEST_CASE("a key's life cycle: announced, active, retiring, withdrawn; cached tokens follow at once") {
  TokenVerifier token_verifier(kRequirements, 16);
  std::string token = Ed25519Signer().Token("a", Claims());
  auto replace_key_state = [&](const char* state) {
    Json key = WithMember(Ed25519Signer().Jwk("a"), "state", state);
    if (std::string(state) == "retiring") key["until"] = kNow / kSecond + 2;
    REQUIRE_FALSE(token_verifier.ReplaceKeys(MakeKeySet({key})));
  };
  replace_key_state("announced");
  CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == TokenError::kKeyAnnounced);
  replace_key_state("active");
  CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == std::nullopt);
  CHECK(token_verifier.CachedTokens() == 1);
  replace_key_state("retiring");
  CHECK(ErrorOf(token_verifier.Verify(token, kNow + 2 * kSecond - 1)) == std::nullopt);
  CHECK(ErrorOf(token_verifier.Verify(token, kNow + 2 * kSecond)) == TokenError::kKeyRetired);
  replace_key_state("active");
  CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == std::nullopt);
  replace_key_state("withdrawn");
  CHECK(token_verifier.CachedTokens() == 0);
  CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == TokenError::kKeyWithdrawn);
  REQUIRE_FALSE(token_verifier.ReplaceKeys(MakeKeySet({P256Signer().Jwk("b")})));
  CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == TokenError::kUnknownKey);
}

TEST_CASE("a key set is described by the states of its keys, without those that are withdrawn") {
  const auto set = MakeKeySet({WithMember(Ed25519Signer().Jwk("a"), "state", "announced"),
                               WithMember(P256Signer().Jwk("b"), "state", "withdrawn")});
  CHECK(Describe(*set) == "'a' announced");
  CHECK(Describe(*MakeKeySet({})) == "none");
  std::vector<Json> keys;
  for (std::size_t i = 0; i < kMaxDescribedKeys + 2; ++i) {
    keys.push_back(Signer(true).Jwk(fmt::format("k{:02}", i)));
  }
  const std::string text = Describe(*MakeKeySet(keys));
  CHECK(text.find("'k15' active and 2 more") != std::string::npos);
  CHECK(text.find("'k16'") == std::string::npos);
}

TEST_CASE("the token cache is bounded, and cached tokens expire") {
  TokenVerifier token_verifier(kRequirements, 8);
  REQUIRE_FALSE(token_verifier.ReplaceKeys(MakeKeySet({Ed25519Signer().Jwk("a")})));
  std::vector<std::string> tokens;
  tokens.reserve(50);
  for (int i = 0; i < 50; ++i) {
    tokens.push_back(Ed25519Signer().Token("a", WithMember(Claims(), "sub", "s" + std::to_string(i))));
  }
  for (const std::string& token : tokens) CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == std::nullopt);
  CHECK(token_verifier.CachedTokens() == 8);
  for (const std::string& token : tokens) {
    CHECK(ErrorOf(token_verifier.Verify(token, kNow + 65 * kSecond)) == TokenError::kExpired);
  }
  CHECK(ErrorOf(token_verifier.Verify(tokens.back(), kNow - 66 * kSecond)) ==
        TokenError::kNotYet);  // the clock was set back
}

// Rotates twelve keys. At step n, key n is active, key n - 1 is retiring, later keys are announced, and
// earlier ones are withdrawn. `begun_step_` is set before a step's key set is in place,
// `settled_step_` afterwards. While the two differ, the key set of either step may be in use.
class KeyRotation {
 public:
  static constexpr int kKeys = 12;

  KeyRotation() {
    for (int i = 0; i < kKeys; ++i) {
      signers_.push_back(std::make_unique<Signer>(i % 2 == 0));
      tokens_.push_back(signers_.back()->Token("k" + std::to_string(i), Claims()));
    }
  }

  void RotateTo(int step) {
    std::vector<Json> keys;
    keys.reserve(kKeys);
    for (int i = 0; i < kKeys; ++i) {
      Json key = signers_[static_cast<std::size_t>(i)]->Jwk("k" + std::to_string(i));
      key["state"] = StateOf(i, step);
      if (i == step - 1) key["until"] = kNow / kSecond + 3600;
      keys.push_back(key);
    }
    begun_step_ = step;
    REQUIRE_FALSE(verifier_.ReplaceKeys(MakeKeySet(keys)));
    settled_step_ = step;
  }

  // Verifies the token of one key and compares the answer with the steps during which it was verified.
  void VerifyTokenOf(int key) {
    int step_before = settled_step_;
    bool accepted = !ErrorOf(verifier_.Verify(tokens_[static_cast<std::size_t>(key)], kNow));
    int step_after = begun_step_;
    // At some step from step_before to step_after.
    bool may_be_accepted = key <= step_after && key >= step_before - 1;
    // At every step from step_before to step_after.
    bool must_be_accepted = key <= step_before && key >= step_after - 1;
    if (accepted && !may_be_accepted) ++wrongly_accepted;
    if (!accepted && must_be_accepted) ++wrongly_rejected;
    ++presented;
  }

  std::atomic<std::size_t> wrongly_accepted{0}, wrongly_rejected{0}, presented{0};

 private:
  static const char* StateOf(int key, int step) {
    if (key == step) return "active";
    if (key == step - 1) return "retiring";
    return key < step ? "withdrawn" : "announced";
  }

  TokenVerifier verifier_{kRequirements, 64};
  std::vector<std::unique_ptr<Signer>> signers_;
  std::vector<std::string> tokens_;
  std::atomic<int> begun_step_{0}, settled_step_{0};
};

TEST_CASE("keys rotate under load: no token is wrongly accepted or wrongly rejected") {
  KeyRotation rotation;
  rotation.RotateTo(0);
  std::atomic<bool> done{false};
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int first_key = 0; first_key < 4; ++first_key) {
    callers.emplace_back([&rotation, &done, first_key] {
      for (int i = first_key; !done; ++i) rotation.VerifyTokenOf(i % KeyRotation::kKeys);
    });
  }
  for (int step = 1; step < KeyRotation::kKeys; ++step) {
    std::size_t presented_before = rotation.presented;
    while (rotation.presented < presented_before + 2000) std::this_thread::yield();
    rotation.RotateTo(step);
  }
  done = true;
  for (std::thread& caller : callers) caller.join();
  CHECK(rotation.wrongly_accepted == 0);
  CHECK(rotation.wrongly_rejected == 0);
}

TEST_CASE("a certificate identifies the tenant if no token does, and must match the token's tenant") {
  const std::string text = R"({"keys":"k","issuer":")" + kRequirements.issuer + R"(","audience":")" +
                           kRequirements.audience +
                           R"(","tenants":{
      "north":{"indices":["*"],"certificates":["dns:north.example","uri:urn:north"],"networks":["10.0.0.0/8"]},
      "south":{"indices":["*"],"certificates":["dns:south.example"]}}})";
  auto table = identity::PermissionTable::Parse(text);
  REQUIRE(table);
  identity::Authenticator authenticator(std::move(*table));
  REQUIRE(authenticator.ReplaceKeys(Json{{"keys", Json::array({Ed25519Signer().Jwk("a")})}}.dump()));
  Json claims = Claims();
  claims["tenant"] = "south";
  const std::string south = "Bearer " + Ed25519Signer().Token("a", claims), not_bearer = "Basic x";
  struct Case {
    const char* description;
    identity::Credentials credentials;
    std::string tenant, reason;
  };
  const Case cases[] = {
      {"no credentials", {nullptr, "10.0.0.1", {}, ""}, "", "no token"},
      {"a certificate", {nullptr, "10.0.0.1", {"email:x@y", "dns:north.example"}, ""}, "north", ""},
      {"two names of one tenant",
       {nullptr, "10.0.0.1", {"uri:urn:north", "dns:north.example"}, ""},
       "north",
       ""},
      {"names of two tenants",
       {nullptr, "10.0.0.1", {"dns:north.example", "dns:south.example"}, ""},
       "",
       "certificate has names of two tenants"},
      {"a name that no tenant lists",
       {nullptr, "10.0.0.1", {"dns:x"}, ""},
       "",
       "no token, and no tenant lists the certificate"},
      {"an address outside its networks",
       {nullptr, "11.0.0.1", {"dns:north.example"}, ""},
       "",
       "client address is outside the tenant's networks"},
      {"a revoked certificate",
       {&south, "10.0.0.1", {"dns:south.example"}, "certificate revoked"},
       "",
       "certificate: certificate revoked"},
      {"a token and its tenant's certificate", {&south, "10.0.0.1", {"dns:south.example"}, ""}, "south", ""},
      {"a token and a certificate that no tenant lists", {&south, "10.0.0.1", {"dns:x"}, ""}, "south", ""},
      {"a token and another tenant's certificate",
       {&south, "10.0.0.1", {"dns:north.example"}, ""},
       "",
       "token and certificate name different tenants"},
      {"a bad token and a good certificate",
       {&not_bearer, "10.0.0.1", {"dns:north.example"}, ""},
       "",
       "no bearer token"},
  };
  for (const Case& test_case : cases) {
    INFO(test_case.description);
    auto principal = authenticator.Authenticate(test_case.credentials, kNow);
    CHECK((principal ? principal->tenant : "") == test_case.tenant);
    CHECK((principal ? "" : principal.error().reason) == test_case.reason);
  }
  for (const char* wrong :
       {R"({"a":{"indices":["*"],"certificates":["north.example"]}})",
        R"({"a":{"indices":["*"],"certificates":["dns:"]}})",
        R"({"a":{"indices":["*"],"certificates":["dns:x"]},"b":{"certificates":["dns:x"]}})"}) {
    auto invalid_table = identity::PermissionTable::Parse(
        fmt::format(R"({{"keys":"k","issuer":"i","audience":"g","tenants":{}}})", wrong));
    REQUIRE_FALSE(invalid_table);
    CHECK(invalid_table.error().Message().find("[certificates]") != std::string::npos);
  }
}

TEST_CASE("sign-for-tests prints tokens and key sets that are accepted, with either kind of key") {
  liftrudder::test_support::TemporaryDirectory directory;
  const std::string program = LIFTRUDDER_PROGRAM, file = directory.path() + "/key.pem";
  auto run = [&](std::vector<std::string> extra_arguments) {
    std::vector<std::string> arguments{"token", "sign-for-tests", "--key", file, "--kid", "a"};
    arguments.insert(arguments.end(), extra_arguments.begin(), extra_arguments.end());
    return liftrudder::test_support::RunProgram(program, arguments);
  };
  const std::vector<std::string> claim_arguments{
      "--issuer", kRequirements.issuer, "--audience", kRequirements.audience, "--tenant", "north"};
  auto write = [&](EVP_PKEY* key) {
    std::unique_ptr<FILE, int (*)(FILE*)> to(std::fopen(file.c_str(), "w"), std::fclose);
    PEM_write_PrivateKey(to.get(), key, nullptr, nullptr, 0, nullptr, nullptr);
    EVP_PKEY_free(key);
  };
  for (EVP_PKEY* key : {EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"), EVP_EC_gen("P-256")}) {
    write(key);
    auto [code, jwk] = run({"--jwk"});
    REQUIRE(code == 0);
    auto keys = MakeKeySet({Json::parse(jwk)});
    auto now = std::chrono::system_clock::now().time_since_epoch();
    Micros now_us = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    for (const char* life : {"60", "-60"}) {
      std::vector<std::string> extra_arguments = claim_arguments;
      extra_arguments.insert(extra_arguments.end(), {"--life", life});
      auto [signed_code, token] = run(extra_arguments);
      REQUIRE(signed_code == 0);
      token.pop_back();  // the line's end
      CHECK(ErrorOf(identity::VerifyToken(token, *keys, kRequirements, now_us)) ==
            (life[0] == '-' ? std::optional(TokenError::kExpired) : std::nullopt));
    }
  }
  CHECK(run({"--jwk", "--tenant", "north"}).first == 2);
  CHECK(run({"--tenant", "north"}).first == 2);
  write(EVP_EC_gen("P-384"));
  CHECK(run({"--jwk"}) == std::pair(1, file + ": the key is neither Ed25519 nor P-256\n"));
  std::filesystem::remove(file);
  CHECK(run({"--jwk"}).first == 2);
}
