// The public keys that verify callers' tokens: parsed from a JWK set (RFC 7517, RFC 8037), each in a state of
// its life cycle. Does no I/O and reads no clock. A KeySet is immutable and thread-safe.
#ifndef LIFTRUDDER_IDENTITY_KEYS_H_
#define LIFTRUDDER_IDENTITY_KEYS_H_

#include <openssl/types.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "identity/read_error.h"

namespace liftrudder::identity {

using Micros = std::int64_t;  // since the Unix epoch

constexpr std::size_t kMaxKeySetBytes = 256 * 1024;
constexpr std::size_t kMaxKeys = 256;  // of one set
constexpr std::size_t kMaxKeyIdBytes = 128;
constexpr std::size_t kMaxKnownKeyIds = 4096;

enum class Algorithm { kEdDsa, kEs256 };  // RFC 8037 section 3.1 (Ed25519 alone), RFC 7518 section 3.4

enum class KeyState {
  kAnnounced,  // its signatures are not accepted yet
  kActive,
  kRetiring,  // its signatures are accepted until `retires_at_us`
  kWithdrawn  // its signatures are rejected, and its kid must not name another key later
};

std::string_view Name(KeyState state);

// SHA-256 of a key's required members (RFC 7638): identifies a key independently of its kid.
using Thumbprint = std::array<unsigned char, 32>;

struct Key {
  std::string kid;
  Algorithm algorithm = Algorithm::kEdDsa;
  KeyState state = KeyState::kActive;
  Micros retires_at_us = 0;  // for a retiring key only
  Thumbprint thumbprint{};
  std::shared_ptr<EVP_PKEY> public_key;
};

class KeySet {
 public:
  // In addition to RFC 7517's members, a key may have "state" (active if absent) and, while retiring, "until"
  // (Unix seconds). A set with a private member, an unsupported type or use of a key, a P-256 point off its
  // curve, a duplicate key or a duplicate kid is rejected as a whole.
  static tl::expected<std::shared_ptr<const KeySet>, ReadError> Parse(std::string_view text);

  // Returns null if there is no such key.
  const Key* Find(std::string_view kid) const;
  const std::map<std::string, Key, std::less<>>& keys() const { return keys_; }

 private:
  std::optional<ReadError> Add(Key key);

  std::map<std::string, Key, std::less<>> keys_;
};

// Returns one line of text for each key that differs, for the log and the `keys` sub-command.
std::vector<std::string> Differences(const KeySet& before, const KeySet& after);

// The kids of all keys that are not withdrawn, each with its state, for the log. At most kMaxDescribedKeys
// are named; the rest are counted.
constexpr std::size_t kMaxDescribedKeys = 16;
std::string Describe(const KeySet& keys);

// Records which key each kid has named since the program started. A kid must never be reused for another key:
// tokens of the old key would be checked against the new one, and an audit line with that kid would be
// ambiguous. Not thread-safe.
class KeyIdRegistry {
 public:
  // Registers the kids of a set. On an error (a kid names another key than before, or more than
  // kMaxKnownKeyIds would be known) nothing changes.
  std::optional<ReadError> Register(const KeySet& keys);

 private:
  std::map<std::string, Thumbprint, std::less<>> thumbprints_;
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_KEYS_H_
