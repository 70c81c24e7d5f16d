#include "identity/keys.h"

#include <fmt/format.h>

#include <utility>

#include "identity/key_parser.h"
#include "identity/strict_json.h"
#include "identity/wire_names.h"

namespace liftrudder::identity {
namespace {

using Json = nlohmann::json;

ReadError KeySetError(std::string problem) { return {"key set", std::move(problem)}; }

}  // namespace

std::string_view Name(KeyState state) {
  switch (state) {
    case KeyState::kAnnounced:
      return "announced";
    case KeyState::kActive:
      return "active";
    case KeyState::kRetiring:
      return "retiring";
    case KeyState::kWithdrawn:
      return "withdrawn";
  }
  return "unknown";
}

tl::expected<std::shared_ptr<const KeySet>, ReadError> KeySet::Parse(std::string_view text) {
  auto json = ParseStrictJson(text, kMaxKeySetBytes);
  if (!json) return tl::unexpected(KeySetError(json.error().problem));
  auto list = json->is_object() ? json->find(wire_names::kKeys) : json->end();
  if (!json->is_object() || list == json->end() || !list->is_array()) {
    return tl::unexpected(KeySetError("no list 'keys'"));
  }
  if (list->size() > kMaxKeys) return tl::unexpected(KeySetError(fmt::format("more than {} keys", kMaxKeys)));
  auto set = std::make_shared<KeySet>();
  std::size_t index = 0;
  for (const Json& object : *list) {
    auto key = ParseKey(object);
    if (!key) {
      std::string kid = key.error().kid.empty() ? "" : fmt::format(" ('{}')", key.error().kid);
      return tl::unexpected(KeySetError(fmt::format("key {}{} {}", index, kid, key.error().problem)));
    }
    if (auto error = set->Add(std::move(*key))) return tl::unexpected(std::move(*error));
    ++index;
  }
  return set;
}

std::optional<ReadError> KeySet::Add(Key key) {
  for (const auto& [kid, other] : keys_) {
    if (other.thumbprint == key.thumbprint) {
      return KeySetError(fmt::format("keys '{}' and '{}' are the same key", kid, key.kid));
    }
  }
  std::string kid = key.kid;
  bool is_new = keys_.emplace(kid, std::move(key)).second;
  if (!is_new) return KeySetError(fmt::format("the kid '{}' is there twice", kid));
  return std::nullopt;
}

const Key* KeySet::Find(std::string_view kid) const {
  auto found = keys_.find(kid);
  return found == keys_.end() ? nullptr : &found->second;
}

std::vector<std::string> Differences(const KeySet& before, const KeySet& after) {
  std::vector<std::string> lines;
  for (const auto& [kid, key] : after.keys()) {
    const Key* old = before.Find(kid);
    if (old == nullptr) {
      lines.push_back(fmt::format("key '{}' is new: {}", kid, Name(key.state)));
    } else if (old->state != key.state || old->retires_at_us != key.retires_at_us) {
      lines.push_back(fmt::format("key '{}' was {}, is {}", kid, Name(old->state), Name(key.state)));
    }
  }
  for (const auto& [kid, key] : before.keys()) {
    if (after.Find(kid) == nullptr) lines.push_back(fmt::format("key '{}' is gone, which withdraws it", kid));
  }
  return lines;
}

std::string Describe(const KeySet& keys) {
  std::string text;
  std::size_t named = 0;
  std::size_t unnamed = 0;
  for (const auto& [kid, key] : keys.keys()) {
    if (key.state == KeyState::kWithdrawn) continue;
    if (named == kMaxDescribedKeys) {
      ++unnamed;
      continue;
    }
    text += fmt::format("{}'{}' {}", named == 0 ? "" : ", ", kid, Name(key.state));
    ++named;
  }
  if (unnamed > 0) text += fmt::format(" and {} more", unnamed);
  return text.empty() ? "none" : text;
}

std::optional<ReadError> KeyIdRegistry::Register(const KeySet& keys) {
  std::size_t new_kids = 0;
  for (const auto& [kid, key] : keys.keys()) {
    auto known = thumbprints_.find(kid);
    if (known == thumbprints_.end()) {
      ++new_kids;
    } else if (known->second != key.thumbprint) {
      return KeySetError(
          fmt::format("the kid '{}' names another key than before; a new key needs a new kid", kid));
    }
  }
  if (thumbprints_.size() + new_kids > kMaxKnownKeyIds) {
    return KeySetError(
        fmt::format("more than {} kids since the start; only a restart forgets them", kMaxKnownKeyIds));
  }
  for (const auto& [kid, key] : keys.keys()) thumbprints_.emplace(kid, key.thumbprint);
  return std::nullopt;
}

}  // namespace liftrudder::identity
