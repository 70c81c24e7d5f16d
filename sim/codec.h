// The wire of the simulator: frames to events, actions to frames. It translates and decides nothing.
#ifndef TINSAIL_SIM_CODEC_H_
#define TINSAIL_SIM_CODEC_H_

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tinsail/tinsail.h"

namespace tinsail::sim {

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

// Reads the text of the settings; throws WireError naming what is missing or of the wrong type.
Settings ParseSettings(std::string_view text);

// Decodes batches; keeps the numbered lists, which outlive a batch.
class Decoder {
 public:
  // `body` is the frame without its leading length.
  Batch Decode(std::string_view body);

 private:
  std::map<int, std::vector<Replica>> banks_;
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

}  // namespace tinsail::sim

#endif  // TINSAIL_SIM_CODEC_H_
