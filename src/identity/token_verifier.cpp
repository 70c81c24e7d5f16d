#include "identity/token_verifier.h"

#include <openssl/sha.h>

#include <iterator>
#include <utility>

namespace liftrudder::identity {

TokenVerifier::TokenVerifier(TokenRequirements requirements, std::size_t max_cached_tokens)
    : requirements_(std::move(requirements)),
      max_cached_tokens_(max_cached_tokens),
      keys_(std::make_shared<const KeySet>()) {}

std::optional<ReadError> TokenVerifier::ReplaceKeys(std::shared_ptr<const KeySet> keys) {
  std::lock_guard lock(mutex_);
  if (auto error = known_kids_.Register(*keys)) return error;
  keys_ = std::move(keys);
  for (auto entry = cache_.begin(); entry != cache_.end();) {
    const Key* key = keys_->Find(entry->second.token.kid);
    bool withdrawn = key == nullptr || key->state == KeyState::kWithdrawn;
    if (withdrawn) by_last_use_.erase(entry->second.last_use);
    entry = withdrawn ? cache_.erase(entry) : std::next(entry);
  }
  return std::nullopt;
}

std::shared_ptr<const KeySet> TokenVerifier::keys() const {
  std::lock_guard lock(mutex_);
  return keys_;
}

std::size_t TokenVerifier::CachedTokens() const {
  std::lock_guard lock(mutex_);
  return cache_.size();
}

tl::expected<VerifiedToken, TokenError> TokenVerifier::Verify(std::string_view token, Micros now_us) {
  if (token.size() > kMaxTokenBytes) return tl::unexpected(TokenError::kTooLong);
  Digest digest;
  ::SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest.data());
  std::shared_ptr<const KeySet> keys;
  {
    std::lock_guard lock(mutex_);
    if (auto cached = FindCached(digest, now_us)) return *cached;
    keys = keys_;
  }
  auto verified = VerifyToken(token, *keys, requirements_, now_us);
  if (!verified) return verified;
  std::lock_guard lock(mutex_);
  // The key may have been withdrawn while its signature was being verified.
  const Key* key = keys_->Find(verified->kid);
  if (auto error = CheckKeyState(key, now_us)) return tl::unexpected(*error);
  if (key->thumbprint != verified->key) return tl::unexpected(TokenError::kUnknownKey);
  AddToCache(digest, *verified);
  return verified;
}

std::optional<tl::expected<VerifiedToken, TokenError>> TokenVerifier::FindCached(const Digest& digest,
                                                                                 Micros now_us) {
  auto found = cache_.find(digest);
  if (found == cache_.end()) return std::nullopt;
  const VerifiedToken& token = found->second.token;
  const Key* key = keys_->Find(token.kid);
  if (auto error = CheckKeyState(key, now_us)) return tl::unexpected(*error);
  if (now_us >= token.valid_until_us) return tl::unexpected(TokenError::kExpired);
  // The clock may have been set back.
  if (now_us < token.valid_from_us) return tl::unexpected(TokenError::kNotYet);
  if (key->thumbprint != token.key) return std::nullopt;
  by_last_use_.splice(by_last_use_.end(), by_last_use_, found->second.last_use);
  return token;
}

void TokenVerifier::AddToCache(const Digest& digest, const VerifiedToken& token) {
  if (max_cached_tokens_ == 0 || cache_.contains(digest)) return;
  while (cache_.size() >= max_cached_tokens_) {
    cache_.erase(by_last_use_.front());
    by_last_use_.pop_front();
  }
  by_last_use_.push_back(digest);
  cache_.emplace(digest, CacheEntry{token, std::prev(by_last_use_.end())});
}

}  // namespace liftrudder::identity
