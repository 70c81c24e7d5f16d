// Runs the instances of the routing module that the simulator creates, one router for each. They share only
// the decoder's numbered endpoint lists. Not thread-safe.
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

// Reads one frame and returns it without its length field; nullopt at the end of input. Throws WireError when
// the input ends within a frame or the length exceeds 1 GiB.
std::optional<std::string> ReadFrame(std::FILE* input);

class Host {
 public:
  // Handles the body of a batch and returns the complete reply frame. After a WireError no reply may be sent.
  std::string Serve(std::string_view body);

 private:
  struct EventGroup {
    int instance = 0;
    std::vector<routing::Event> events;
  };

  // Creates and kills instances, and groups the other events by instance, in the order of each instance's
  // first event. Events that precede a kill or a new creation of their instance in the batch are dropped.
  std::vector<EventGroup> GroupByInstance(std::vector<InstanceEvent>& events);

  Decoder decoder_;
  Encoder encoder_;
  std::map<int, routing::Router> instances_;  // by number
};

}  // namespace liftrudder::simulator

#endif  // LIFTRUDDER_SIMULATOR_HOST_H_
