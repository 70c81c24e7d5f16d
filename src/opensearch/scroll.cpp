#include "opensearch/scroll.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace liftrudder::opensearch {
namespace {

// An id is the scroll's key, a dash and the number of a page.
std::string KeyOf(const std::string& id) { return id.substr(0, id.rfind('-')); }

std::optional<std::uint64_t> PageNumberOf(const std::string& id) {
  auto dash = id.rfind('-');
  std::uint64_t page = 0;
  if (dash == std::string::npos ||
      std::from_chars(id.data() + dash + 1, id.data() + id.size(), page).ptr != id.data() + id.size()) {
    return std::nullopt;
  }
  return page;
}

}  // namespace

void Scrolls::Expire() {
  coordinator::Micros now = clock_.Now();
  std::erase_if(entries_, [now](const auto& item) { return item.second.expires_us <= now; });
}

std::optional<std::string> Scrolls::Open(Cursor next) {
  std::lock_guard lock(mutex_);
  Expire();
  auto open_count =
      std::ranges::count_if(entries_, [&](const auto& item) { return item.second.owner == next.owner; });
  if (entries_.size() >= options_.max_scrolls || static_cast<std::size_t>(open_count) >= max_per_owner_) {
    return std::nullopt;
  }
  // The counter is hashed so that an id does not reveal how many scrolls have been opened.
  ++opened_;
  XXH128_hash_t hash = XXH3_128bits_withSeed(&opened_, sizeof opened_, seed_);
  std::string key = fmt::format("{:016x}{:016x}", hash.high64, hash.low64);
  Entry& entry = entries_[key];
  entry.owner = next.owner;
  entry.keep_alive_us = next.search.keep_alive_us;
  entry.expires_us = clock_.Now() + entry.keep_alive_us;
  entry.pages[1] = std::move(next);
  return key + "-1";
}

Scrolls::Entries::iterator Scrolls::FindOwned(const std::string& id, const std::string& owner) {
  auto entry = entries_.find(KeyOf(id));
  return entry != entries_.end() && entry->second.owner == owner ? entry : entries_.end();
}

std::optional<Cursor> Scrolls::Find(const std::string& id, const std::string& owner,
                                    coordinator::Micros keep_alive_us) {
  std::lock_guard lock(mutex_);
  Expire();
  auto entry = FindOwned(id, owner);
  auto page = PageNumberOf(id);
  if (entry == entries_.end() || !page) return std::nullopt;
  if (keep_alive_us > 0) entry->second.keep_alive_us = std::min(keep_alive_us, options_.max_keep_alive_us);
  entry->second.expires_us = clock_.Now() + entry->second.keep_alive_us;
  auto found = entry->second.pages.find(*page);
  if (found == entry->second.pages.end()) return std::nullopt;
  return found->second;
}

std::optional<std::string> Scrolls::Advance(const std::string& id, Cursor next) {
  std::lock_guard lock(mutex_);
  auto entry = FindOwned(id, next.owner);
  auto page = PageNumberOf(id);
  if (entry == entries_.end() || !page) return std::nullopt;
  auto& pages = entry->second.pages;
  pages[*page + 1] = std::move(next);
  while (pages.begin()->first < *page) pages.erase(pages.begin());
  return fmt::format("{}-{}", entry->first, *page + 1);
}

bool Scrolls::Drop(const std::string& id, const std::string& owner) {
  std::lock_guard lock(mutex_);
  auto entry = FindOwned(id, owner);
  if (entry == entries_.end()) return false;
  entries_.erase(entry);
  return true;
}

std::size_t Scrolls::DropAll(const std::string& owner) {
  std::lock_guard lock(mutex_);
  return std::erase_if(entries_, [&owner](const auto& item) { return item.second.owner == owner; });
}

}  // namespace liftrudder::opensearch
