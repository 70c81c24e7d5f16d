// A zone as the source of the endpoint list: read from a file at start-up, then changed by RFC 2136 updates
// over TCP. An endpoint whose records are removed is published as draining. Serves one connection at a time
// on its own thread; only the constructor and then that thread use the zone.
#ifndef LIFTRUDDER_DNS_ZONE_SOURCE_H_
#define LIFTRUDDER_DNS_ZONE_SOURCE_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <string_view>

#include "coordinator/coordinator.h"
#include "coordinator/endpoint_registry.h"
#include "dns/service_endpoints.h"
#include "dns/zone.h"
#include "dns/zone_file.h"
#include "net/socket.h"

namespace liftrudder::dns {

class ZoneSource {
 public:
  // Publishes the zone's endpoints of `service`, then accepts updates on `listener` if it is valid. The
  // references must outlive the source.
  ZoneSource(Zone zone, std::string service, net::Fd listener,
             coordinator::EndpointRegistry& endpoint_registry, coordinator::Coordinator& coordinator,
             const coordinator::Clock& clock);
  ~ZoneSource();
  ZoneSource(const ZoneSource&) = delete;
  ZoneSource& operator=(const ZoneSource&) = delete;

 private:
  void AcceptConnections();
  void Serve(const net::Fd& client);
  // Applies the complete messages at the front of `input`, and responds. Returns whether to keep the
  // connection.
  bool ApplyMessages(const net::Fd& client, std::string& input);

  // Publishes all endpoints the first time, afterwards those that differ from what was published.
  void Publish(bool initial);
  // Sets an endpoint's start time if its zone does not state one.
  void FillStartTime(coordinator::EndpointEntry& entry, const coordinator::EndpointEntry* published_ready,
                     bool initial) const;

  Zone zone_;
  const std::string service_;
  net::Fd listener_;
  coordinator::EndpointRegistry& endpoint_registry_;
  coordinator::Coordinator& coordinator_;
  const coordinator::Clock& clock_;
  EndpointsByName published_;  // draining ones included
  std::uint64_t version_ = 0;
  std::atomic<bool> stopping_{false};
  net::Thread thread_;  // last, since it uses the other members
};

// The zone's settings in the operator's file. `file` is empty if the operator's file names no zone.
struct ZoneOptions {
  std::string file;
  std::string service;
  std::string update_listen;  // "host:port"; empty: no updates are accepted
};

// Throws ZoneError if `update_listen` is not a loopback address.
ZoneOptions ParseZoneOptions(std::string_view text);

}  // namespace liftrudder::dns

#endif  // LIFTRUDDER_DNS_ZONE_SOURCE_H_
