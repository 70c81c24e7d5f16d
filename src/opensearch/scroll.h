// Scrolls, for deep paging. A cursor holds a position in the sort order and is tied to no endpoint. Scrolls
// are limited in number and expire. Any thread.
#ifndef LIFTRUDDER_OPENSEARCH_SCROLL_H_
#define LIFTRUDDER_OPENSEARCH_SCROLL_H_

#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "identity/permissions.h"
#include "opensearch/search.h"

namespace liftrudder::opensearch {

struct Cursor {
  std::string index;
  Search search;       // the next page begins after its search_after
  bool ended = false;  // the page before it had no hits
  std::string owner;   // its tenant; empty without authentication. To other tenants its ids are unknown.
  std::shared_ptr<const identity::Permissions> permissions;  // of the request that opened it
};

class Scrolls {
 public:
  // `max_per_owner`: keeps an owner from inferring from rejections how many scrolls others have open.
  // `options` and `clock` must outlive it.
  Scrolls(const Options& options, const coordinator::Clock& clock, std::uint64_t seed,
          std::size_t max_per_owner)
      : options_(options), clock_(clock), seed_(seed), max_per_owner_(max_per_owner) {}

  // Opens a scroll whose next page is `next`, and returns the id of that page; none when the limit on all
  // scrolls or on the owner's is reached.
  std::optional<std::string> Open(Cursor next);
  // Returns the cursor of the page with this id, and extends the scroll's life. An id stays valid until the
  // page after it has been returned, so a client that missed a response can repeat its request without losing
  // or duplicating a hit.
  std::optional<Cursor> Find(const std::string& id, const std::string& owner,
                             coordinator::Micros keep_alive_us);
  // Records that the page with this id was returned, and returns the id of the next page, which begins at
  // `next`. None when the scroll has ended.
  std::optional<std::string> Advance(const std::string& id, Cursor next);
  bool Drop(const std::string& id, const std::string& owner);
  std::size_t DropAll(const std::string& owner);

 private:
  struct Entry {
    std::map<std::uint64_t, Cursor> pages;  // the newest two
    coordinator::Micros keep_alive_us = 0;
    coordinator::Micros expires_us = 0;
    std::string owner;
  };
  using Entries = std::map<std::string, Entry>;
  Entries::iterator FindOwned(const std::string& id, const std::string& owner);
  void Expire();

  const Options& options_;
  const coordinator::Clock& clock_;
  const std::uint64_t seed_;
  const std::size_t max_per_owner_;
  std::mutex mutex_;
  Entries entries_;           // by scroll key; guarded by mutex_
  std::uint64_t opened_ = 0;  // scrolls opened so far; guarded by mutex_
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_SCROLL_H_
