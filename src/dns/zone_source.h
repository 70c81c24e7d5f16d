// A zone as the source of the endpoint list: read from a file at start-up, then changed by RFC 2136 updates
// over TCP. An endpoint whose records are removed is published as draining, and some time later as removed.
// Serves all connections on its own thread; only the constructor and then that thread use the zone.
#ifndef LIFTRUDDER_DNS_ZONE_SOURCE_H_
#define LIFTRUDDER_DNS_ZONE_SOURCE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "coordinator/coordinator.h"
#include "coordinator/endpoint_registry.h"
#include "dns/service_endpoints.h"
#include "dns/zone.h"
#include "dns/zone_file.h"
#include "net/socket.h"

namespace liftrudder::dns {

class ZoneSource {
 public:
  using Micros = coordinator::Micros;

  // One more connection closes the one that has sent no message for longest.
  static constexpr std::size_t kMaxConnections = 16;

  // Publishes the zone's endpoints of `service`, then accepts updates on `listener` if it is valid. The
  // references must outlive the source.
  ZoneSource(Zone zone, std::string service, net::Fd listener,
             coordinator::EndpointRegistry& endpoint_registry, coordinator::Coordinator& coordinator,
             const coordinator::Clock& clock);
  ~ZoneSource();
  ZoneSource(const ZoneSource&) = delete;
  ZoneSource& operator=(const ZoneSource&) = delete;

 private:
  struct Connection {
    net::Fd fd;
    std::string input;           // not a complete message yet
    Micros received_us = 0;      // when bytes arrived last
    Micros last_message_us = 0;  // when a message was complete last, or the connection was accepted
  };

  void Run();
  // Waits for a byte, a new connection or the next check for a stop; then serves each connection in turn.
  void ServeOnce();
  void AcceptConnection();
  // Reads what has arrived, a bounded amount. Returns whether to keep the connection.
  bool Receive(Connection& connection);
  bool IsExpired(const Connection& connection) const;
  // Applies the complete messages at the front of the input, and responds. Returns whether to keep the
  // connection.
  bool ApplyMessages(Connection& connection);

  // Publishes all endpoints the first time, afterwards those that differ from what was published.
  void Publish(bool initial);
  // Publishes the endpoints that have drained for long as removed and forgets them.
  void RemoveDrained();
  // Sets an endpoint's start time if its zone does not state one.
  void FillStartTime(coordinator::EndpointEntry& entry, const coordinator::EndpointEntry* published_ready,
                     bool initial) const;

  Zone zone_;
  const std::string service_;
  net::Fd listener_;
  coordinator::EndpointRegistry& endpoint_registry_;
  coordinator::Coordinator& coordinator_;
  const coordinator::Clock& clock_;
  EndpointsByName published_;                        // draining ones included
  std::map<std::string, Micros> draining_since_us_;  // of the draining ones in published_
  std::vector<Connection> connections_;
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
