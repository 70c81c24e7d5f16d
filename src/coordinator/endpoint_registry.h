// The endpoint list as last notified: the id and address of each endpoint, and when its draining or removal
// was notified. An endpoint at whose address another one has started later counts as removed, also where the
// list still names it. Ignores outdated versions. Does not fetch lists or judge the health of endpoints.
// Thread-safe.
#ifndef LIFTRUDDER_COORDINATOR_ENDPOINT_REGISTRY_H_
#define LIFTRUDDER_COORDINATOR_ENDPOINT_REGISTRY_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordinator/interfaces.h"

namespace liftrudder::coordinator {

struct EndpointEntry {
  std::string id;              // the name, unique in the list
  std::string addr;            // "host:port"
  routing::Endpoint endpoint;  // as the source describes it; the registry assigns its numeric id
};

// A list of endpoints, or a change to one, as notified by a source.
struct EndpointList {
  std::uint64_t version = 0;
  routing::EndpointListKind kind = routing::EndpointListKind::kFull;
  std::vector<EndpointEntry> entries;
};

class EndpointRegistry : public EndpointResolver {
 public:
  // Applies a list that was notified at `notified_us` and returns the event for the router, or nullopt when
  // the list is outdated. Any list but a delta removes the endpoints that it does not name.
  std::optional<routing::EndpointListUpdate> Apply(const EndpointList& list, Micros notified_us);
  EndpointAddress Find(const EndpointId& endpoint) const override;
  std::uint64_t Version() const;
  // The number of endpoints that are not removed, including draining ones.
  int ListedEndpoints() const;

  // Records that the source was asked and has no newer list.
  void MarkUpToDate();
  // Waits up to `timeout_us` for a list other than a cached one, or for MarkUpToDate. Returns whether either
  // has happened.
  bool WaitUntilUpToDate(Micros timeout_us) const;

 private:
  struct ListedEndpoint {
    EndpointAddress address;
    routing::Endpoint endpoint;
  };

  // The methods below require the lock.
  bool IsOutdated(const EndpointList& list) const;
  EndpointId FindOrAssignId(const std::string& name);
  // Updates the address of an endpoint. Returns the endpoint with the id that the router knows it by.
  routing::Endpoint ApplyEntry(const EndpointEntry& entry, Micros notified_us);
  void RemoveUnlisted(const std::set<EndpointId>& listed, Micros notified_us);
  // Removes the endpoints at whose address another one has started later, also from `update`, which names the
  // listed endpoints of this list.
  void RemoveReplaced(routing::EndpointListUpdate& update, Micros notified_us);
  void ForgetRemoved(Micros now_us);

  mutable std::mutex mutex_;
  mutable std::condition_variable up_to_date_changed_;

  // Guarded by mutex_.
  bool has_list_ = false;
  bool up_to_date_ = false;
  std::uint64_t version_ = 0;
  std::map<std::string, EndpointId> ids_;
  std::map<EndpointId, ListedEndpoint> endpoints_;
  std::map<EndpointId, Micros> removed_us_;  // when removed; kept in endpoints_ until forgotten
  std::uint32_t ids_assigned_ = 0;           // ids are never reused
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_ENDPOINT_REGISTRY_H_
