// simulator_adapter: runs instances of the routing module for the simulator. Reads batches from standard
// input and writes replies to standard output, both as length-prefixed frames. All decisions are the
// routing module's.
#include <cstdio>
#include <exception>
#include <string>

#include "simulator/host.h"

int main() {
  liftrudder::simulator::Host host;
  try {
    while (auto frame = liftrudder::simulator::ReadFrame(stdin)) {
      const std::string reply = host.Serve(*frame);
      const bool written = std::fwrite(reply.data(), 1, reply.size(), stdout) == reply.size();
      if (!written || std::fflush(stdout) != 0) {
        std::fputs("simulator_adapter: cannot write to standard output; exiting\n", stderr);
        return 1;
      }
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "simulator_adapter: %s\n", error.what());
    return 1;
  }
  return 0;
}
