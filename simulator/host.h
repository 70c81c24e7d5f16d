// The instances of one process, one module each; they share nothing but the decoder's numbered lists.
#ifndef LIFTRUDDER_SIMULATOR_HOST_H_
#define LIFTRUDDER_SIMULATOR_HOST_H_

#include <cstdio>
#include <map>
#include <string>
#include <string_view>

#include "simulator/codec.h"

namespace liftrudder::simulator {

// Reads one frame without its leading length. False at the end of input; WireError when it ends midway.
bool ReadFrame(std::FILE* input, std::string& frame);

class Host {
 public:
  // Takes the body of a batch, gives the whole reply. Throws WireError; then nothing may be written.
  std::string Serve(std::string_view body);

 private:
  Decoder decoder_;
  Encoder encoder_;
  std::map<int, routing::Router> instances_;
};

}  // namespace liftrudder::simulator

#endif  // LIFTRUDDER_SIMULATOR_HOST_H_
