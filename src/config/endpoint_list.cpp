#include "config/endpoint_list.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "config/wire_names.h"
#include "net/json.h"

namespace liftrudder::config {
namespace {

namespace json = net::json;

constexpr std::int64_t kMicrosPerMilli = 1000;

int IndexOrFirst(const std::vector<std::string>& names, const std::string& name) {
  auto found = std::ranges::find(names, name);
  return found == names.end() ? 0 : static_cast<int>(found - names.begin());
}

routing::Availability ParseState(std::string_view value) {
  std::string_view state = json::RawString(value).value_or("");
  if (state == wire::kStateReady) return routing::Availability::kReady;
  if (state == wire::kStateDraining) return routing::Availability::kDraining;
  if (state == wire::kStateRemoved) return routing::Availability::kRemoved;
  throw EndpointListError(fmt::format("unknown state {}", value));
}

std::string ParseName(std::string_view value) { return json::ParseString(value).value_or(""); }

std::int64_t ParseInteger(std::string_view key, std::string_view value) {
  auto number = json::ParseInteger(value);
  if (!number) throw EndpointListError(fmt::format("{} is {}, not an integer", key, value));
  return *number;
}

// Reads an entry in one pass over its members, since lists of a thousand entries are parsed during drains, on
// a fraction of a core.
class EntryReader {
 public:
  explicit EntryReader(const Config& config) : config_(config) {}

  coordinator::EndpointEntry Read(std::string_view text) {
    bool is_object = json::ForEachMember(text, [this](std::string_view key, std::string_view value) {
      ReadMember(key, value);
      return true;
    });
    if (!is_object) throw EndpointListError("not an object");
    if (entry_.id.empty()) throw EndpointListError("no id");
    if (!has_state_) throw EndpointListError("no state");
    return std::move(entry_);
  }

 private:
  void ReadMember(std::string_view key, std::string_view value) {
    routing::Endpoint& endpoint = entry_.endpoint;
    if (key == wire::kEndpointId) {
      entry_.id = ParseName(value);
    } else if (key == wire::kEndpointAddress) {
      entry_.addr = ParseName(value);
    } else if (key == wire::kEndpointCell) {
      endpoint.cell = static_cast<int>(ParseInteger(key, value));
    } else if (key == wire::kEndpointZone) {
      endpoint.zone = IndexOrFirst(config_.zones, ParseName(value));
    } else if (key == wire::kEndpointKind) {
      endpoint.kind = IndexOrFirst(config_.kinds, ParseName(value));
    } else if (key == wire::kEndpointWeight) {
      endpoint.weight = json::ParseNumber(value).value_or(1);
    } else if (key == wire::kEndpointStartedMs) {
      // Unix time, as on the coordinator's clock.
      endpoint.started_us = ParseInteger(key, value) * kMicrosPerMilli;
    } else if (key == wire::kEndpointState) {
      endpoint.availability = ParseState(value);
      has_state_ = true;
    }
  }

  const Config& config_;
  coordinator::EndpointEntry entry_;
  bool has_state_ = false;
};

struct ListMembers {
  std::uint64_t version = 0;
  bool full = false;
  std::string_view endpoints;
};

ListMembers ReadMembers(std::string_view text) {
  std::optional<std::int64_t> version;
  std::optional<bool> full;
  std::string_view endpoints;
  bool is_object = json::ForEachMember(text, [&](std::string_view key, std::string_view value) {
    if (key == wire::kListVersion) version = json::ParseInteger(value);
    if (key == wire::kListIsFull) full = json::ParseBool(value);
    if (key == wire::kListEndpoints) endpoints = value;
    return true;
  });
  if (!is_object || !version || *version < 0 || !full) {
    throw EndpointListError("endpoint list: 'version' or 'full' is missing or invalid");
  }
  return {static_cast<std::uint64_t>(*version), *full, endpoints};
}

}  // namespace

coordinator::EndpointList ParseEndpointList(std::string_view text, const Config& config) {
  const ListMembers members = ReadMembers(text);
  coordinator::EndpointList list;
  list.version = members.version;
  list.kind = members.full ? routing::EndpointListKind::kFull : routing::EndpointListKind::kDelta;
  bool is_array = json::ForEachElement(members.endpoints, [&](std::string_view entry) {
    try {
      list.entries.push_back(EntryReader(config).Read(entry));
    } catch (const EndpointListError& error) {
      throw EndpointListError(
          fmt::format("endpoint list {}: entry {}: {}", list.version, list.entries.size() + 1, error.what()));
    }
    return true;
  });
  if (!is_array) throw EndpointListError(fmt::format("endpoint list: no array '{}'", wire::kListEndpoints));
  return list;
}

}  // namespace liftrudder::config
