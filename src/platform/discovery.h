// The watch on the holder list: keeps one stream open, applies versions in order, tells the core.
#ifndef LIFTRUDDER_PLATFORM_DISCOVERY_H_
#define LIFTRUDDER_PLATFORM_DISCOVERY_H_

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>

#include "config/config.h"
#include "coordinator/coordinator.h"
#include "coordinator/endpoint_registry.h"
#include "limits/backoff.h"
#include "limits/watch_timeouts.h"
#include "net/socket.h"

namespace liftrudder::platform {

class DiscoveryWatch {
 public:
  DiscoveryWatch(const config::Config& config, coordinator::EndpointRegistry& endpoint_registry,
                 coordinator::Coordinator& coordinator, const coordinator::Clock& clock);
  ~DiscoveryWatch();

  // From now on it watches there; the list and its version stay, and the new watch asks for what came after.
  void Move(const std::string& address);

 private:
  void Loop();
  void Watch(const std::string& address);
  void Pause(coordinator::Micros span, const std::string& address);
  void Answered(const std::string& address);
  std::string Address() const;
  void TakeList(std::string_view text);

  const config::Config& config_;
  coordinator::EndpointRegistry& endpoint_registry_;
  coordinator::Coordinator& coordinator_;
  const coordinator::Clock& clock_;
  std::atomic<bool> stopping_{false};
  const limits::WatchTimeouts waits_;
  limits::Backoff backoff_;  // the thread's
  mutable std::mutex mutex_;
  std::condition_variable wake_;
  std::string address_;
  net::Thread thread_;
};

}  // namespace liftrudder::platform

#endif  // LIFTRUDDER_PLATFORM_DISCOVERY_H_
