// Translates the routing module's actions into the frames of the simulator. Decides nothing. One thread.
#ifndef LIFTRUDDER_SIMULATOR_ENCODER_H_
#define LIFTRUDDER_SIMULATOR_ENCODER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "routing/actions.h"

namespace liftrudder::simulator {

// Collects the actions of one reply.
class Encoder {
 public:
  void Add(int instance, const std::vector<routing::Action>& actions);
  // The whole frame, its length included; the encoder is empty afterwards.
  std::string Finish();

 private:
  std::string records_;
  std::uint32_t record_count_ = 0;
};

}  // namespace liftrudder::simulator

#endif  // LIFTRUDDER_SIMULATOR_ENCODER_H_
