// The parsers of tokens, key sets and tenants' permissions on arbitrary bytes. With clang this is a libFuzzer
// target
// (-DLIFTRUDDER_FUZZ=ON); built as an ordinary program it plays the corpus and a fixed number of inputs made
// from it, the same each time. No accepted token but those signed here, and no key set that reads differently
// twice.
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

void Need(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "does not hold: %s\n", what);
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
    signed_here.insert(signer.Token("a", claims));
    claims["aud"] = {"other", "gatherer"};
    signed_here.insert(signer.Token("a", claims));
    key_set = set.dump();
  }
  std::shared_ptr<const KeySet> keys;
  std::set<std::string, std::less<>> signed_here;
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
  Need(accepted == TestFixture().signed_here.contains(text), "exactly the tokens signed here are accepted");
  auto set = KeySet::Parse(text);
  auto again = KeySet::Parse(text);
  Need(set.has_value() == again.has_value(), "a key set parses the same twice");
  if (set) {
    Need((*set)->keys().size() <= kMaxKeys, "keys are bounded");
    for (const auto& [kid, key] : (*set)->keys()) {
      Need(kid == key.kid && !kid.empty() && kid.size() <= kMaxKeyIdBytes, "a key has its kid");
      Need(key.public_key != nullptr, "an accepted key can verify");
    }
    Need(Differences(**set, **again).empty(), "a key set does not differ from itself");
  } else {
    Need(!set.error().Message().empty(), "a rejected key set says why");
  }
  auto table = PermissionTable::Parse(text);
  if (!table) Need(!table.error().Message().empty(), "a rejected permission table says why");
  return 0;
}

#ifndef LIFTRUDDER_LIBFUZZER
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <vector>

namespace {

constexpr int kInputs = 30'000;  // made from the corpus; some three seconds

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
  std::vector<std::string> corpus(TestFixture().signed_here.begin(), TestFixture().signed_here.end());
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
  auto play = [](const std::string& text) {
    LLVMFuzzerTestOneInput(reinterpret_cast<const unsigned char*>(text.data()), text.size());
  };
  for (const std::string& text : corpus) play(text);
  std::mt19937_64 random(1);
  for (int i = 0; i < kInputs; ++i) play(Mutate(corpus[random() % corpus.size()], corpus, random));
  std::printf("%zu kept inputs and %d made from them\n", corpus.size(), kInputs);
  return files.empty() ? 1 : 0;
}
#endif
