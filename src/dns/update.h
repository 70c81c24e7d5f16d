// Applies RFC 2136 dynamic updates to a zone; a message is applied as a whole or not at all. No I/O, no
// locks; the messages are those of DNS over TCP without the length prefix.
#ifndef LIFTRUDDER_DNS_UPDATE_H_
#define LIFTRUDDER_DNS_UPDATE_H_

#include <string>
#include <string_view>

#include "dns/zone.h"

namespace liftrudder::dns {

// RFC 1035 section 4.1.1 and RFC 2136 section 2.2.
enum class Rcode {
  kNoError = 0,
  kFormErr = 1,
  kServFail = 2,
  kNxDomain = 3,
  kNotImp = 4,
  kRefused = 5,
  kYxDomain = 6,
  kYxRrset = 7,
  kNxRrset = 8,
  kNotAuth = 9,
  kNotZone = 10,
};

// Applies one message to the zone and returns the response. If its Rcode is not kNoError, the zone is
// unchanged. Returns an empty string for a message that is too short for a header, which cannot be answered.
std::string ApplyUpdate(std::string_view message, Zone& zone);

}  // namespace liftrudder::dns

#endif  // LIFTRUDDER_DNS_UPDATE_H_
