// Tells callers apart: holds the current KeySet and a bounded cache of tokens that were verified, so that the
// ordinary request costs a hash. Decides who is let in; the key set is handed in, as is the time. Any thread;
// what waits, waits for a lock that is held for a map look-up only, never for a signature's check.
//
// A token is answered from the cache only as long as the very key that signed it may still vouch, so a
// withdrawal counts for seen tokens from the moment the new set is in place.
#ifndef LIFTRUDDER_IDENTITY_TOKEN_VERIFIER_H_
#define LIFTRUDDER_IDENTITY_TOKEN_VERIFIER_H_

#include <array>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "identity/token.h"

namespace liftrudder::identity {

class TokenVerifier {
 public:
  // `most_cached`: tokens whose verification is remembered.
  TokenVerifier(Rules rules, std::size_t most_cached);

  // The set takes the place of the one before, for all that come after; or nothing changes and it is said
  // why.
  std::optional<std::string> Replace(std::shared_ptr<const KeySet> keys);
  std::shared_ptr<const KeySet> keys() const;

  std::variant<VerifiedToken, Denial> Admit(std::string_view token, Micros now_us);

  std::size_t Cached() const;

 private:
  using Digest = std::array<unsigned char, 32>;  // SHA-256 of the token: the cache holds no secret
  struct Entry {
    VerifiedToken caller;
    std::list<Digest>::iterator age;
  };
  void Remember(const Digest& digest, const VerifiedToken& caller);

  const Rules rules_;
  const std::size_t most_cached_;
  mutable std::mutex mutex_;
  std::shared_ptr<const KeySet> keys_;
  KnownKids known_;
  std::map<Digest, Entry> cache_;
  std::list<Digest> by_age_;  // the longest unused first
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_TOKEN_VERIFIER_H_
