// Encodes actions of the routing module into reply frames for the simulator; makes no decisions. Not
// thread-safe.
#ifndef LIFTRUDDER_SIMULATOR_ENCODER_H_
#define LIFTRUDDER_SIMULATOR_ENCODER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "routing/actions.h"

namespace liftrudder::simulator {

// Collects the actions of one reply frame.
class Encoder {
 public:
  void Add(int instance, const std::vector<routing::Action>& actions);
  // Returns the frame with its length field and clears the encoder.
  std::string Finish();

 private:
  std::string records_;
  std::uint32_t record_count_ = 0;
};

}  // namespace liftrudder::simulator

#endif  // LIFTRUDDER_SIMULATOR_ENCODER_H_
