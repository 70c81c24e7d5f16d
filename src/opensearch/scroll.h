// Deep paging: cursors that hold a place in the order, never an endpoint. Bounded in number, and they expire.
// Any thread.
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
  Search search;  // its search_after is where the next page begins
  bool ended = false;
  std::string owner;  // a tenant; empty where callers are not told apart. To others its ids name nothing.
  std::shared_ptr<const identity::Permissions> permissions;  // it was begun with
};

class Scrolls {
 public:
  // `max_per_owner`: so that what one owner has open tells the others nothing. All must outlive it.
  Scrolls(const Options& options, const coordinator::Clock& clock, std::uint64_t seed,
          std::size_t max_per_owner)
      : options_(options), clock_(clock), seed_(seed), max_per_owner_(max_per_owner) {}

  // The id under which the first page was given; none when all cursors, or the owner's share, are taken.
  std::optional<std::string> Open(Cursor next);
  // Where the page named by this id begins. An id stays good until the page after it has been given, so a
  // client that missed an answer may ask again and neither loses nor doubles a hit.
  std::optional<Cursor> Find(const std::string& id, const std::string& owner,
                             coordinator::Micros keep_alive_us);
  // A page was given: the id for the next.
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
  Entries entries_;  // by an id without its page; guarded by mutex_, as is the next
  std::uint64_t opened_ = 0;
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_SCROLL_H_
