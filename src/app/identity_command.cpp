#include "app/identity_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <iterator>
#include <memory>
#include <stdexcept>

#include "config/config.h"
#include "identity/base64url.h"
#include "identity/signing.h"
#include "identity/strict_json.h"
#include "identity/token.h"

namespace liftrudder::app {
namespace {

using identity::KeySet;
using Keys = std::shared_ptr<const KeySet>;

constexpr int kGood = 0, kNotGood = 1, kUnread = 2;

struct Options {
  std::string file, before, issuer, audience;
  std::string kid, tenant, subject = "tests";
  std::int64_t life_s = 300;
  bool jwk = false;
};

// Says what is wrong with it and gives nothing.
Keys ReadKeys(const std::string& file) {
  auto keys = KeySet::Parse(config::ReadFile(file));
  if (!keys) {
    fmt::print("{}: {}\n", file, keys.error().Message());
    return nullptr;
  }
  return *keys;
}

int CheckKeys(const Options& options) {
  Keys keys = ReadKeys(options.file);
  if (keys == nullptr) return kNotGood;
  for (const auto& [kid, key] : keys->keys()) {
    fmt::print("{} {} {}", kid, key.algorithm == identity::Algorithm::kEdDsa ? "EdDSA" : "ES256",
               identity::Name(key.state));
    if (key.state == identity::KeyState::kRetiring) fmt::print(" until {}", key.retires_at_us / 1'000'000);
    fmt::print("\n");
  }
  if (options.before.empty()) return kGood;
  Keys before = ReadKeys(options.before);
  if (before == nullptr) return kNotGood;
  identity::KeyIdRegistry known_kids;
  known_kids.Register(*before);
  if (auto error = known_kids.Register(*keys)) {
    fmt::print("{}\n", error->Message());
    return kNotGood;
  }
  for (const std::string& change : identity::Differences(*before, *keys)) fmt::print("{}\n", change);
  return kGood;
}

// Header and claims, and without the signature nothing that lets anybody in.
int InspectToken(const Options& options) {
  std::string token{std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
  while (!token.empty() && (token.back() == '\n' || token.back() == '\r')) token.pop_back();
  std::string_view rest = token;
  for (const char* section : {"header", "claims"}) {
    auto text = identity::DecodeBase64Url(rest.substr(0, rest.find('.')));
    rest.remove_prefix(
        std::min(rest.size(), rest.find('.') == std::string_view::npos ? rest.size() : rest.find('.') + 1));
    if (!text) {
      fmt::print("{}: it is not base64url\n", section);
      continue;
    }
    auto json = identity::ParseStrictJson(*text, identity::kMaxTokenBytes);
    fmt::print("{}: {}\n", section, json ? json->dump() : json.error().Message());
  }
  if (options.file.empty()) return kGood;
  Keys keys = ReadKeys(options.file);
  if (keys == nullptr) return kNotGood;
  auto now = std::chrono::system_clock::now().time_since_epoch();
  auto verified = identity::VerifyToken(token, *keys, {options.issuer, options.audience},
                                        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
  if (!verified) {
    fmt::print("not good: {}\n", identity::Name(verified.error()));
    return kNotGood;
  }
  fmt::print("good until {}: tenant {}, subject {}\n", verified->valid_until_us / 1'000'000,
             nlohmann::json(verified->tenant).dump(), nlohmann::json(verified->subject).dump());
  return kGood;
}

// Of a key made for trying out. What is printed lets its bearer in wherever that key is in the set.
int SignForTests(const Options& options) {
  auto key = identity::SigningKey::Parse(config::ReadFile(options.file));
  if (!key) {
    fmt::print("{}: {}\n", options.file, key.error().Message());
    return kNotGood;
  }
  if (options.jwk) {
    fmt::print("{}\n", key->Jwk(options.kid).dump());
    return kGood;
  }
  auto now = std::chrono::system_clock::now().time_since_epoch();
  std::int64_t now_s = std::chrono::duration_cast<std::chrono::seconds>(now).count();
  nlohmann::json claims = {
      {"iss", options.issuer},         {"aud", options.audience},  {"iat", now_s},          {"nbf", now_s},
      {"exp", now_s + options.life_s}, {"tenant", options.tenant}, {"sub", options.subject}};
  fmt::print("{}\n", key->Token(options.kid, claims));
  return kGood;
}

int Guarded(int (*what)(const Options&), const Options& options) try {
  return what(options);
} catch (const std::runtime_error& error) {
  fmt::print(stderr, "{}\n", error.what());
  return kUnread;
}

}  // namespace

void AddIdentityCommands(CLI::App& app, std::function<int()>& run) {
  auto options = std::make_shared<Options>();
  const char* codes = "Ends with 0; 1: it is not good, and why; 2: a file that cannot be read.";
  CLI::App* keys = app.add_subcommand("keys", "Key sets that callers' tokens are held against");
  keys->require_subcommand(1);
  CLI::App* check = keys->add_subcommand("check", "Whether a set can be used, and the state of each key");
  check->add_option("file", options->file, "A JWK set")->required();
  check->add_option("--before", options->before, "The set that it is to replace: says what changes");
  check->footer(codes);
  check->callback([options, &run] { run = [options] { return Guarded(CheckKeys, *options); }; });
  CLI::App* token = app.add_subcommand("token", "Callers' tokens");
  token->require_subcommand(1);
  CLI::App* inspect = token->add_subcommand(
      "inspect", "What a token says, read from standard input; with a key set, whether it is good now");
  auto* file = inspect->add_option("--keys", options->file, "A JWK set");
  auto* issuer = inspect->add_option("--issuer", options->issuer, "As in the operator's file");
  auto* audience = inspect->add_option("--audience", options->audience, "As in the operator's file");
  file->needs(issuer)->needs(audience);
  inspect->footer(codes);
  inspect->callback([options, &run] { run = [options] { return Guarded(InspectToken, *options); }; });
  CLI::App* sign =
      token->add_subcommand("sign-for-tests", "A token of a private key of your own, for trying out");
  sign->add_option("--key", options->file, "A private key in PEM, Ed25519 or P-256")->required();
  sign->add_option("--kid", options->kid, "The key's name in the set")->required();
  auto* jwk =
      sign->add_flag("--jwk", options->jwk, "In place of a token, the key's public half for a key set");
  for (auto [name, where] : {std::pair("--issuer", &options->issuer),
                             {"--audience", &options->audience},
                             {"--tenant", &options->tenant},
                             {"--subject", &options->subject}})
    sign->add_option(name, *where, "As in the operator's file; not beside --jwk")->excludes(jwk);
  sign->add_option("--life", options->life_s, "Seconds until it expires; below 0: expired already")
      ->check(CLI::Range(-86'400, 86'400))
      ->excludes(jwk);
  sign->footer(codes);
  sign->callback([options, &run] {
    bool whole = !options->issuer.empty() && !options->audience.empty() && !options->tenant.empty();
    if (!options->jwk && !whole) throw CLI::ValidationError("--issuer, --audience and --tenant are needed");
    run = [options] { return Guarded(SignForTests, *options); };
  });
}

}  // namespace liftrudder::app
