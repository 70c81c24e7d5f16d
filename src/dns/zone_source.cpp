#include "dns/zone_source.h"

#include <poll.h>

#include <algorithm>
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

constexpr int kStopCheckMs = 200;                // how often a wait checks for a stop
constexpr Micros kMessageTimeoutUs = 2'000'000;  // between two parts of a message
constexpr Micros kIdleTimeoutUs = 30'000'000;    // between two messages
// Longer than any query may take, so that no attempt is still in flight to a removed endpoint.
constexpr Micros kRemoveDrainedAfterUs = 30'000'000;
constexpr std::size_t kLengthPrefixBytes = 2;  // RFC 1035 section 4.2.2
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
  if (listener_.Valid()) thread_ = net::Thread([this] { Run(); });
}

ZoneSource::~ZoneSource() {
  stopping_ = true;
  thread_.Join();
}

void ZoneSource::Run() {
  while (!stopping_) ServeOnce();
}

void ZoneSource::ServeOnce() {
  std::vector<pollfd> polled;
  for (const Connection& connection : connections_) polled.push_back({connection.fd.Get(), POLLIN, 0});
  polled.push_back({listener_.Get(), POLLIN, 0});
  ::poll(polled.data(), polled.size(), kStopCheckMs);
  RemoveDrained();
  std::vector<Connection> kept;
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    Connection& connection = connections_[i];
    bool keep = polled[i].revents != 0 ? Receive(connection) : !IsExpired(connection);
    if (keep) kept.push_back(std::move(connection));
  }
  connections_ = std::move(kept);
  if (polled.back().revents != 0) AcceptConnection();
}

void ZoneSource::AcceptConnection() {
  net::Fd client = net::Accept(listener_, 0);
  if (!client.Valid()) return;
  if (connections_.size() >= kMaxConnections) {
    connections_.erase(std::ranges::min_element(connections_, {}, &Connection::last_message_us));
  }
  Micros now_us = clock_.Now();
  connections_.push_back({std::move(client), "", now_us, now_us});
}

bool ZoneSource::Receive(Connection& connection) {
  net::IoStatus status = net::ReadNow(connection.fd, connection.input);
  if (status == net::IoStatus::kTimeout) return !IsExpired(connection);
  if (status != net::IoStatus::kOk) return false;
  connection.received_us = clock_.Now();
  return ApplyMessages(connection);
}

bool ZoneSource::IsExpired(const Connection& connection) const {
  Micros idle_us = clock_.Now() - connection.received_us;
  return idle_us > (connection.input.empty() ? kIdleTimeoutUs : kMessageTimeoutUs);
}

bool ZoneSource::ApplyMessages(Connection& connection) {
  while (std::optional<std::string> message = TakeMessage(connection.input)) {
    connection.last_message_us = clock_.Now();
    std::string response = ApplyUpdate(*message, zone_);
    if (response.empty()) return false;
    Publish(false);
    // Without a wait: a client that does not read its responses must not hold back the others.
    net::IoStatus status = net::WriteAll(connection.fd, WithLengthPrefix(response), 0).status;
    if (status != net::IoStatus::kOk) return false;
  }
  return true;
}

void ZoneSource::RemoveDrained() {
  coordinator::EndpointList list;
  list.kind = routing::EndpointListKind::kDelta;
  for (auto drained = draining_since_us_.begin(); drained != draining_since_us_.end();) {
    if (clock_.Now() - drained->second <= kRemoveDrainedAfterUs) {
      ++drained;
      continue;
    }
    auto published = published_.find(drained->first);
    published->second.endpoint.availability = Availability::kRemoved;
    list.entries.push_back(std::move(published->second));
    published_.erase(published);
    drained = draining_since_us_.erase(drained);
  }
  if (list.entries.empty()) return;
  list.version = ++version_;
  if (auto update = endpoint_registry_.Apply(list, clock_.Now())) coordinator_.Post(std::move(*update));
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
    draining_since_us_[name] = clock_.Now();
    list.entries.push_back(entry);
  }
  for (const EndpointEntry& entry : list.entries) {
    published_[entry.id] = entry;
    if (entry.endpoint.availability == Availability::kReady) draining_since_us_.erase(entry.id);
  }
  if (list.entries.empty() && !initial) return;
  if (auto update = endpoint_registry_.Apply(list, clock_.Now())) coordinator_.Post(std::move(*update));
  log::Info("zone {}: {} endpoints, {} changed", zone_.origin, current.size(), list.entries.size());
}

}  // namespace liftrudder::dns
