// Verifies callers' tokens against the current KeySet, with a bounded cache of tokens that were verified, so
// that a token seen before costs one hash. Keys and time are arguments. Any thread; the lock is held for map
// look-ups only, never while a signature is verified.
//
// A cached token counts only as long as the very key that signed it still does, so withdrawing a key takes
// effect for cached tokens from the moment the new set is in place.
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

  // The set replaces the current one for all calls from now on. On an error nothing changes.
  std::optional<ReadError> ReplaceKeys(std::shared_ptr<const KeySet> keys);
  std::shared_ptr<const KeySet> keys() const;

  tl::expected<VerifiedToken, TokenError> Verify(std::string_view token, Micros now_us);

  std::size_t CachedTokens() const;

 private:
  using Digest = std::array<unsigned char, 32>;  // SHA-256 of a token: the cache holds no secret
  struct CacheEntry {
    VerifiedToken token;
    std::list<Digest>::iterator age;
  };

  // These are called with mutex_ held.
  // Nothing: not in the cache, or signed by a key that is not in the set any more.
  std::optional<tl::expected<VerifiedToken, TokenError>> FindCached(const Digest& digest, Micros now_us);
  void Cache(const Digest& digest, const VerifiedToken& token);

  const TokenRequirements requirements_;
  const std::size_t max_cached_tokens_;

  mutable std::mutex mutex_;  // guards all that follows
  std::shared_ptr<const KeySet> keys_;
  KeyIdRegistry known_kids_;
  std::map<Digest, CacheEntry> cache_;
  std::list<Digest> by_age_;  // least recently used first
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_TOKEN_VERIFIER_H_
