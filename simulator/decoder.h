// Decodes a batch from the simulator into events of the routing module; makes no decisions. Not thread-safe.
#ifndef LIFTRUDDER_SIMULATOR_DECODER_H_
#define LIFTRUDDER_SIMULATOR_DECODER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "routing/events.h"
#include "routing/settings.h"
#include "simulator/byte_reader.h"

namespace liftrudder::simulator {

struct InstanceCreated {
  std::uint64_t seed = 0;
  routing::Settings settings;
};
struct InstanceKilled {};

// An event for one instance of the routing module.
struct InstanceEvent {
  int instance = 0;
  std::variant<InstanceCreated, InstanceKilled, routing::Event> payload;
};

struct Batch {
  routing::Micros now_us = 0;
  std::vector<InstanceEvent> events;
};

// Keeps the numbered endpoint lists: later batches may refer to them.
class Decoder {
 public:
  // `body` is a frame without its leading length. Throws WireError.
  Batch Decode(std::string_view body);

 private:
  void StoreEndpointList(ByteReader& record);
  routing::EndpointListUpdate ReadEndpointListUpdate(ByteReader& record) const;
  // Returns nullopt for a record that causes no event. Throws WireError for an unknown code.
  std::optional<InstanceEvent> ReadEvent(int code, int instance, ByteReader& record) const;

  std::map<int, std::vector<routing::Endpoint>> endpoint_lists_;  // by number
};

}  // namespace liftrudder::simulator

#endif  // LIFTRUDDER_SIMULATOR_DECODER_H_
