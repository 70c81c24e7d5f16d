// Runs the instances of the routing module that the simulator creates, one router each. They share nothing
// but the decoder's numbered endpoint lists. One thread.
#ifndef LIFTRUDDER_SIMULATOR_HOST_H_
#define LIFTRUDDER_SIMULATOR_HOST_H_

#include <cstdio>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "routing/router.h"
#include "simulator/decoder.h"
#include "simulator/encoder.h"

namespace liftrudder::simulator {

// Reads one frame, without its leading length; nothing at the end of input. Throws WireError where the input
// ends within a frame or the length is beyond 1 GiB.
std::optional<std::string> ReadFrame(std::FILE* input);

class Host {
 public:
  // Takes the body of a batch and returns the whole reply. After a WireError nothing may be written.
  std::string Serve(std::string_view body);

 private:
  struct Pending {
    int instance = 0;
    std::vector<routing::Event> events;
  };

  // Applies creations and kills, and gathers the other events by instance, in the order of their first event.
  // Events from before an instance was killed or created anew are dropped.
  std::vector<Pending> Distribute(std::vector<InstanceEvent>& events);

  Decoder decoder_;
  Encoder encoder_;
  std::map<int, routing::Router> instances_;  // by number
};

}  // namespace liftrudder::simulator

#endif  // LIFTRUDDER_SIMULATOR_HOST_H_
