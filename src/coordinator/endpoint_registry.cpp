#include "coordinator/endpoint_registry.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace liftrudder::coordinator {
namespace {

constexpr Micros kForget = 30'000'000;  // longer than any query's budget

}  // namespace

// At once, not when the settings' time is over: that runs from when the change was told, and how much later
// it was heard here is not known; on a small share of a core, or while a watch was broken, that may be most
// of it. The module picks others from the same list; what still waits for a connection is not sent, and goes
// to them.
void EndpointRegistry::StopSending(EndpointAddress& endpoint, Micros told_us) {
  if (endpoint.drain_deadline_us == 0) endpoint.drain_deadline_us = told_us;
}

std::optional<routing::EndpointListUpdate> EndpointRegistry::Apply(const EndpointList& list, Micros told_us) {
  std::lock_guard lock(mutex_);
  if (list.kind != routing::EndpointListKind::kCached) heard_ = true, told_.notify_all();
  // A list that came by another way late must not bring a drained holder back.
  bool whole = list.kind != routing::EndpointListKind::kDelta;
  if (any_ && (whole ? list.version < version_ : list.version <= version_)) return std::nullopt;
  any_ = true;
  version_ = list.version;
  routing::EndpointListUpdate update;
  update.kind = list.kind;
  update.version = list.version;
  std::set<EndpointId> named;
  for (const EndpointEntry& entry : list.entries) {
    auto [place, fresh] = ids_.try_emplace(entry.id);
    if (fresh) place->second = EndpointId{++given_, 1};
    EndpointAddress& endpoint = endpoints_[place->second];
    endpoint.id = entry.id;
    endpoint.addr = entry.addr;
    if (entry.told.availability == routing::Availability::kReady) {
      endpoint.drain_deadline_us = 0;
    } else {
      StopSending(endpoint, told_us);
    }
    if (entry.told.availability != routing::Availability::kRemoved) {
      disconnected_.erase(place->second);
    } else {
      disconnected_.try_emplace(place->second, told_us);
    }
    named.insert(place->second);
    update.endpoints.push_back(entry.told);
    update.endpoints.back().id = place->second;
  }
  for (auto& [id, endpoint] : endpoints_) {
    if (!whole || named.contains(id)) continue;
    StopSending(endpoint, told_us);
    disconnected_.try_emplace(id, told_us);
  }
  Forget(told_us);
  return update;
}

// Guards a long day, in which holders are replaced for ever, against growing with them. Nothing is out any
// more at what was gone that long, older lists are ignored, and a newer one that names it again makes it a
// new holder.
void EndpointRegistry::Forget(Micros now) {
  for (auto one = disconnected_.begin(); one != disconnected_.end();) {
    auto next = std::next(one);
    if (now - one->second > kForget) {
      ids_.erase(endpoints_.at(one->first).id);
      endpoints_.erase(one->first);
      disconnected_.erase(one);
    }
    one = next;
  }
}

EndpointAddress EndpointRegistry::Find(const EndpointId& endpoint) const {
  std::lock_guard lock(mutex_);
  auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? EndpointAddress{} : found->second;
}

void EndpointRegistry::NothingNewer() {
  std::lock_guard lock(mutex_);
  heard_ = true;
  told_.notify_all();
}

bool EndpointRegistry::WaitHeard(Micros wait_us) const {
  std::unique_lock lock(mutex_);
  return told_.wait_for(lock, std::chrono::microseconds(wait_us), [this] { return heard_; });
}

int EndpointRegistry::Listed() const {
  std::lock_guard lock(mutex_);
  return static_cast<int>(endpoints_.size() - disconnected_.size());
}

std::uint64_t EndpointRegistry::Version() const {
  std::lock_guard lock(mutex_);
  return version_;
}

}  // namespace liftrudder::coordinator
