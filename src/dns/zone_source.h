// A zone as the source of the endpoint list: read from a file at start-up, then changed by RFC 2136 updates
// over TCP. An endpoint whose records are removed is draining. Serves one connection at a time, on a thread
// of its own; the zone belongs to the constructor and then to that thread.
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
  // Publishes the zone's endpoints of `service` at once. Takes updates on `listener` if it is valid. The
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
  // Applies the complete messages at the front of `input`, and responds. Whether the connection may go on.
  bool ApplyMessages(const net::Fd& client, std::string& input);

  // Publishes how the zone's endpoints differ from what was published before.
  void Publish(bool initial);
  // Sets an endpoint's start time where its zone does not state it.
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
  net::Thread thread_;  // last, so that it starts when all else is there
};

// What the operator's file says of a zone. `file` is empty when it names none.
struct ZoneOptions {
  std::string file;
  std::string service;
  std::string update_listen;  // "host:port"; empty: no updates are taken
};

// Throws ZoneError when updates are to be taken on an address that is not loopback.
ZoneOptions ParseZoneOptions(std::string_view text);

}  // namespace liftrudder::dns

#endif  // LIFTRUDDER_DNS_ZONE_SOURCE_H_
