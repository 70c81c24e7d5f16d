// The wire of the simulator: frames to events, actions to frames. It translates and decides nothing.
#ifndef LIFTRUDDER_SIMULATOR_CODEC_H_
#define LIFTRUDDER_SIMULATOR_CODEC_H_

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "routing/router.h"

namespace liftrudder::simulator {

using routing::Action;
using routing::Endpoint;
using routing::Event;
using routing::Micros;
using routing::Settings;

// What is wrong with a frame, and where.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Created {
  std::uint64_t seed = 0;
  Settings settings;
};
struct Killed {};

struct InstanceEvent {
  int instance = 0;
  std::variant<Created, Killed, Event> what;
};

struct Batch {
  Micros now = 0;
  std::vector<InstanceEvent> events;
};

// Decodes batches; keeps the numbered lists, which outlive a batch.
class Decoder {
 public:
  // `body` is the frame without its leading length.
  Batch Decode(std::string_view body);

 private:
  std::map<int, std::vector<Endpoint>> banks_;
};

// Collects the actions of one reply.
class Encoder {
 public:
  void Add(int instance, const std::vector<Action>& actions);
  // The whole frame, its length included; the encoder is empty afterwards.
  std::string Finish();

 private:
  std::string body_;
  std::uint32_t records_ = 0;
};

}  // namespace liftrudder::simulator

#endif  // LIFTRUDDER_SIMULATOR_CODEC_H_
