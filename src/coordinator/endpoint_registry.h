// The endpoint list as last notified: the id and address of each endpoint, and since when it must get nothing
// new. Keeps versions in order; does not fetch lists and decides nothing about healthy endpoints.
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
  std::string id;              // its name, unique in the list
  std::string addr;            // "host:port"
  routing::Endpoint endpoint;  // as the source describes it; its numeric id is assigned by the registry
};

// A list, or a change of one, as a source of endpoints notifies it.
struct EndpointList {
  std::uint64_t version = 0;
  routing::EndpointListKind kind = routing::EndpointListKind::kFull;
  std::vector<EndpointEntry> entries;
};

class EndpointRegistry : public EndpointResolver {
 public:
  // Applies a list that was notified at `notified_us` and returns the event for the router; nothing when the
  // list is older than what is known. A full list removes the endpoints that it does not name.
  std::optional<routing::EndpointListUpdate> Apply(const EndpointList& list, Micros notified_us);
  EndpointAddress Find(const EndpointId& endpoint) const override;
  std::uint64_t Version() const;
  // The number of endpoints that are not removed, draining ones included.
  int ListedEndpoints() const;

  // The source has been polled and has no newer list.
  void MarkUpToDate();
  // Waits until a list other than a cached one has come, or MarkUpToDate was called, but at most
  // `timeout_us`. Returns whether that happened.
  bool WaitUntilUpToDate(Micros timeout_us) const;

 private:
  // The methods below require the lock.
  bool IsOutdated(const EndpointList& list) const;
  EndpointId IdOf(const std::string& name);
  // Returns the endpoint as the router is to know it.
  routing::Endpoint ApplyEntry(const EndpointEntry& entry, Micros notified_us);
  void RemoveUnlisted(const std::set<EndpointId>& listed, Micros notified_us);
  void ForgetRemoved(Micros now_us);

  mutable std::mutex mutex_;
  mutable std::condition_variable up_to_date_changed_;

  // Guarded by mutex_.
  bool has_list_ = false;
  bool up_to_date_ = false;
  std::uint64_t version_ = 0;
  std::map<std::string, EndpointId> ids_;
  std::map<EndpointId, EndpointAddress> endpoints_;
  std::map<EndpointId, Micros> removed_us_;  // when removed; in endpoints_ until they are forgotten
  std::uint32_t ids_assigned_ = 0;           // no id is assigned twice
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_ENDPOINT_REGISTRY_H_
