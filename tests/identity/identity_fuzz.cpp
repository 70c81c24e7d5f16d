// Fuzzes the parsers of tokens, key sets and tenants' permissions. With clang this is a libFuzzer target
// (-DLIFTRUDDER_FUZZ=ON); built as an ordinary program it runs the corpus and a fixed number of mutations of
// it, the same in each run. Guards against accepting a token that was not signed here, and against a key set
// that parses differently the second time.
#include <array>
#include <cstdio>
#include <cstdlib>
#include <set>
#include <string>

#include "identity/permissions.h"
#include "identity/token.h"
#include "support/token_signer.h"

using namespace liftrudder::identity;
using liftrudder::tests::Json;
using liftrudder::tests::Signer;

namespace {

constexpr Micros kNow = 1'800'000'000LL * 1'000'000;
const TokenRequirements kRequirements{"issuer", "gatherer"};

void RequireInvariant(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "invariant violated: %s\n", what);
  std::abort();
}

struct Fixture {
  Fixture() {
    std::array<unsigned char, 32> secret{};
    for (unsigned char i = 0; i < 32; ++i) secret[i] = i;
    Signer signer(secret);
    Json set = {{"keys", Json::array({signer.Jwk("a")})}};
    keys = KeySet::Parse(set.dump()).value();
    Json claims = {{"iss", "issuer"},
                   {"aud", "gatherer"},
                   {"exp", kNow / 1'000'000 + 60},
                   {"nbf", kNow / 1'000'000 - 60},
                   {"tenant", "north"},
                   {"sub", "t"}};
    signed_tokens.insert(signer.Token("a", claims));
    claims["aud"] = {"other", "gatherer"};
    signed_tokens.insert(signer.Token("a", claims));
    key_set = set.dump();
  }
  std::shared_ptr<const KeySet> keys;
  std::set<std::string, std::less<>> signed_tokens;
  std::string key_set;
};
const Fixture& TestFixture() {
  static const Fixture fixture;
  return fixture;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  std::string_view text(reinterpret_cast<const char*>(data), size);
  bool accepted = VerifyToken(text, *TestFixture().keys, kRequirements, kNow).has_value();
  RequireInvariant(accepted == TestFixture().signed_tokens.contains(text),
                   "exactly the tokens signed here are accepted");
  auto set = KeySet::Parse(text);
  auto set_again = KeySet::Parse(text);
  RequireInvariant(set.has_value() == set_again.has_value(), "a key set parses the same twice");
  if (set) {
    RequireInvariant((*set)->keys().size() <= kMaxKeys, "keys are bounded");
    for (const auto& [kid, key] : (*set)->keys()) {
      RequireInvariant(kid == key.kid && !kid.empty() && kid.size() <= kMaxKeyIdBytes, "a key has its kid");
      RequireInvariant(key.public_key != nullptr, "an accepted key can verify");
    }
    RequireInvariant(Differences(**set, **set_again).empty(), "a key set does not differ from itself");
  } else {
    RequireInvariant(!set.error().Message().empty(), "a rejected key set says why");
  }
  auto table = PermissionTable::Parse(text);
  if (!table) RequireInvariant(!table.error().Message().empty(), "a rejected permission table says why");
  return 0;
}

#ifndef LIFTRUDDER_LIBFUZZER
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <vector>

namespace {

constexpr int kMutations = 30'000;  // mutations of the corpus; they take about three seconds

std::string Mutate(std::string text, const std::vector<std::string>& corpus, std::mt19937_64& random) {
  for (int changes = 1 + static_cast<int>(random() % 3); changes > 0; --changes) {
    std::size_t at = text.empty() ? 0 : random() % text.size();
    const std::string& other = corpus[random() % corpus.size()];
    std::size_t from = other.empty() ? 0 : random() % other.size();
    switch (random() % 5) {
      case 0:
        if (!text.empty()) text[at] = static_cast<char>(text[at] ^ (1 << random() % 8));
        break;
      case 1:
        text.erase(at, 1 + random() % 4);
        break;
      case 2:
        text.insert(at, 1, static_cast<char>(random() % 256));
        break;
      case 3:
        text.insert(at, other, from, random() % 64);
        break;
      default:
        text = text.substr(0, at) + other.substr(from);
    }
  }
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  std::vector<std::string> corpus(TestFixture().signed_tokens.begin(), TestFixture().signed_tokens.end());
  corpus.push_back(TestFixture().key_set);
  std::vector<std::filesystem::path> files;
  for (const auto& entry : std::filesystem::directory_iterator(argc > 1 ? argv[1] : ".")) {
    files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  for (const auto& file : files) {
    std::ifstream in(file, std::ios::binary);
    corpus.emplace_back(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
  }
  auto run_input = [](const std::string& text) {
    LLVMFuzzerTestOneInput(reinterpret_cast<const unsigned char*>(text.data()), text.size());
  };
  for (const std::string& text : corpus) run_input(text);
  std::mt19937_64 random(1);
  for (int i = 0; i < kMutations; ++i) run_input(Mutate(corpus[random() % corpus.size()], corpus, random));
  std::printf("%zu inputs of the corpus and %d mutations of them\n", corpus.size(), kMutations);
  return files.empty() ? 1 : 0;
}
#endif
