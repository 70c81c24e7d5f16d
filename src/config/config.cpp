#include "config/config.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "config/routing_settings.h"
#include "net/admin_server.h"
#include "net/json.h"

namespace liftrudder::config {
namespace {

namespace json = net::json;

constexpr std::int64_t kMiB = 1024 * 1024;

std::string Text(std::string_view object, std::string_view key) {
  auto value = json::String(json::Get(object, key));
  return value ? *value : std::string();
}

std::int64_t IntegerOr(std::string_view object, std::string_view key, std::int64_t otherwise) {
  return json::Integer(json::Get(object, key)).value_or(otherwise);
}

std::vector<std::string> Names(std::string_view array) {
  std::vector<std::string> out;
  json::Elements(array, [&out](std::string_view value) {
    out.push_back(json::String(value).value_or(""));
    return true;
  });
  return out;
}

int Place(const std::vector<std::string>& names, const std::string& name) {
  auto found = std::ranges::find(names, name);
  return found == names.end() ? 0 : static_cast<int>(found - names.begin());
}

routing::Availability State(std::string_view value) {
  std::string_view state = json::RawString(value).value_or("");
  if (state == "ready") return routing::Availability::kReady;
  if (state == "draining") return routing::Availability::kDraining;
  if (state == "gone") return routing::Availability::kGone;
  throw std::runtime_error(fmt::format("unknown state {}", value));
}

// In one pass: a list of a thousand is read while a drain runs, on a share of a core.
coordinator::EndpointEntry Entry(std::string_view text, const Config& config) {
  coordinator::EndpointEntry entry;
  bool stated = false;
  bool ok = json::JsonMembers(text, [&](std::string_view key, std::string_view value) {
    auto name = [&value] { return json::String(value).value_or(""); };
    auto integer = [&]() -> std::int64_t {
      auto number = json::Integer(value);
      if (!number) throw std::runtime_error(fmt::format("{} is {}, not an integer", key, value));
      return *number;
    };
    if (key == "id") entry.id = name();
    if (key == "addr") entry.addr = name();
    if (key == "cell") entry.endpoint.cell = static_cast<int>(integer());
    if (key == "zone") entry.endpoint.zone = Place(config.zones, name());
    if (key == "kind") entry.endpoint.kind = Place(config.kinds, name());
    if (key == "weight") entry.endpoint.weight = json::Number(value).value_or(1);
    // The module's clock starts at wall time.
    if (key == "started_ms") entry.endpoint.started_us = integer() * 1000;
    if (key == "state") entry.endpoint.availability = State(value);
    stated = stated || key == "state";
    return true;
  });
  if (!ok) throw std::runtime_error("not an object");
  if (entry.id.empty()) throw std::runtime_error("no id");
  if (!stated) throw std::runtime_error("no state");
  return entry;
}

// A share of the memory that holds a minute and more of a busy gatherer's queries, and is not missed by
// serving.
DecisionLogOptions ReadDecisionLogOptions(std::string_view text, int memory_mb) {
  static constexpr std::int64_t kShare = 48, kLeast = kMiB, kMost = 8 * kMiB, kLargest = 64 * kMiB;
  DecisionLogOptions out;
  out.bytes = static_cast<std::size_t>(std::clamp(memory_mb * kMiB / kShare, kLeast, kMost));
  if (text.empty()) return out;
  bool ok = json::JsonMembers(text, [&out](std::string_view name, std::string_view value) {
    if (name == "bytes") {
      auto bytes = json::Integer(value);
      if (!bytes || *bytes < 0 || *bytes > kLargest || (*bytes > 0 && *bytes < kLeast))
        throw std::runtime_error(
            fmt::format("why.bytes: {} is neither 0 nor from {} to {}", value, kLeast, kLargest));
      out.bytes = static_cast<std::size_t>(*bytes);
    } else if (name == "file") {
      auto file = json::String(value);
      if (!file) throw std::runtime_error(fmt::format("why.file: {} is not a text", value));
      out.file = *file;
    } else {
      throw std::runtime_error(
          fmt::format("why.{}: there is no such setting; there are bytes and file", name));
    }
    return true;
  });
  if (!ok) throw std::runtime_error("why: not an object");
  return out;
}

}  // namespace

coordinator::EndpointList ParseEndpointList(std::string_view text, const Config& config) {
  coordinator::EndpointList list;
  std::optional<std::int64_t> version;
  std::optional<bool> full;
  std::string_view servers;
  bool ok = json::JsonMembers(text, [&](std::string_view key, std::string_view value) {
    if (key == "version") version = json::Integer(value);
    if (key == "full") full = json::Bool(value);
    if (key == "servers") servers = value;
    return true;
  });
  if (!ok || !version || *version < 0 || !full)
    throw std::runtime_error("holder list: no version, or not said whether full");
  list.version = static_cast<std::uint64_t>(*version);
  list.kind = *full ? routing::EndpointListKind::kFull : routing::EndpointListKind::kDelta;
  ok = json::Elements(servers, [&](std::string_view entry) {
    try {
      list.entries.push_back(Entry(entry, config));
    } catch (const std::runtime_error& error) {
      throw std::runtime_error(
          fmt::format("holder list {}: entry {}: {}", list.version, list.entries.size() + 1, error.what()));
    }
    return true;
  });
  if (!ok) throw std::runtime_error("holder list: no list of servers");
  return list;
}

Budget ShareOut(int sockets, int memory_mb, int endpoints) {
  // Kept back: standard streams, listener, discovery's old and new watch, the clients that are just being
  // ended or turned away, and what is being accepted just now.
  constexpr int kReserve = 48;
  // A connection's thread touches some 20 KiB of its stack; a head and a body as large as they may be are 80
  // KiB more. A third of the memory stays with the core, its queue and the allocator.
  constexpr int kPerMb = 10;
  // A query for every shard has a part out at each holder at once: with less than a connection for each,
  // parts wait for one to come free and connections are opened again and again. A quarter more is for holders
  // that are replaced, and for second parts. Clients keep three eighths all the same: a gatherer of a large
  // group sees few of them.
  constexpr int kMore = 4, kMostOfEight = 5;
  int descriptors = std::max(16, sockets - kReserve);
  int threads = std::max(16, memory_mb * kPerMb * 2 / 3);
  int all = std::min(descriptors, threads);
  Budget budget;
  budget.endpoints = endpoints;
  // A third of the limit may be held by requests alone, and the mute ones and the idle come on top of that.
  // Connections to holders have no thread and take none of the memory that those are counted in.
  budget.endpoint_connections =
      std::max(all / 4, std::min(endpoints + endpoints / kMore, descriptors * kMostOfEight / 8));
  budget.client_connections = std::min(threads - all / 4, descriptors - budget.endpoint_connections);
  budget.client_requests = std::min(budget.client_connections, std::max(4, sockets / 3));
  return budget;
}

void PlaceMgmt(Config& config, const std::string& address) {
  if (address.empty() || !config.mgmt.empty()) return;
  config.mgmt = address;
  config.sockets -= net::AdminServer::kDescriptors;
  config.budget = ShareOut(config.sockets, config.memory_mb, config.budget.endpoints);
}

Config Parse(std::string_view text) {
  if (!json::Valid(text)) throw std::runtime_error("configuration: not JSON");
  Config out;
  out.name = Text(text, "name");
  out.listen = Text(text, "listen");
  out.discovery = Text(text, "discovery");
  std::string seed = Text(text, "seed");
  std::from_chars(seed.data(), seed.data() + seed.size(), out.seed, 16);
  std::string_view settings = json::Get(text, "settings");
  out.settings = ParseRoutingSettings(settings);
  json::Elements(json::Get(settings, "grades"), [&out](std::string_view grade) {
    out.classes.push_back(Text(grade, "name"));
    return true;
  });
  out.zones = Names(json::Get(settings, "dcs"));
  out.kinds = Names(json::Get(settings, "kinds"));
  out.load_names = Names(json::Get(json::Get(settings, "loadInfo"), "names"));
  std::string_view bounds = json::Get(settings, "bounds");
  out.connect_timeout_us = IntegerOr(bounds, "connectTimeoutUs", out.connect_timeout_us);
  out.idle_close_us = IntegerOr(bounds, "idleCloseUs", out.idle_close_us);
  out.streams_per_connection =
      std::max<int>(1, static_cast<int>(IntegerOr(bounds, "streamsPerConn", out.streams_per_connection)));
  std::string_view limits = json::Get(text, "limits");
  int memory_mb = static_cast<int>(IntegerOr(limits, "memory_mb", 192));
  out.decision_log = ReadDecisionLogOptions(json::Get(text, "why"), memory_mb);
  out.cores = json::Number(json::Get(limits, "cores")).value_or(out.cores);
  std::string_view known = json::Get(text, "known");
  if (!known.empty()) out.known = ParseEndpointList(known, out);
  out.known.kind = routing::EndpointListKind::kCached;
  // The list may be short or old: there is a holder for each cell at least.
  int endpoints = std::max(static_cast<int>(out.known.entries.size()), out.settings.cells);
  out.sockets = static_cast<int>(IntegerOr(limits, "sockets", out.sockets));
  out.memory_mb = memory_mb - static_cast<int>((out.decision_log.bytes + kMiB - 1) / kMiB);
  out.budget = ShareOut(out.sockets, out.memory_mb, endpoints);
  PlaceMgmt(out, Text(text, "mgmt"));
  return out;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error("cannot read " + path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

}  // namespace liftrudder::config
