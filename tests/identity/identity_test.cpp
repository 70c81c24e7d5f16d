// Who is calling: the readers of tokens and key sets, the life of keys, and the gate with its cache. No
// program, no socket; the time is handed in.
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
const Rules kRules{"https://id.example.org", "gatherer", 5 * kSecond, 3600 * kSecond};

Json Claims() {
  return {{"iss", kRules.issuer},       {"aud", kRules.audience}, {"exp", kNow / kSecond + 60},
          {"nbf", kNow / kSecond - 60}, {"tenant", "north"},      {"sub", "teacher-7"}};
}

std::shared_ptr<const KeySet> Set(const std::vector<Json>& keys) {
  auto read = KeySet::Read(Json{{"keys", keys}}.dump());
  if (auto* wrong = std::get_if<std::string>(&read)) FAIL(*wrong);
  return std::get<std::shared_ptr<const KeySet>>(read);
}

std::string Wrong(const std::string& text) {
  auto read = KeySet::Read(text);
  return std::holds_alternative<std::string>(read) ? std::get<std::string>(read) : "";
}

Denial Deny(const std::variant<VerifiedToken, Denial>& out) {
  return std::holds_alternative<Denial>(out) ? std::get<Denial>(out) : Denial::kNone;
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
       {std::string(), std::string("f"), std::string("fo"), std::string("foo\0\xff", 5)})
    CHECK(DecodeBase64Url(EncodeBase64Url(bytes)) == bytes);
  for (const char* bad : {"A", "Zg==", "Zh", "Zm9vY", "Zm 9", "Zm9+", "Zm9/", "Zm9v\n"})
    CHECK_FALSE(DecodeBase64Url(bad));
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

TEST_CASE("good tokens of both algorithms are let in") {
  auto keys = Set({Ed().Jwk("ed"), Ec().Jwk("ec")});
  for (const auto& [signer, kid] : {std::pair(&Ed(), "ed"), std::pair(&Ec(), "ec")}) {
    auto out = Verify(signer->Token(kid, Claims()), *keys, kRules, kNow);
    REQUIRE(Deny(out) == Denial::kNone);
    CHECK(std::get<VerifiedToken>(out).tenant == "north");
    CHECK(std::get<VerifiedToken>(out).subject == "teacher-7");
    CHECK(std::get<VerifiedToken>(out).kid == kid);
  }
  CHECK(Deny(Verify(Ed().Token("ed", With(Claims(), "aud", {"other", "gatherer"})), *keys, kRules, kNow)) ==
        Denial::kNone);
}

TEST_CASE("bad tokens, each with its reason") {
  auto keys = Set({Ed().Jwk("ed"), Ec().Jwk("ec"), Signer(true).Jwk("other")});
  std::string good = Ed().Token("ed", Claims()), header = Ed().Header("ed"), claims = Claims().dump();
  std::string cut = good.substr(0, good.size() - 3), changed = good;
  changed[changed.size() - 10] = changed[changed.size() - 10] == 'A' ? 'B' : 'A';
  std::string other_claims = good.substr(0, good.find('.')) + "." +
                             EncodeBase64Url(With(Claims(), "tenant", "south").dump()) +
                             good.substr(good.rfind('.'));
  const std::vector<std::pair<std::string, Denial>> table = {
      {"", Denial::kNotCompact},
      {"a.b", Denial::kNotCompact},
      {good + ".x", Denial::kNotCompact},
      {std::string(5000, 'a'), Denial::kTooLong},
      {good + "=", Denial::kBadEncoding},
      {" " + good, Denial::kBadEncoding},
      {Ed().Raw("[]", claims), Denial::kBadHeader},
      {Ed().Raw("{\"alg\":\"EdDSA\"", claims), Denial::kBadHeader},
      {Ed().Raw(R"({"alg":"EdDSA","kid":"ed","alg":"EdDSA"})", claims), Denial::kBadHeader},
      {Ed().Raw(R"({"alg":"EdDSA","kid":"ed","crit":["exp"]})", claims), Denial::kCritical},
      {Ed().Raw(R"({"alg":"EdDSA","kid":"ed","b64":false})", claims), Denial::kCritical},
      {Ed().Raw(R"({"alg":"none","kid":"ed"})", claims), Denial::kNoAlgorithm},
      {EncodeBase64Url(R"({"alg":"none","kid":"ed"})") + "." + EncodeBase64Url(claims) + ".",
       Denial::kNoAlgorithm},
      {Ed().Raw(R"({"alg":"eddsa","kid":"ed"})", claims), Denial::kNoAlgorithm},
      {Ed().Raw(R"({"alg":"HS256","kid":"ed"})", claims), Denial::kNoAlgorithm},
      {Ed().Raw(R"({"alg":7,"kid":"ed"})", claims), Denial::kNoAlgorithm},
      {Ed().Raw(R"({"alg":"EdDSA"})", claims), Denial::kNoKid},
      {Ed().Token("nobody", Claims()), Denial::kUnknownKey},
      {Ed().Raw(R"({"alg":"ES256","kid":"ed"})", claims), Denial::kWrongAlgorithm},
      {Ed().Raw(R"({"alg":"EdDSA","kid":"ec"})", claims), Denial::kWrongAlgorithm},
      {Signer(false).Token("ed", Claims()), Denial::kBadSignature},
      {Ec().Token("other", Claims()), Denial::kBadSignature},
      {changed, Denial::kBadSignature},
      {other_claims, Denial::kBadSignature},
      {good.substr(0, good.rfind('.') + 1), Denial::kBadSignature},
      {Ed().Raw(header, "[]"), Denial::kBadClaims},
      {Ed().Raw(header, "{\"iss\":1,\"iss\":2}"), Denial::kBadClaims},
      {Ed().Token("ed", Without(Claims(), "nbf")), Denial::kBadClaims},
      {Ed().Token("ed", With(Claims(), "iat", "now")), Denial::kBadClaims},
      {Ed().Token("ed", Without(Claims(), "iss")), Denial::kNoIssuer},
      {Ed().Token("ed", With(Claims(), "iss", "https://id.example.net")), Denial::kNoIssuer},
      {Ed().Token("ed", Without(Claims(), "aud")), Denial::kNoAudience},
      {Ed().Token("ed", With(Claims(), "aud", Json::array())), Denial::kNoAudience},
      {Ed().Token("ed", Without(Claims(), "exp")), Denial::kNoExpiry},
      {Ed().Token("ed", With(Claims(), "exp", "soon")), Denial::kNoExpiry},
      {Ed().Token("ed", With(Claims(), "exp", kNow / kSecond - 5)), Denial::kExpired},
      {Ed().Token("ed", With(Claims(), "nbf", kNow / kSecond + 6)), Denial::kNotYet},
      {Ed().Token("ed", With(Claims(), "iat", kNow / kSecond + 6)), Denial::kNotYet},
      {Ed().Token("ed", With(Claims(), "exp", kNow / kSecond + 3601)), Denial::kTooLongLived},
      {Ed().Token("ed", Without(Claims(), "tenant")), Denial::kNoTenant},
      {Ed().Token("ed", With(Claims(), "sub", "")), Denial::kNoTenant},
  };
  for (const auto& [token, reason] : table) {
    INFO(token << " should be " << Name(reason));
    CHECK(Name(Deny(Verify(token, *keys, kRules, kNow))) == Name(reason));
  }
  // The skew's two edges.
  CHECK(Deny(Verify(Ed().Token("ed", With(Claims(), "exp", kNow / kSecond - 4)), *keys, kRules, kNow)) ==
        Denial::kNone);
  CHECK(Deny(Verify(Ed().Token("ed", With(Claims(), "nbf", kNow / kSecond + 5)), *keys, kRules, kNow)) ==
        Denial::kNone);
}

TEST_CASE("key sets that cannot be used say which key and why, and change nothing") {
  auto set = [](const Json& key) { return Json{{"keys", {key}}}.dump(); };
  CHECK(Wrong("{").find("not JSON") != std::string::npos);
  CHECK(Wrong("{\"keys\":[],\"keys\":[]}").find("'keys' is there twice") != std::string::npos);
  CHECK(Wrong("{\"keys\":" + std::string(20, '[')).find("deeper") != std::string::npos);
  CHECK(Wrong("{}").find("no list 'keys'") != std::string::npos);
  CHECK(Wrong(set(Without(Ed().Jwk("a"), "kid"))).find("key 0 has no kid") != std::string::npos);
  CHECK(Wrong(set(With(Ed().Jwk("a"), "d", "secret"))).find("key 0 ('a') has the private member 'd'") !=
        std::string::npos);
  CHECK(Wrong(set(With(Ed().Jwk("a"), "d", "secret"))).find("secret") == std::string::npos);
  CHECK(Wrong(set(With(Ed().Jwk("a"), "kty", "RSA"))).find("neither OKP") != std::string::npos);
  CHECK(Wrong(set(With(Ed().Jwk("a"), "use", "enc"))).find("use") != std::string::npos);
  CHECK(Wrong(set(With(Ed().Jwk("a"), "alg", "ES256"))).find("does not fit") != std::string::npos);
  CHECK(Wrong(set(With(Ec().Jwk("a"), "y", Ec().Jwk("a")["x"]))).find("no point of its curve") !=
        std::string::npos);
  CHECK(Wrong(set(With(Ed().Jwk("a"), "state", "old"))).find("state") != std::string::npos);
  CHECK(Wrong(set(With(Ed().Jwk("a"), "state", "retiring"))).find("no until") != std::string::npos);
  CHECK(Wrong(Json{{"keys", {Ed().Jwk("a"), Ed().Jwk("b")}}}.dump()).find("are the same key") !=
        std::string::npos);
  CHECK(Wrong(Json{{"keys", {Ed().Jwk("a"), Ec().Jwk("a")}}}.dump()).find("'a' is there twice") !=
        std::string::npos);

  TokenVerifier token_verifier(kRules, 16);
  REQUIRE_FALSE(token_verifier.Replace(Set({Ed().Jwk("a")})));
  auto wrong = token_verifier.Replace(Set({Ec().Jwk("a")}));
  REQUIRE(wrong);
  CHECK(wrong->find("'a' names another key") != std::string::npos);
  // Nor after it has been gone for a while.
  REQUIRE_FALSE(token_verifier.Replace(Set({Ed().Jwk("c")})));
  CHECK(token_verifier.Replace(Set({Ec().Jwk("a")})));
  REQUIRE_FALSE(token_verifier.Replace(Set({Ed().Jwk("a")})));
  CHECK(Deny(token_verifier.Admit(Ed().Token("a", Claims()), kNow)) == Denial::kNone);
}

TEST_CASE("a key's life: announced, active, retiring, withdrawn; tokens already seen follow at once") {
  TokenVerifier token_verifier(kRules, 16);
  std::string token = Ed().Token("a", Claims());
  auto put = [&](const char* state) {
    Json key = With(Ed().Jwk("a"), "state", state);
    if (std::string(state) == "retiring") key["until"] = kNow / kSecond + 2;
    REQUIRE_FALSE(token_verifier.Replace(Set({key})));
  };
  put("announced");
  CHECK(Deny(token_verifier.Admit(token, kNow)) == Denial::kKeyAnnounced);
  put("active");
  CHECK(Deny(token_verifier.Admit(token, kNow)) == Denial::kNone);
  CHECK(token_verifier.Cached() == 1);
  put("retiring");
  CHECK(Deny(token_verifier.Admit(token, kNow + 2 * kSecond - 1)) == Denial::kNone);
  CHECK(Deny(token_verifier.Admit(token, kNow + 2 * kSecond)) == Denial::kKeyRetired);
  put("active");
  CHECK(Deny(token_verifier.Admit(token, kNow)) == Denial::kNone);
  put("withdrawn");
  CHECK(token_verifier.Cached() == 0);
  CHECK(Deny(token_verifier.Admit(token, kNow)) == Denial::kKeyWithdrawn);
  REQUIRE_FALSE(token_verifier.Replace(Set({Ec().Jwk("b")})));
  CHECK(Deny(token_verifier.Admit(token, kNow)) == Denial::kUnknownKey);
}

TEST_CASE("the cache is bounded, and what it holds expires") {
  TokenVerifier token_verifier(kRules, 8);
  REQUIRE_FALSE(token_verifier.Replace(Set({Ed().Jwk("a")})));
  std::vector<std::string> tokens;
  for (int i = 0; i < 50; ++i)
    tokens.push_back(Ed().Token("a", With(Claims(), "sub", "s" + std::to_string(i))));
  for (const std::string& token : tokens) CHECK(Deny(token_verifier.Admit(token, kNow)) == Denial::kNone);
  CHECK(token_verifier.Cached() == 8);
  for (const std::string& token : tokens)
    CHECK(Deny(token_verifier.Admit(token, kNow + 65 * kSecond)) == Denial::kExpired);
  CHECK(Deny(token_verifier.Admit(tokens.back(), kNow - 66 * kSecond)) ==
        Denial::kNotYet);  // a clock that stepped back
}

TEST_CASE("keys rotate under load: no wrongful acceptance, no refusal within the overlap") {
  TokenVerifier token_verifier(kRules, 64);
  std::vector<std::unique_ptr<Signer>> signers;
  std::vector<std::string> tokens;
  constexpr int kKeys = 12;
  for (int i = 0; i < kKeys; ++i) {
    signers.push_back(std::make_unique<Signer>(i % 2 == 0));
    tokens.push_back(signers.back()->Token("k" + std::to_string(i), Claims()));
  }
  // Step n: key n signs, n - 1 retires, n + 1 is announced, all older ones are withdrawn. `settled` is stored
  // after the set is in place, `begun` before: between the two either answer is right.
  std::atomic<int> begun{0}, settled{0};
  std::atomic<std::size_t> wrongful{0}, refused{0}, asked{0};
  auto rotate = [&](int n) {
    std::vector<Json> keys;
    for (int i = 0; i < kKeys; ++i) {
      Json key = signers[static_cast<std::size_t>(i)]->Jwk("k" + std::to_string(i));
      key["state"] = i == n ? "active" : i == n - 1 ? "retiring" : i < n ? "withdrawn" : "announced";
      if (i == n - 1) key["until"] = kNow / kSecond + 3600;
      keys.push_back(key);
    }
    begun = n;
    REQUIRE_FALSE(token_verifier.Replace(Set(keys)));
    settled = n;
  };
  rotate(0);
  std::atomic<bool> done{false};
  std::vector<std::thread> authenticator;
  for (int who = 0; who < 4; ++who) {
    authenticator.emplace_back([&, who] {
      for (std::size_t i = static_cast<std::size_t>(who); !done; ++i) {
        int key = static_cast<int>(i % kKeys), before = settled;
        bool in = Deny(token_verifier.Admit(tokens[static_cast<std::size_t>(key)], kNow)) == Denial::kNone;
        int after = begun;
        ++asked;
        bool may = key <= after && key >= before - 1;   // at some step between
        bool must = key <= before && key >= after - 1;  // at every step between
        wrongful += in && !may ? 1 : 0;
        refused += !in && must ? 1 : 0;
      }
    });
  }
  for (int n = 1; n < kKeys; ++n) {
    std::size_t seen = asked;
    while (asked < seen + 2000) std::this_thread::yield();
    rotate(n);
  }
  done = true;
  for (std::thread& caller : authenticator) caller.join();
  CHECK(wrongful == 0);
  CHECK(refused == 0);
}

TEST_CASE("a certificate says the tenant where no token does, and never another than the token") {
  const std::string text = R"({"keys":"k","issuer":")" + kRules.issuer + R"(","audience":")" +
                           kRules.audience +
                           R"(","tenants":{
      "north":{"indices":["*"],"certificates":["dns:north.example","uri:urn:north"],"networks":["10.0.0.0/8"]},
      "south":{"indices":["*"],"certificates":["dns:south.example"]}}})";
  auto read = identity::PermissionTable::Read(text);
  REQUIRE(read.index() == 0);
  identity::Authenticator authenticator(std::get<identity::PermissionTable>(std::move(read)));
  std::vector<std::string> changes;
  REQUIRE_FALSE(authenticator.TakeKeys(Json{{"keys", Json::array({Ed().Jwk("a")})}}.dump(), changes));
  Json claims = Claims();
  claims["tenant"] = "south";
  const std::string south = "Bearer " + Ed().Token("a", claims), junk = "Basic x";
  struct Case {
    const char* what;
    identity::Presented shown;
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
    auto admitted = authenticator.Admit(one.shown, kNow);
    const auto* principal = std::get_if<identity::Principal>(&admitted);
    CHECK((principal == nullptr ? "" : principal->tenant) == one.tenant);
    CHECK((principal == nullptr ? std::get<identity::Refusal>(admitted).reason : "") == one.reason);
  }
  for (const char* wrong :
       {R"({"a":{"indices":["*"],"certificates":["north.example"]}})",
        R"({"a":{"indices":["*"],"certificates":["dns:"]}})",
        R"({"a":{"indices":["*"],"certificates":["dns:x"]},"b":{"certificates":["dns:x"]}})"}) {
    auto again = identity::PermissionTable::Read(
        fmt::format(R"({{"keys":"k","issuer":"i","audience":"g","tenants":{}}})", wrong));
    REQUIRE(again.index() == 1);
    CHECK(std::get<std::string>(again).find("[certificates]") != std::string::npos);
  }
}

TEST_CASE("sign-for-tests gives tokens and key sets that the gate takes, of either kind of key") {
  liftrudder::test_support::TemporaryDirectory directory;
  const std::string program = LIFTRUDDER_PROGRAM, file = directory.path() + "/key.pem";
  auto run = [&](std::vector<std::string> more) {
    std::vector<std::string> all{"token", "sign-for-tests", "--key", file, "--kid", "a"};
    all.insert(all.end(), more.begin(), more.end());
    return liftrudder::test_support::RunProgram(program, all);
  };
  const std::vector<std::string> who{"--issuer",      kRules.issuer, "--audience",
                                     kRules.audience, "--tenant",    "north"};
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
      CHECK(Deny(identity::Verify(token, *keys, kRules, now_us)) ==
            (life[0] == '-' ? Denial::kExpired : Denial::kNone));
    }
  }
  CHECK(run({"--jwk", "--tenant", "north"}).first == 2);
  CHECK(run({"--tenant", "north"}).first == 2);
  write(EVP_EC_gen("P-384"));
  CHECK(run({"--jwk"}) == std::pair(1, file + ": the key is neither Ed25519 nor P-256\n"));
  std::filesystem::remove(file);
  CHECK(run({"--jwk"}).first == 2);
}
