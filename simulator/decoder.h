// Translates a batch of the simulator into events of the routing module. Decides nothing. One thread.
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

// What happened to one instance of the module.
struct InstanceEvent {
  int instance = 0;
  std::variant<InstanceCreated, InstanceKilled, routing::Event> what;
};

struct Batch {
  routing::Micros now_us = 0;
  std::vector<InstanceEvent> events;
};

// Keeps the numbered endpoint lists, which later batches refer to.
class Decoder {
 public:
  // `body` is a frame without its leading length. Throws WireError.
  Batch Decode(std::string_view body);

 private:
  void StoreEndpointList(ByteReader& record);
  routing::EndpointListUpdate ReadEndpointListUpdate(ByteReader& record) const;
  // Nothing for a record without an event. Throws on a code that is not known.
  std::optional<InstanceEvent> ReadEvent(int code, int instance, ByteReader& record) const;

  std::map<int, std::vector<routing::Endpoint>> endpoint_lists_;  // by number
};

}  // namespace liftrudder::simulator

#endif  // LIFTRUDDER_SIMULATOR_DECODER_H_
