#include "opensearch/scroll.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace liftrudder::opensearch {
namespace {

std::string Stem(const std::string& id) { return id.substr(0, id.rfind('-')); }

std::optional<std::uint64_t> Page(const std::string& id) {
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
  core::Micros now = clock_.Now();
  std::erase_if(entries_, [now](const auto& one) { return one.second.expires_us <= now; });
}

std::optional<std::string> Scrolls::Open(Cursor next) {
  std::lock_guard lock(mutex_);
  Expire();
  if (entries_.size() >= options_.max_scrolls) return std::nullopt;
  std::string stem = fmt::format("{:016x}-{}", seed_, ++opened_);
  Entry& entry = entries_[stem];
  entry.keep_alive_us = next.search.keep_alive_us;
  entry.expires_us = clock_.Now() + entry.keep_alive_us;
  entry.pages[1] = std::move(next);
  return stem + "-1";
}

std::optional<Cursor> Scrolls::Find(const std::string& id, core::Micros keep_alive_us) {
  std::lock_guard lock(mutex_);
  Expire();
  auto entry = entries_.find(Stem(id));
  auto page = Page(id);
  if (entry == entries_.end() || !page) return std::nullopt;
  if (keep_alive_us > 0) entry->second.keep_alive_us = std::min(keep_alive_us, options_.max_keep_alive_us);
  entry->second.expires_us = clock_.Now() + entry->second.keep_alive_us;
  auto found = entry->second.pages.find(*page);
  if (found == entry->second.pages.end()) return std::nullopt;
  return found->second;
}

std::optional<std::string> Scrolls::Advance(const std::string& id, Cursor next) {
  std::lock_guard lock(mutex_);
  auto entry = entries_.find(Stem(id));
  auto page = Page(id);
  if (entry == entries_.end() || !page) return std::nullopt;
  auto& pages = entry->second.pages;
  pages[*page + 1] = std::move(next);
  while (pages.begin()->first < *page) pages.erase(pages.begin());
  return fmt::format("{}-{}", entry->first, *page + 1);
}

bool Scrolls::Drop(const std::string& id) {
  std::lock_guard lock(mutex_);
  return entries_.erase(Stem(id)) > 0;
}

std::size_t Scrolls::DropAll() {
  std::lock_guard lock(mutex_);
  return std::exchange(entries_, {}).size();
}

}  // namespace liftrudder::opensearch
