#include "dns/zone_source.h"

#include <optional>
#include <utility>

#include "dns/update.h"
#include "dns/wire_names.h"
#include "log/log.h"
#include "net/json.h"

namespace liftrudder::dns {
namespace {

using coordinator::EndpointEntry;
using coordinator::Micros;
using routing::Availability;

constexpr Micros kStopCheckUs = 200'000;         // how often a wait checks for a stop
constexpr Micros kMessageTimeoutUs = 2'000'000;  // between two parts of a message
constexpr Micros kIdleTimeoutUs = 30'000'000;    // between two messages
constexpr std::size_t kLengthPrefixBytes = 2;    // RFC 1035 section 4.2.2
constexpr std::string_view kLoopbackPrefix = "127.";

// Removes one message from the front of `input`; returns nothing while it is incomplete.
std::optional<std::string> TakeMessage(std::string& input) {
  if (input.size() < kLengthPrefixBytes) return std::nullopt;
  std::size_t high = static_cast<unsigned char>(input[0]);
  std::size_t size = high << 8 | static_cast<unsigned char>(input[1]);
  if (input.size() - kLengthPrefixBytes < size) return std::nullopt;
  std::string message = input.substr(kLengthPrefixBytes, size);
  input.erase(0, kLengthPrefixBytes + size);
  return message;
}

std::string WithLengthPrefix(const std::string& message) {
  std::string framed{static_cast<char>(message.size() >> 8), static_cast<char>(message.size() & 0xff)};
  return framed + message;
}

bool IsUnchanged(const EndpointEntry& entry, const EndpointEntry& published) {
  return published.addr == entry.addr && published.endpoint.cell == entry.endpoint.cell &&
         published.endpoint.started_us == entry.endpoint.started_us;
}

}  // namespace

ZoneOptions ParseZoneOptions(std::string_view text) {
  std::string_view zone =
      net::json::FindMember(net::json::FindMember(text, wire_names::kOpenSearch), wire_names::kZone);
  auto member = [zone](const char* key) {
    return net::json::ParseString(net::json::FindMember(zone, key)).value_or("");
  };
  ZoneOptions options;
  options.file = member(wire_names::kZoneFile);
  options.service = member(wire_names::kZoneService);
  options.update_listen = member(wire_names::kZoneUpdateListen);
  if (!options.update_listen.empty() && !options.update_listen.starts_with(kLoopbackPrefix)) {
    throw ZoneError(ZoneErrorCode::kNotLoopback, 0,
                    "[update_listen] must be a loopback address (127.0.0.0/8)", options.update_listen);
  }
  return options;
}

ZoneSource::ZoneSource(Zone zone, std::string service, net::Fd listener,
                       coordinator::EndpointRegistry& endpoint_registry,
                       coordinator::Coordinator& coordinator, const coordinator::Clock& clock)
    : zone_(std::move(zone)),
      service_(std::move(service)),
      listener_(std::move(listener)),
      endpoint_registry_(endpoint_registry),
      coordinator_(coordinator),
      clock_(clock) {
  Publish(true);
  if (listener_.Valid()) thread_ = net::Thread([this] { AcceptConnections(); });
}

ZoneSource::~ZoneSource() {
  stopping_ = true;
  thread_.Join();
}

void ZoneSource::AcceptConnections() {
  while (!stopping_) {
    net::Fd client = net::Accept(listener_, kStopCheckUs);
    if (client.Valid()) Serve(client);
  }
}

void ZoneSource::Serve(const net::Fd& client) {
  std::string input;
  Micros received_us = clock_.Now();
  while (!stopping_) {
    Micros idle_us = clock_.Now() - received_us;
    if (idle_us > (input.empty() ? kIdleTimeoutUs : kMessageTimeoutUs)) return;
    net::IoStatus status = net::ReadSome(client, input, kStopCheckUs);
    if (status == net::IoStatus::kTimeout) continue;
    if (status != net::IoStatus::kOk) return;
    received_us = clock_.Now();
    if (!ApplyMessages(client, input)) return;
  }
}

bool ZoneSource::ApplyMessages(const net::Fd& client, std::string& input) {
  while (std::optional<std::string> message = TakeMessage(input)) {
    std::string response = ApplyUpdate(*message, zone_);
    if (response.empty()) return false;
    Publish(false);
    net::IoStatus status = net::WriteAll(client, WithLengthPrefix(response), kMessageTimeoutUs).status;
    if (status != net::IoStatus::kOk) return false;
  }
  return true;
}

// An endpoint that appears in an update has most likely just been started, and without slow start it could be
// overloaded. An endpoint that is ready already keeps its published start time.
void ZoneSource::FillStartTime(EndpointEntry& entry, const EndpointEntry* published_ready,
                               bool initial) const {
  if (entry.endpoint.started_us != 0) return;
  if (published_ready != nullptr) {
    entry.endpoint.started_us = published_ready->endpoint.started_us;
  } else if (!initial) {
    entry.endpoint.started_us = clock_.Now();
  }
}

void ZoneSource::Publish(bool initial) {
  coordinator::EndpointList list;
  list.version = ++version_;
  list.kind = initial ? routing::EndpointListKind::kFull : routing::EndpointListKind::kDelta;
  EndpointsByName current = ServiceEndpoints(zone_, service_);
  for (auto& [name, entry] : current) {
    auto found = published_.find(name);
    bool ready = found != published_.end() && found->second.endpoint.availability == Availability::kReady;
    const EndpointEntry* published_ready = ready ? &found->second : nullptr;
    FillStartTime(entry, published_ready, initial);
    if (published_ready == nullptr || !IsUnchanged(entry, *published_ready)) list.entries.push_back(entry);
  }
  for (auto& [name, entry] : published_) {
    if (current.contains(name) || entry.endpoint.availability != Availability::kReady) continue;
    entry.endpoint.availability = Availability::kDraining;
    list.entries.push_back(entry);
  }
  for (const EndpointEntry& entry : list.entries) published_[entry.id] = entry;
  if (list.entries.empty() && !initial) return;
  if (auto update = endpoint_registry_.Apply(list, clock_.Now())) coordinator_.Post(std::move(*update));
  log::Info("zone {}: {} endpoints, {} changed", zone_.origin, current.size(), list.entries.size());
}

}  // namespace liftrudder::dns
