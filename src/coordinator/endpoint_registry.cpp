#include "coordinator/endpoint_registry.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <string_view>
#include <unordered_map>

#include "log/log.h"

namespace liftrudder::coordinator {
namespace {

// Longer than any query may take, so that no attempt is still in flight to a forgotten endpoint.
constexpr Micros kForgetRemovedAfterUs = 30'000'000;

// No attempt may start once draining or removal has been notified. The grace period in the settings cannot be
// used: it begins when the source learns of the change, and the delay from then to the notification is
// unknown. The first notification counts.
void StopSending(EndpointAddress& address, Micros notified_us) {
  if (address.drain_notified_us == 0) address.drain_notified_us = notified_us;
}

bool IsDelta(const EndpointList& list) { return list.kind == routing::EndpointListKind::kDelta; }

}  // namespace

std::optional<routing::EndpointListUpdate> EndpointRegistry::Apply(const EndpointList& list,
                                                                   Micros notified_us) {
  std::lock_guard lock(mutex_);
  if (list.kind != routing::EndpointListKind::kCached) {
    up_to_date_ = true;
    up_to_date_changed_.notify_all();
  }
  if (IsOutdated(list)) return std::nullopt;
  has_list_ = true;
  version_ = list.version;

  routing::EndpointListUpdate update;
  update.kind = list.kind;
  update.version = list.version;
  std::set<EndpointId> listed;
  for (const EndpointEntry& entry : list.entries) {
    update.endpoints.push_back(ApplyEntry(entry, notified_us));
    listed.insert(update.endpoints.back().id);
  }
  if (!IsDelta(list)) RemoveUnlisted(listed, notified_us);
  RemoveReplaced(update, notified_us);
  ForgetRemoved(notified_us);
  return update;
}

// An old list that was delayed on another path must not make a draining endpoint ready again. A list other
// than a delta is applied even if its version is already known: it may name endpoints that a delta did not.
bool EndpointRegistry::IsOutdated(const EndpointList& list) const {
  if (!has_list_) return false;
  return IsDelta(list) ? list.version <= version_ : list.version < version_;
}

EndpointId EndpointRegistry::FindOrAssignId(const std::string& name) {
  auto [position, inserted] = ids_.try_emplace(name);
  if (inserted) position->second = EndpointId{++ids_assigned_, 1};
  return position->second;
}

routing::Endpoint EndpointRegistry::ApplyEntry(const EndpointEntry& entry, Micros notified_us) {
  routing::Endpoint endpoint = entry.endpoint;
  endpoint.id = FindOrAssignId(entry.id);
  ListedEndpoint& listed = endpoints_[endpoint.id];
  listed.endpoint = endpoint;
  EndpointAddress& address = listed.address;
  address.id = entry.id;
  address.addr = entry.addr;
  address.started_us = endpoint.started_us;
  if (endpoint.availability == routing::Availability::kReady) {
    address.drain_notified_us = 0;
  } else {
    StopSending(address, notified_us);
  }
  if (endpoint.availability == routing::Availability::kRemoved) {
    removed_us_.try_emplace(endpoint.id, notified_us);
  } else {
    removed_us_.erase(endpoint.id);
  }
  return endpoint;
}

void EndpointRegistry::RemoveUnlisted(const std::set<EndpointId>& listed, Micros notified_us) {
  for (auto& [id, endpoint] : endpoints_) {
    if (listed.contains(id)) continue;
    StopSending(endpoint.address, notified_us);
    removed_us_.try_emplace(id, notified_us);
  }
}

void EndpointRegistry::RemoveReplaced(routing::EndpointListUpdate& update, Micros notified_us) {
  std::unordered_map<std::string_view, Micros> latest_start_us;  // by address
  for (const auto& [id, listed] : endpoints_) {
    if (removed_us_.contains(id)) continue;
    Micros& latest_us = latest_start_us[listed.address.addr];
    latest_us = std::max(latest_us, listed.endpoint.started_us);
  }
  for (auto& [id, listed] : endpoints_) {
    if (removed_us_.contains(id)) continue;
    if (listed.endpoint.started_us == latest_start_us[listed.address.addr]) continue;
    StopSending(listed.address, notified_us);
    removed_us_.try_emplace(id, notified_us);
    listed.endpoint.availability = routing::Availability::kRemoved;
    auto entry = std::ranges::find(update.endpoints, id, &routing::Endpoint::id);
    if (entry == update.endpoints.end()) {
      update.endpoints.push_back(listed.endpoint);
    } else {
      *entry = listed.endpoint;
    }
    log::Info("endpoint {} is taken for removed: another one has started at {} after it", listed.address.id,
              listed.address.addr);
  }
}

// Keeps the registry from growing with every replaced endpoint. Outdated lists are ignored, so only a newer
// list can name a forgotten endpoint again, which then counts as a new endpoint.
void EndpointRegistry::ForgetRemoved(Micros now_us) {
  for (auto removed = removed_us_.begin(); removed != removed_us_.end();) {
    const auto& [id, since_us] = *removed;
    if (now_us - since_us <= kForgetRemovedAfterUs) {
      ++removed;
      continue;
    }
    auto endpoint = endpoints_.find(id);
    ids_.erase(endpoint->second.address.id);
    endpoints_.erase(endpoint);
    removed = removed_us_.erase(removed);
  }
}

EndpointAddress EndpointRegistry::Find(const EndpointId& endpoint) const {
  std::lock_guard lock(mutex_);
  auto found = endpoints_.find(endpoint);
  return found == endpoints_.end() ? EndpointAddress{} : found->second.address;
}

void EndpointRegistry::MarkUpToDate() {
  std::lock_guard lock(mutex_);
  up_to_date_ = true;
  up_to_date_changed_.notify_all();
}

bool EndpointRegistry::WaitUntilUpToDate(Micros timeout_us) const {
  std::unique_lock lock(mutex_);
  return up_to_date_changed_.wait_for(lock, std::chrono::microseconds(timeout_us),
                                      [this] { return up_to_date_; });
}

int EndpointRegistry::ListedEndpoints() const {
  std::lock_guard lock(mutex_);
  return static_cast<int>(endpoints_.size() - removed_us_.size());
}

std::uint64_t EndpointRegistry::Version() const {
  std::lock_guard lock(mutex_);
  return version_;
}

}  // namespace liftrudder::coordinator
