// RFC 2136 dynamic updates over TCP, applied to a zone: all of a message or nothing of it.
#ifndef LIFTRUDDER_DNS_UPDATE_H_
#define LIFTRUDDER_DNS_UPDATE_H_

#include <atomic>
#include <functional>
#include <string>

#include "config/config.h"
#include "coordinator/coordinator.h"
#include "dns/zone.h"
#include "net/socket.h"

namespace liftrudder::dns {

enum class Rcode {
  kNoError = 0,
  kFormErr = 1,
  kServFail = 2,
  kNotImp = 4,
  kRefused = 5,
  kYxDomain = 6,
  kYxRrset = 7,
  kNxRrset = 8,
  kNotAuth = 9,
  kNotZone = 10,
  kNxDomain = 3
};

// Applies one message to the zone; the response to it. A message too short for a header has none.
std::string ApplyUpdate(std::string_view message, Zone& zone);

// The holder list of a service in a zone: as the file has it, then as updates change it. A record that is
// removed is a drain. Listens on a loopback address only, one connection at a time.
class ZoneSource {
 public:
  ZoneSource(Zone zone, std::string service, net::Fd listener,
             coordinator::EndpointRegistry& endpoint_registry, coordinator::Coordinator& coordinator,
             const coordinator::Clock& clock);
  ~ZoneSource();

 private:
  void Loop();
  void Serve(const net::Fd& client);
  void Tell(bool first);

  Zone zone_;
  const std::string service_;
  net::Fd listener_;
  coordinator::EndpointRegistry& endpoint_registry_;
  coordinator::Coordinator& coordinator_;
  const coordinator::Clock& clock_;
  std::map<std::string, coordinator::EndpointEntry> told_;
  std::uint64_t version_ = 0;
  std::atomic<bool> stopping_{false};
  net::Thread thread_;
};

// What the file that turns the search front on says of a zone; `file` is empty when it names none.
struct ZoneOptions {
  std::string file, service, update_listen;
};
ZoneOptions ParseZoneOptions(std::string_view text);

}  // namespace liftrudder::dns

#endif  // LIFTRUDDER_DNS_UPDATE_H_
