// Follows the endpoint list of the platform's discovery: keeps one watch open, applies its lists in order,
// and posts the updates to the coordinator, which decides about endpoints. Runs on a thread of its own.
#ifndef LIFTRUDDER_PLATFORM_DISCOVERY_H_
#define LIFTRUDDER_PLATFORM_DISCOVERY_H_

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>
#include <string_view>

#include "config/config.h"
#include "coordinator/coordinator.h"
#include "coordinator/endpoint_registry.h"
#include "limits/backoff.h"
#include "limits/watch_timeouts.h"
#include "net/socket.h"

namespace liftrudder::platform {

class DiscoveryWatch {
 public:
  // Starts watching at config.discovery_address. The arguments outlive the watch.
  DiscoveryWatch(const config::Config& config, coordinator::EndpointRegistry& endpoint_registry,
                 coordinator::Coordinator& coordinator, const coordinator::Clock& clock);
  ~DiscoveryWatch();
  DiscoveryWatch(const DiscoveryWatch&) = delete;
  DiscoveryWatch& operator=(const DiscoveryWatch&) = delete;

  // Reopens the watch at `address`. The list and its version are kept; the new watch asks for later versions.
  // Any thread.
  void SetAddress(const std::string& address);

 private:
  struct Stream;
  enum class StreamState { kOpen, kEnded };

  // All of these run on the watch's thread. Watch and the functions that it calls throw when the watch fails:
  // WatchError, or config::EndpointListError for a list that cannot be parsed. Watch returns when the
  // connection ends, the address changes or the watch stops.
  void Loop();
  void Watch(const std::string& address);
  net::Fd OpenWatch(const std::string& address);
  StreamState ReadStream(const std::string& address, Stream& stream);
  StreamState ProcessReceived(const std::string& address, Stream& stream);
  void RecordActivity(const std::string& address, Stream& stream);
  void ApplyList(std::string_view text);
  // Waits for `span_us`. Ends early when the watch stops, or when its address changes, since the backoff
  // applies only to the old address.
  void Pause(coordinator::Micros span_us, const std::string& address);
  std::string Address() const;

  const config::Config& config_;
  coordinator::EndpointRegistry& endpoint_registry_;
  coordinator::Coordinator& coordinator_;
  const coordinator::Clock& clock_;
  std::atomic<bool> stopping_{false};
  const limits::WatchTimeouts timeouts_;
  limits::Backoff backoff_;  // used only by the thread
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::string address_;  // guarded by mutex_
  net::Thread thread_;
};

}  // namespace liftrudder::platform

#endif  // LIFTRUDDER_PLATFORM_DISCOVERY_H_
