// The holder list as last told: names to ids, addresses, and until when each may be sent to.
#ifndef LIFTRUDDER_COORDINATOR_ENDPOINT_REGISTRY_H_
#define LIFTRUDDER_COORDINATOR_ENDPOINT_REGISTRY_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordinator/interfaces.h"

namespace liftrudder::coordinator {

struct EndpointEntry {
  std::string id;
  std::string addr;
  routing::Endpoint told;  // its id is given by the directory
};

struct EndpointList {
  std::uint64_t version = 0;
  routing::EndpointListKind kind = routing::EndpointListKind::kFull;
  std::vector<EndpointEntry> entries;
};

class EndpointRegistry : public EndpointResolver {
 public:
  // What the module is to be told; nothing when the list is older than what is known.
  std::optional<routing::EndpointListUpdate> Apply(const EndpointList& list, Micros told_us);
  EndpointAddress Find(const EndpointId& endpoint) const override;
  std::uint64_t Version() const;
  // Holders that are not gone, those that drain included.
  int Listed() const;
  // Who would tell of a newer list has been asked and had none.
  void NothingNewer();
  // Until a list has come since the start, beside the one that was known before it, or was not needed; waits
  // at most so long.
  bool WaitHeard(Micros wait_us) const;

 private:
  static void StopSending(EndpointAddress& endpoint, Micros told_us);
  void Forget(Micros now);

  mutable std::mutex mutex_;
  mutable std::condition_variable told_;
  bool any_ = false, heard_ = false;
  std::uint64_t version_ = 0;
  std::map<std::string, EndpointId> ids_;
  std::map<EndpointId, EndpointAddress> endpoints_;
  std::map<EndpointId, Micros> disconnected_;  // since when; they are forgotten in time
  std::uint32_t given_ = 0;            // ids so far: none is given twice
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_ENDPOINT_REGISTRY_H_
