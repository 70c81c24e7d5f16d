#include "identity/token_verifier.h"

#include <openssl/sha.h>

namespace liftrudder::identity {

TokenVerifier::TokenVerifier(Rules rules, std::size_t most_cached)
    : rules_(std::move(rules)), most_cached_(most_cached), keys_(std::make_shared<const KeySet>()) {}

std::optional<std::string> TokenVerifier::Replace(std::shared_ptr<const KeySet> keys) {
  std::lock_guard lock(mutex_);
  if (auto wrong = known_.Take(*keys)) return wrong;
  keys_ = std::move(keys);
  // What no key of the new set can vouch for is not kept either.
  for (auto one = cache_.begin(); one != cache_.end();) {
    const Key* key = keys_->Find(one->second.caller.kid);
    bool withdrawn = key == nullptr || key->state == KeyState::kWithdrawn;
    if (withdrawn) by_age_.erase(one->second.age);
    one = withdrawn ? cache_.erase(one) : std::next(one);
  }
  return std::nullopt;
}

std::shared_ptr<const KeySet> TokenVerifier::keys() const {
  std::lock_guard lock(mutex_);
  return keys_;
}

std::size_t TokenVerifier::Cached() const {
  std::lock_guard lock(mutex_);
  return cache_.size();
}

std::variant<VerifiedToken, Denial> TokenVerifier::Admit(std::string_view token, Micros now_us) {
  if (token.size() > kMostToken) return Denial::kTooLong;
  Digest digest;
  ::SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest.data());
  std::shared_ptr<const KeySet> keys;
  {
    std::lock_guard lock(mutex_);
    keys = keys_;
    auto found = cache_.find(digest);
    if (found != cache_.end()) {
      const VerifiedToken& caller = found->second.caller;
      const Key* key = keys_->Find(caller.kid);
      Denial reason = MaySign(key, now_us);
      if (reason != Denial::kNone) return reason;
      if (now_us >= caller.until_us) return Denial::kExpired;
      // A clock that stepped back.
      if (now_us < caller.from_us) return Denial::kNotYet;
      if (key->thumbprint == caller.key) {
        by_age_.splice(by_age_.end(), by_age_, found->second.age);
        return caller;
      }
    }
  }
  auto out = Verify(token, *keys, rules_, now_us);
  if (const VerifiedToken* caller = std::get_if<VerifiedToken>(&out)) {
    std::lock_guard lock(mutex_);
    // Guards against a withdrawal that came while the signature was checked: held against the newest set once
    // more.
    const Key* key = keys_->Find(caller->kid);
    if (Denial reason = MaySign(key, now_us); reason != Denial::kNone) return reason;
    if (key->thumbprint != caller->key) return Denial::kUnknownKey;
    Remember(digest, *caller);
  }
  return out;
}

void TokenVerifier::Remember(const Digest& digest, const VerifiedToken& caller) {
  if (most_cached_ == 0 || cache_.contains(digest)) return;
  while (cache_.size() >= most_cached_) {
    cache_.erase(by_age_.front());
    by_age_.pop_front();
  }
  by_age_.push_back(digest);
  cache_.emplace(digest, Entry{caller, std::prev(by_age_.end())});
}

}  // namespace liftrudder::identity
