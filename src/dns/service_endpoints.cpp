#include "dns/service_endpoints.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "dns/wire_names.h"

namespace liftrudder::dns {
namespace {

// RDATA of SRV (RFC 2782): priority, weight and port of two bytes each, then the target.
constexpr std::size_t kSrvPortOffset = 4;
constexpr std::size_t kSrvTargetOffset = 6;
constexpr std::int64_t kMaxCell = 65535;
constexpr std::int64_t kMicrosPerMilli = 1000;

unsigned ByteAt(std::string_view data, std::size_t index) { return static_cast<unsigned char>(data[index]); }

// Returns the number in the first "KEY=NUMBER" among the strings of one TXT record.
std::optional<std::int64_t> NumberInStrings(std::string_view strings, std::string_view key) {
  while (!strings.empty()) {
    std::size_t size = ByteAt(strings, 0);
    std::string_view text = strings.substr(1, size);
    strings.remove_prefix(std::min(strings.size(), size + 1));
    if (!text.starts_with(key) || text.substr(key.size(), 1) != "=") continue;
    text.remove_prefix(key.size() + 1);
    std::int64_t value = 0;
    const char* end = text.data() + text.size();
    if (std::from_chars(text.data(), end, value).ptr == end) return value;
  }
  return std::nullopt;
}

std::optional<std::int64_t> TxtNumber(const Zone& zone, const std::string& name, std::string_view key) {
  for (const Record& record : zone.records) {
    if (record.name != name || record.type != kTypeTxt) continue;
    if (auto value = NumberInStrings(record.data, key)) return value;
  }
  return std::nullopt;
}

const Record* FindAddress(const Zone& zone, const std::string& name) {
  for (const Record& record : zone.records) {
    if (record.type == kTypeA && record.name == name) return &record;
  }
  return nullptr;
}

}  // namespace

EndpointsByName ServiceEndpoints(const Zone& zone, const std::string& service) {
  EndpointsByName endpoints;
  for (const Record& record : zone.records) {
    std::string_view data = record.data;
    if (record.type != kTypeSrv || record.name != service || data.size() <= kSrvTargetOffset) continue;
    coordinator::EndpointEntry entry;
    entry.id = NameFromWire(data.substr(kSrvTargetOffset));
    const Record* address = FindAddress(zone, entry.id);
    std::optional<std::int64_t> cell = TxtNumber(zone, entry.id, wire_names::kCell);
    if (address == nullptr || !cell) continue;
    const std::string& ip = address->data;
    unsigned port = ByteAt(data, kSrvPortOffset) << 8 | ByteAt(data, kSrvPortOffset + 1);
    entry.addr =
        fmt::format("{}.{}.{}.{}:{}", ByteAt(ip, 0), ByteAt(ip, 1), ByteAt(ip, 2), ByteAt(ip, 3), port);
    entry.endpoint.cell = static_cast<int>(std::clamp<std::int64_t>(*cell, 0, kMaxCell));
    entry.endpoint.started_us =
        kMicrosPerMilli * TxtNumber(zone, entry.id, wire_names::kStartedMs).value_or(0);
    endpoints[entry.id] = std::move(entry);
  }
  return endpoints;
}

}  // namespace liftrudder::dns
