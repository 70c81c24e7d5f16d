// Authentication: parsing of tokens and key sets, the life cycle of keys, the token cache, certificates, and
// the sub-command that signs tokens for tests. The time is an argument.
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

std::shared_ptr<const KeySet> Set(const std::vector<Json>& keys) {
  auto set = KeySet::Parse(Json{{"keys", keys}}.dump());
  if (!set) FAIL(set.error().Message());
  return *set;
}

// What is wrong with a key set; empty: nothing.
std::string KeySetProblem(const std::string& text) {
  auto set = KeySet::Parse(text);
  return set ? "" : set.error().Message();
}

// Nothing: the token was accepted.
std::optional<TokenError> ErrorOf(const tl::expected<VerifiedToken, TokenError>& result) {
  if (result) return std::nullopt;
  return result.error();
}

Json With(Json object, const char* name, const Json& value) {
  object[name] = value;
  return object;
}
Json Without(Json object, const char* name) {
  object.erase(name);
  return object;
}

const Signer& Ed() {
  static const Signer signer(false);
  return signer;
}
const Signer& Ec() {
  static const Signer signer(true);
  return signer;
}

}  // namespace

TEST_CASE("base64url is strict: one text for one value") {
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
  auto keys = Set({{{"kid", "k"},
                    {"kty", "OKP"},
                    {"crv", "Ed25519"},
                    {"x", "11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo"}}});
  // Appendix A.3.
  CHECK(EncodeBase64Url(std::string_view(reinterpret_cast<const char*>(keys->Find("k")->thumbprint.data()),
                                         32)) == "kPrK_qmxVWaYVA9wwBF6Iuo3vVzz7TxHCTwXBygrS4k");
}

TEST_CASE("valid tokens of both algorithms are accepted") {
  auto keys = Set({Ed().Jwk("ed"), Ec().Jwk("ec")});
  for (const auto& [signer, kid] : {std::pair(&Ed(), "ed"), std::pair(&Ec(), "ec")}) {
    auto out = VerifyToken(signer->Token(kid, Claims()), *keys, kRequirements, kNow);
    REQUIRE(ErrorOf(out) == std::nullopt);
    CHECK(out->tenant == "north");
    CHECK(out->subject == "teacher-7");
    CHECK(out->kid == kid);
  }
  CHECK(ErrorOf(VerifyToken(Ed().Token("ed", With(Claims(), "aud", {"other", "gatherer"})), *keys,
                            kRequirements, kNow)) == std::nullopt);
}

TEST_CASE("invalid tokens are rejected, each with its reason") {
  auto keys = Set({Ed().Jwk("ed"), Ec().Jwk("ec"), Signer(true).Jwk("other")});
  std::string good = Ed().Token("ed", Claims()), header = Ed().Header("ed"), claims = Claims().dump();
  std::string cut = good.substr(0, good.size() - 3), changed = good;
  changed[changed.size() - 10] = changed[changed.size() - 10] == 'A' ? 'B' : 'A';
  std::string other_claims = good.substr(0, good.find('.')) + "." +
                             EncodeBase64Url(With(Claims(), "tenant", "south").dump()) +
                             good.substr(good.rfind('.'));
  const std::vector<std::pair<std::string, TokenError>> table = {
      {"", TokenError::kNotCompact},
      {"a.b", TokenError::kNotCompact},
      {good + ".x", TokenError::kNotCompact},
      {std::string(5000, 'a'), TokenError::kTooLong},
      {good + "=", TokenError::kBadEncoding},
      {" " + good, TokenError::kBadEncoding},
      {Ed().Raw("[]", claims), TokenError::kBadHeader},
      {Ed().Raw("{\"alg\":\"EdDSA\"", claims), TokenError::kBadHeader},
      {Ed().Raw(R"({"alg":"EdDSA","kid":"ed","alg":"EdDSA"})", claims), TokenError::kBadHeader},
      {Ed().Raw(R"({"alg":"EdDSA","kid":"ed","crit":["exp"]})", claims), TokenError::kCritical},
      {Ed().Raw(R"({"alg":"EdDSA","kid":"ed","b64":false})", claims), TokenError::kCritical},
      {Ed().Raw(R"({"alg":"none","kid":"ed"})", claims), TokenError::kNoAlgorithm},
      {EncodeBase64Url(R"({"alg":"none","kid":"ed"})") + "." + EncodeBase64Url(claims) + ".",
       TokenError::kNoAlgorithm},
      {Ed().Raw(R"({"alg":"eddsa","kid":"ed"})", claims), TokenError::kNoAlgorithm},
      {Ed().Raw(R"({"alg":"HS256","kid":"ed"})", claims), TokenError::kNoAlgorithm},
      {Ed().Raw(R"({"alg":7,"kid":"ed"})", claims), TokenError::kNoAlgorithm},
      {Ed().Raw(R"({"alg":"EdDSA"})", claims), TokenError::kNoKid},
      {Ed().Token("nobody", Claims()), TokenError::kUnknownKey},
      {Ed().Raw(R"({"alg":"ES256","kid":"ed"})", claims), TokenError::kWrongAlgorithm},
      {Ed().Raw(R"({"alg":"EdDSA","kid":"ec"})", claims), TokenError::kWrongAlgorithm},
      {Signer(false).Token("ed", Claims()), TokenError::kBadSignature},
      {Ec().Token("other", Claims()), TokenError::kBadSignature},
      {changed, TokenError::kBadSignature},
      {other_claims, TokenError::kBadSignature},
      {good.substr(0, good.rfind('.') + 1), TokenError::kBadSignature},
      {Ed().Raw(header, "[]"), TokenError::kBadClaims},
      {Ed().Raw(header, "{\"iss\":1,\"iss\":2}"), TokenError::kBadClaims},
      {Ed().Token("ed", Without(Claims(), "nbf")), TokenError::kBadClaims},
      {Ed().Token("ed", With(Claims(), "iat", "now")), TokenError::kBadClaims},
      {Ed().Token("ed", Without(Claims(), "iss")), TokenError::kNoIssuer},
      {Ed().Token("ed", With(Claims(), "iss", "https://id.example.net")), TokenError::kNoIssuer},
      {Ed().Token("ed", Without(Claims(), "aud")), TokenError::kNoAudience},
      {Ed().Token("ed", With(Claims(), "aud", Json::array())), TokenError::kNoAudience},
      {Ed().Token("ed", Without(Claims(), "exp")), TokenError::kNoExpiry},
      {Ed().Token("ed", With(Claims(), "exp", "soon")), TokenError::kNoExpiry},
      {Ed().Token("ed", With(Claims(), "exp", kNow / kSecond - 5)), TokenError::kExpired},
      {Ed().Token("ed", With(Claims(), "nbf", kNow / kSecond + 6)), TokenError::kNotYet},
      {Ed().Token("ed", With(Claims(), "iat", kNow / kSecond + 6)), TokenError::kNotYet},
      {Ed().Token("ed", With(Claims(), "exp", kNow / kSecond + 3601)), TokenError::kTooLongLived},
      {Ed().Token("ed", Without(Claims(), "tenant")), TokenError::kNoTenant},
      {Ed().Token("ed", With(Claims(), "sub", "")), TokenError::kNoTenant},
  };
  for (const auto& [token, reason] : table) {
    INFO(token << " should be " << Name(reason));
    auto error = ErrorOf(VerifyToken(token, *keys, kRequirements, kNow));
    CHECK((error ? Name(*error) : "accepted") == Name(reason));
  }
  // The skew's two edges.
  CHECK(ErrorOf(VerifyToken(Ed().Token("ed", With(Claims(), "exp", kNow / kSecond - 4)), *keys, kRequirements,
                            kNow)) == std::nullopt);
  CHECK(ErrorOf(VerifyToken(Ed().Token("ed", With(Claims(), "nbf", kNow / kSecond + 5)), *keys, kRequirements,
                            kNow)) == std::nullopt);
}

TEST_CASE("an invalid key set names the key and the problem, and changes nothing") {
  auto set = [](const Json& key) { return Json{{"keys", {key}}}.dump(); };
  CHECK(KeySetProblem("{").find("not JSON") != std::string::npos);
  CHECK(KeySetProblem("{\"keys\":[],\"keys\":[]}").find("'keys' is there twice") != std::string::npos);
  CHECK(KeySetProblem("{\"keys\":" + std::string(20, '[')).find("deeper") != std::string::npos);
  CHECK(KeySetProblem("{}").find("no list 'keys'") != std::string::npos);
  CHECK(KeySetProblem(set(Without(Ed().Jwk("a"), "kid"))).find("key 0 has no kid") != std::string::npos);
  CHECK(
      KeySetProblem(set(With(Ed().Jwk("a"), "d", "secret"))).find("key 0 ('a') has the private member 'd'") !=
      std::string::npos);
  CHECK(KeySetProblem(set(With(Ed().Jwk("a"), "d", "secret"))).find("secret") == std::string::npos);
  CHECK(KeySetProblem(set(With(Ed().Jwk("a"), "kty", "RSA"))).find("neither OKP") != std::string::npos);
  CHECK(KeySetProblem(set(With(Ed().Jwk("a"), "use", "enc"))).find("use") != std::string::npos);
  CHECK(KeySetProblem(set(With(Ed().Jwk("a"), "alg", "ES256"))).find("does not fit") != std::string::npos);
  CHECK(KeySetProblem(set(With(Ec().Jwk("a"), "y", Ec().Jwk("a")["x"]))).find("no point of its curve") !=
        std::string::npos);
  CHECK(KeySetProblem(set(With(Ed().Jwk("a"), "state", "old"))).find("state") != std::string::npos);
  CHECK(KeySetProblem(set(With(Ed().Jwk("a"), "state", "retiring"))).find("no until") != std::string::npos);
  CHECK(KeySetProblem(Json{{"keys", {Ed().Jwk("a"), Ed().Jwk("b")}}}.dump()).find("are the same key") !=
        std::string::npos);
  CHECK(KeySetProblem(Json{{"keys", {Ed().Jwk("a"), Ec().Jwk("a")}}}.dump()).find("'a' is there twice") !=
        std::string::npos);

  TokenVerifier token_verifier(kRequirements, 16);
  REQUIRE_FALSE(token_verifier.ReplaceKeys(Set({Ed().Jwk("a")})));
  auto wrong = token_verifier.ReplaceKeys(Set({Ec().Jwk("a")}));
  REQUIRE(wrong);
  CHECK(wrong->Message().find("'a' names another key") != std::string::npos);
  // Nor after it has been gone for a while.
  REQUIRE_FALSE(token_verifier.ReplaceKeys(Set({Ed().Jwk("c")})));
  CHECK(token_verifier.ReplaceKeys(Set({Ec().Jwk("a")})));
  REQUIRE_FALSE(token_verifier.ReplaceKeys(Set({Ed().Jwk("a")})));
  CHECK(ErrorOf(token_verifier.Verify(Ed().Token("a", Claims()), kNow)) == std::nullopt);
}

TEST_CASE("a key's life cycle: announced, active, retiring, withdrawn; cached tokens follow at once") {
  TokenVerifier token_verifier(kRequirements, 16);
  std::string token = Ed().Token("a", Claims());
  auto put = [&](const char* state) {
    Json key = With(Ed().Jwk("a"), "state", state);
    if (std::string(state) == "retiring") key["until"] = kNow / kSecond + 2;
    REQUIRE_FALSE(token_verifier.ReplaceKeys(Set({key})));
  };
  put("announced");
  CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == TokenError::kKeyAnnounced);
  put("active");
  CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == std::nullopt);
  CHECK(token_verifier.CachedTokens() == 1);
  put("retiring");
  CHECK(ErrorOf(token_verifier.Verify(token, kNow + 2 * kSecond - 1)) == std::nullopt);
  CHECK(ErrorOf(token_verifier.Verify(token, kNow + 2 * kSecond)) == TokenError::kKeyRetired);
  put("active");
  CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == std::nullopt);
  put("withdrawn");
  CHECK(token_verifier.CachedTokens() == 0);
  CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == TokenError::kKeyWithdrawn);
  REQUIRE_FALSE(token_verifier.ReplaceKeys(Set({Ec().Jwk("b")})));
  CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == TokenError::kUnknownKey);
}

TEST_CASE("the token cache is bounded, and cached tokens expire") {
  TokenVerifier token_verifier(kRequirements, 8);
  REQUIRE_FALSE(token_verifier.ReplaceKeys(Set({Ed().Jwk("a")})));
  std::vector<std::string> tokens;
  tokens.reserve(50);
  for (int i = 0; i < 50; ++i) {
    tokens.push_back(Ed().Token("a", With(Claims(), "sub", "s" + std::to_string(i))));
  }
  for (const std::string& token : tokens) CHECK(ErrorOf(token_verifier.Verify(token, kNow)) == std::nullopt);
  CHECK(token_verifier.CachedTokens() == 8);
  for (const std::string& token : tokens) {
    CHECK(ErrorOf(token_verifier.Verify(token, kNow + 65 * kSecond)) == TokenError::kExpired);
  }
  CHECK(ErrorOf(token_verifier.Verify(tokens.back(), kNow - 66 * kSecond)) ==
        TokenError::kNotYet);  // a clock that stepped back
}

// Twelve keys that take turns. At step n key n is active, n - 1 retires, later ones are announced, all
// earlier ones are withdrawn. `settled_step` is stored after a step's set is in place, `begun_step` before:
// between the two either answer is right.
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
    REQUIRE_FALSE(verifier_.ReplaceKeys(Set(keys)));
    settled_step_ = step;
  }

  // Presents the token of one key and judges the answer against the steps during which it was verified.
  void Present(int key) {
    int step_before = settled_step_;
    bool accepted = !ErrorOf(verifier_.Verify(tokens_[static_cast<std::size_t>(key)], kNow));
    int step_after = begun_step_;
    bool may_be_accepted = key <= step_after && key >= step_before - 1;   // at some step between
    bool must_be_accepted = key <= step_before && key >= step_after - 1;  // at every step between
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

TEST_CASE("keys rotate under load: no wrongful acceptance, no rejection within the overlap") {
  KeyRotation rotation;
  rotation.RotateTo(0);
  std::atomic<bool> done{false};
  std::vector<std::thread> callers;
  callers.reserve(4);
  for (int first_key = 0; first_key < 4; ++first_key) {
    callers.emplace_back([&rotation, &done, first_key] {
      for (int i = first_key; !done; ++i) rotation.Present(i % KeyRotation::kKeys);
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

TEST_CASE("a certificate names the tenant where no token does, and never another one than the token") {
  const std::string text = R"({"keys":"k","issuer":")" + kRequirements.issuer + R"(","audience":")" +
                           kRequirements.audience +
                           R"(","tenants":{
      "north":{"indices":["*"],"certificates":["dns:north.example","uri:urn:north"],"networks":["10.0.0.0/8"]},
      "south":{"indices":["*"],"certificates":["dns:south.example"]}}})";
  auto table = identity::PermissionTable::Parse(text);
  REQUIRE(table);
  identity::Authenticator authenticator(std::move(*table));
  REQUIRE(authenticator.ReplaceKeys(Json{{"keys", Json::array({Ed().Jwk("a")})}}.dump()));
  Json claims = Claims();
  claims["tenant"] = "south";
  const std::string south = "Bearer " + Ed().Token("a", claims), junk = "Basic x";
  struct Case {
    const char* what;
    identity::Credentials credentials;
    std::string tenant, reason;
  };
  const Case cases[] = {
      {"nothing", {nullptr, "10.0.0.1", {}, ""}, "", "no token"},
      {"a certificate", {nullptr, "10.0.0.1", {"email:x@y", "dns:north.example"}, ""}, "north", ""},
      {"two names of one tenant",
       {nullptr, "10.0.0.1", {"uri:urn:north", "dns:north.example"}, ""},
       "north",
       ""},
      {"names of two tenants",
       {nullptr, "10.0.0.1", {"dns:north.example", "dns:south.example"}, ""},
       "",
       "a certificate with names of two tenants"},
      {"a name of nobody",
       {nullptr, "10.0.0.1", {"dns:x"}, ""},
       "",
       "no token, and no tenant for the certificate"},
      {"not from its network", {nullptr, "11.0.0.1", {"dns:north.example"}, ""}, "", "not from this network"},
      {"one that is not good any more",
       {&south, "10.0.0.1", {"dns:south.example"}, "certificate revoked"},
       "",
       "certificate: certificate revoked"},
      {"a token and its tenant's certificate", {&south, "10.0.0.1", {"dns:south.example"}, ""}, "south", ""},
      {"a token and a certificate of nobody", {&south, "10.0.0.1", {"dns:x"}, ""}, "south", ""},
      {"a token and another tenant's certificate",
       {&south, "10.0.0.1", {"dns:north.example"}, ""},
       "",
       "a token of another tenant than the certificate"},
      {"a bad token and a good certificate",
       {&junk, "10.0.0.1", {"dns:north.example"}, ""},
       "",
       "no bearer token"},
  };
  for (const Case& one : cases) {
    INFO(one.what);
    auto principal = authenticator.Authenticate(one.credentials, kNow);
    CHECK((principal ? principal->tenant : "") == one.tenant);
    CHECK((principal ? "" : principal.error().reason) == one.reason);
  }
  for (const char* wrong :
       {R"({"a":{"indices":["*"],"certificates":["north.example"]}})",
        R"({"a":{"indices":["*"],"certificates":["dns:"]}})",
        R"({"a":{"indices":["*"],"certificates":["dns:x"]},"b":{"certificates":["dns:x"]}})"}) {
    auto again = identity::PermissionTable::Parse(
        fmt::format(R"({{"keys":"k","issuer":"i","audience":"g","tenants":{}}})", wrong));
    REQUIRE_FALSE(again);
    CHECK(again.error().Message().find("[certificates]") != std::string::npos);
  }
}

TEST_CASE("sign-for-tests prints tokens and key sets that are accepted, with either kind of key") {
  liftrudder::test_support::TemporaryDirectory directory;
  const std::string program = LIFTRUDDER_PROGRAM, file = directory.path() + "/key.pem";
  auto run = [&](std::vector<std::string> more) {
    std::vector<std::string> all{"token", "sign-for-tests", "--key", file, "--kid", "a"};
    all.insert(all.end(), more.begin(), more.end());
    return liftrudder::test_support::RunProgram(program, all);
  };
  const std::vector<std::string> who{
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
    auto keys = Set({Json::parse(jwk)});
    auto now = std::chrono::system_clock::now().time_since_epoch();
    Micros now_us = std::chrono::duration_cast<std::chrono::microseconds>(now).count();
    for (const char* life : {"60", "-60"}) {
      std::vector<std::string> more = who;
      more.insert(more.end(), {"--life", life});
      auto [signed_code, token] = run(more);
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
