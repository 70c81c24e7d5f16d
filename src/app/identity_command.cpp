#include "app/identity_command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <iterator>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

#include "config/config.h"
#include "identity/base64url.h"
#include "identity/signing.h"
#include "identity/strict_json.h"
#include "identity/token.h"

namespace liftrudder::app {
namespace {

using identity::KeySet;
using KeySetPtr = std::shared_ptr<const KeySet>;

constexpr int kValid = 0;
constexpr int kInvalid = 1;
constexpr int kUnreadable = 2;
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
constexpr std::int64_t kMaxLifetimeSeconds = 86'400;

struct Options {
  std::string file;      // a key set, or a private key
  std::string previous;  // the key set that `file` would replace
  std::string issuer;
  std::string audience;
  std::string kid;
  std::string tenant;
  std::string subject = "tests";
  std::int64_t lifetime_s = 300;
  bool jwk = false;
};

// Prints the reason and returns null when the key set is not valid.
KeySetPtr ReadKeys(const std::string& file) {
  auto keys = KeySet::Parse(config::ReadFile(file));
  if (!keys) {
    fmt::print("{}: {}\n", file, keys.error().Message());
    return nullptr;
  }
  return *keys;
}

int CheckKeys(const Options& options) {
  KeySetPtr keys = ReadKeys(options.file);
  if (keys == nullptr) return kInvalid;
  for (const auto& [kid, key] : keys->keys()) {
    fmt::print("{} {} {}", kid, key.algorithm == identity::Algorithm::kEdDsa ? "EdDSA" : "ES256",
               identity::Name(key.state));
    if (key.state == identity::KeyState::kRetiring) {
      fmt::print(" until {}", key.retires_at_us / kMicrosPerSecond);
    }
    fmt::print("\n");
  }
  if (options.previous.empty()) return kValid;
  KeySetPtr previous = ReadKeys(options.previous);
  if (previous == nullptr) return kInvalid;
  identity::KeyIdRegistry known_kids;
  known_kids.Register(*previous);
  if (auto error = known_kids.Register(*keys)) {
    fmt::print("{}\n", error->Message());
    return kInvalid;
  }
  for (const std::string& change : identity::Differences(*previous, *keys)) fmt::print("{}\n", change);
  return kValid;
}

std::chrono::microseconds UnixTime() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
}

// Prints one part of a token as JSON, or why it cannot be decoded.
void PrintTokenPart(const char* name, std::string_view encoded) {
  auto text = identity::DecodeBase64Url(encoded);
  if (!text) {
    fmt::print("{}: not base64url\n", name);
    return;
  }
  auto json = identity::ParseStrictJson(*text, identity::kMaxTokenBytes);
  fmt::print("{}: {}\n", name, json ? json->dump() : json.error().Message());
}

int VerifyToken(const std::string& token, const Options& options) {
  KeySetPtr keys = ReadKeys(options.file);
  if (keys == nullptr) return kInvalid;
  auto verified = identity::VerifyToken(token, *keys, {options.issuer, options.audience}, UnixTime().count());
  if (!verified) {
    fmt::print("not valid: {}\n", identity::Name(verified.error()));
    return kInvalid;
  }
  fmt::print("valid until {}: tenant {}, subject {}\n", verified->valid_until_us / kMicrosPerSecond,
             nlohmann::json(verified->tenant).dump(), nlohmann::json(verified->subject).dump());
  return kValid;
}

// Prints the header and claims but not the signature, so the output cannot be used as a token.
int InspectToken(const Options& options) {
  std::string token{std::istreambuf_iterator<char>(std::cin), std::istreambuf_iterator<char>()};
  while (token.ends_with('\n') || token.ends_with('\r')) token.pop_back();
  std::string_view rest = token;
  for (const char* name : {"header", "claims"}) {
    const std::string_view part = rest.substr(0, rest.find('.'));
    PrintTokenPart(name, part);
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
  }
  return options.file.empty() ? kValid : VerifyToken(token, options);
}

// Meant for keys made for tests: the printed token is accepted wherever the key is in the key set.
int SignForTests(const Options& options) {
  auto key = identity::SigningKey::Parse(config::ReadFile(options.file));
  if (!key) {
    fmt::print("{}: {}\n", options.file, key.error().Message());
    return kInvalid;
  }
  if (options.jwk) {
    fmt::print("{}\n", key->Jwk(options.kid).dump());
    return kValid;
  }
  const std::int64_t now_s = std::chrono::duration_cast<std::chrono::seconds>(UnixTime()).count();
  nlohmann::json claims = {
      {"iss", options.issuer}, {"aud", options.audience},           {"iat", now_s},
      {"nbf", now_s},          {"exp", now_s + options.lifetime_s}, {"tenant", options.tenant},
      {"sub", options.subject}};
  fmt::print("{}\n", key->Token(options.kid, claims));
  return kValid;
}

int RunCommand(int (*command)(const Options&), const Options& options) try {
  return command(options);
} catch (const std::runtime_error& error) {
  fmt::print(stderr, "{}\n", error.what());
  return kUnreadable;
}

}  // namespace

void AddIdentityCommands(CLI::App& app, std::function<int()>& run) {
  auto options = std::make_shared<Options>();
  const char* exit_codes =
      "Exit codes: 0: valid; 1: not valid, the reason is printed; 2: a file cannot be read.";
  CLI::App* keys = app.add_subcommand("keys", "Key sets for verifying clients' tokens");
  keys->require_subcommand(1);
  CLI::App* check =
      keys->add_subcommand("check", "Check whether a key set is valid; print the state of each key");
  check->add_option("file", options->file, "A JWK set")->required();
  check->add_option("--before", options->previous,
                    "The key set that `file` would replace; also prints the changes");
  check->footer(exit_codes);
  check->callback([options, &run] { run = [options] { return RunCommand(CheckKeys, *options); }; });
  CLI::App* token = app.add_subcommand("token", "Clients' tokens");
  token->require_subcommand(1);
  CLI::App* inspect = token->add_subcommand(
      "inspect", "Print a token from standard input; with a key set, also whether it is valid now");
  auto* file = inspect->add_option("--keys", options->file, "A JWK set");
  auto* issuer = inspect->add_option("--issuer", options->issuer, "As in the operator's file");
  auto* audience = inspect->add_option("--audience", options->audience, "As in the operator's file");
  file->needs(issuer)->needs(audience);
  inspect->footer(exit_codes);
  inspect->callback([options, &run] { run = [options] { return RunCommand(InspectToken, *options); }; });
  CLI::App* sign = token->add_subcommand("sign-for-tests",
                                         "Print a token signed with a private key of your own, for tests");
  sign->add_option("--key", options->file, "A private key in PEM, Ed25519 or P-256")->required();
  sign->add_option("--kid", options->kid, "The key's id in the key set")->required();
  auto* jwk = sign->add_flag("--jwk", options->jwk, "Print the public key for a key set in place of a token");
  for (auto [name, where] : {std::pair("--issuer", &options->issuer),
                             {"--audience", &options->audience},
                             {"--tenant", &options->tenant},
                             {"--subject", &options->subject}}) {
    sign->add_option(name, *where, "The value of this claim in the token; not with --jwk")->excludes(jwk);
  }
  sign->add_option("--life", options->lifetime_s,
                   "Seconds until the token expires; a negative value makes a token that has already expired")
      ->check(CLI::Range(-kMaxLifetimeSeconds, kMaxLifetimeSeconds))
      ->excludes(jwk);
  sign->footer(exit_codes);
  sign->callback([options, &run] {
    bool complete = !options->issuer.empty() && !options->audience.empty() && !options->tenant.empty();
    if (!options->jwk && !complete) {
      throw CLI::ValidationError("--issuer, --audience and --tenant are required");
    }
    run = [options] { return RunCommand(SignForTests, *options); };
  });
}

}  // namespace liftrudder::app
