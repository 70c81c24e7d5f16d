// A DNS zone in memory: its records, and domain names in text and in wire form. No I/O, no locks.
#ifndef LIFTRUDDER_DNS_ZONE_H_
#define LIFTRUDDER_DNS_ZONE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace liftrudder::dns {

// RFC 1035 section 3.2, RFC 2782, RFC 2136 section 1.3.
inline constexpr std::uint16_t kTypeA = 1;
inline constexpr std::uint16_t kTypeNs = 2;
inline constexpr std::uint16_t kTypeSoa = 6;
inline constexpr std::uint16_t kTypeTxt = 16;
inline constexpr std::uint16_t kTypeSrv = 33;
inline constexpr std::uint16_t kTypeAny = 255;
inline constexpr std::uint16_t kClassIn = 1;
inline constexpr std::uint16_t kClassNone = 254;
inline constexpr std::uint16_t kClassAny = 255;

// RFC 1035 section 2.3.4, in bytes; the length of a name includes the lengths of its labels.
inline constexpr std::size_t kMaxLabelBytes = 63;
inline constexpr std::size_t kMaxNameBytes = 255;

// A resource record of class IN.
struct Record {
  std::string name;  // in lower case, ends in a dot
  std::uint16_t type = 0;
  std::uint32_t ttl = 0;
  std::string data;  // RDATA in wire form, names in it uncompressed
};

struct Zone {
  std::string origin;  // the owner of the SOA record
  std::vector<Record> records;

  // Returns whether a name is the origin or below it.
  bool Contains(std::string_view name) const;
};

// Returns `text` with its ASCII letters in lower case, since names ignore their case (RFC 4343).
std::string ToLower(std::string_view text);

// Returns the wire form of an absolute name; nothing if it does not end in a dot, a label is empty, or a
// label or the name is too long.
std::optional<std::string> WireName(std::string_view name);
// Returns the text form, in lower case, of an uncompressed name in wire form.
std::string NameFromWire(std::string_view wire);

}  // namespace liftrudder::dns

#endif  // LIFTRUDDER_DNS_ZONE_H_
