// The keys that sign callers' tokens: read from a JWK set (RFC 7517, RFC 8037), each in a state of its life.
// Decides which key may vouch for what at a moment that is handed in; does no I/O. A KeySet never changes
// once made and may be read by any thread.
#ifndef LIFTRUDDER_IDENTITY_KEYS_H_
#define LIFTRUDDER_IDENTITY_KEYS_H_

#include <openssl/types.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace liftrudder::identity {

using Micros = std::int64_t;

constexpr std::size_t kMostKeySetBytes = 256 * 1024;
constexpr std::size_t kMostKeys = 256;
constexpr std::size_t kMostKid = 128;
constexpr std::size_t kMostKnownKids = 4096;

enum class Algorithm { kEdDsa, kEs256 };  // RFC 8037 section 3.1 (Ed25519 alone), RFC 7518 section 3.4

// Announced: known, vouches for nothing yet. Active. Retiring: vouches until `until_us`, the stated overlap's
// end. Withdrawn: vouches for nothing, and its kid may not come back as another key.
enum class KeyState { kAnnounced, kActive, kRetiring, kWithdrawn };

// SHA-256 of a key's required members (RFC 7638): the key's identity, whatever its kid.
using Thumbprint = std::array<unsigned char, 32>;

struct Key {
  std::string kid;
  Algorithm algorithm = Algorithm::kEdDsa;
  KeyState state = KeyState::kActive;
  Micros until_us = 0;  // of a retiring one, Unix time
  Thumbprint thumbprint{};
  std::shared_ptr<EVP_PKEY> public_key;
};

class KeySet {
 public:
  // Members beside RFC 7517's: "state" (announced, active, retiring, withdrawn; active where absent) and, of
  // a retiring key, "until" (Unix seconds). The set, or what is wrong and with which key. Private members,
  // other kinds of key or use, points that are not on the curve, and a kid that is there twice are refused:
  // the whole set is.
  static std::variant<std::shared_ptr<const KeySet>, std::string> Read(std::string_view text);

  const Key* Find(std::string_view kid) const;
  const std::map<std::string, Key, std::less<>>& keys() const { return keys_; }

 private:
  std::map<std::string, Key, std::less<>> keys_;
};

// What differs, a line each, for the log and for `liftrudder keys`.
std::vector<std::string> Differences(const KeySet& before, const KeySet& after);

// The keys that kids have named so far, those that are gone from the set included: a kid names one key for as
// long as the program runs. Else tokens signed by the old one would be held against the new one, and an audit
// line with that kid would be true of two keys. Not safe for several threads.
class KnownKids {
 public:
  // Takes in a set's kids; or nothing changes, and it says which kid names another key now, or that
  // kMostKnownKids are known.
  std::optional<std::string> Take(const KeySet& keys);

 private:
  std::map<std::string, Thumbprint, std::less<>> named_;
};

std::string_view Name(KeyState state);

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_KEYS_H_
