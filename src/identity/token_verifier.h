// Verifies callers' tokens against the current KeySet, with a bounded cache of verified tokens, so that a
// token seen before costs one hash. Keys and time are arguments. Thread-safe; the lock is held for operations
// on maps only, never while a signature is verified.
//
// A cached token is accepted only while the key that signed it is, so withdrawing a key takes effect for
// cached tokens as soon as the new set is in place.
#ifndef LIFTRUDDER_IDENTITY_TOKEN_VERIFIER_H_
#define LIFTRUDDER_IDENTITY_TOKEN_VERIFIER_H_

#include <array>
#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string_view>
#include <tl/expected.hpp>

#include "identity/token.h"

namespace liftrudder::identity {

class TokenVerifier {
 public:
  TokenVerifier(TokenRequirements requirements, std::size_t max_cached_tokens);

  // Replaces the current set for all later calls. On an error nothing changes.
  std::optional<ReadError> ReplaceKeys(std::shared_ptr<const KeySet> keys);
  std::shared_ptr<const KeySet> keys() const;

  tl::expected<VerifiedToken, TokenError> Verify(std::string_view token, Micros now_us);

  std::size_t CachedTokens() const;

 private:
  using Digest = std::array<unsigned char, 32>;  // SHA-256 of a token, so that the cache holds no secret
  struct CacheEntry {
    VerifiedToken token;
    std::list<Digest>::iterator last_use;
  };

  // Both need mutex_ to be held.
  // Returns nothing if the token is not in the cache, or if its kid now names another key than the one that
  // signed it.
  std::optional<tl::expected<VerifiedToken, TokenError>> FindCached(const Digest& digest, Micros now_us);
  void AddToCache(const Digest& digest, const VerifiedToken& token);

  const TokenRequirements requirements_;
  const std::size_t max_cached_tokens_;

  mutable std::mutex mutex_;  // guards all members below
  std::shared_ptr<const KeySet> keys_;
  KeyIdRegistry known_kids_;
  std::map<Digest, CacheEntry> cache_;
  std::list<Digest> by_last_use_;  // least recently used first
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_TOKEN_VERIFIER_H_
