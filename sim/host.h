// The instances of one process, one module each; they share nothing but the decoder's numbered lists.
#ifndef TINSAIL_SIM_HOST_H_
#define TINSAIL_SIM_HOST_H_

#include <cstdio>
#include <map>
#include <string>
#include <string_view>

#include "codec.h"

namespace tinsail::sim {

// Reads one frame without its leading length. False at the end of input; WireError when it ends midway.
bool ReadFrame(std::FILE* input, std::string& frame);

class Host {
 public:
  // Takes the body of a batch, gives the whole reply. Throws WireError; then nothing may be written.
  std::string Serve(std::string_view body);

 private:
  Decoder decoder_;
  Encoder encoder_;
  std::map<int, Aggregator> instances_;
};

}  // namespace tinsail::sim

#endif  // TINSAIL_SIM_HOST_H_
