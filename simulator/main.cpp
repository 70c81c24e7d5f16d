// simulator_adapter: hosts instances of the module on the simulator's wire. It translates and decides
// nothing.
#include <cstdio>
#include <exception>
#include <string>

#include "simulator/host.h"

int main() {
  liftrudder::simulator::Host host;
  std::string frame;
  try {
    while (liftrudder::simulator::ReadFrame(stdin, frame)) {
      std::string reply = host.Serve(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        std::fputs("simulator_adapter: standard output is closed\n", stderr);
        return 1;
      }
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "simulator_adapter: %s\n", error.what());
    return 1;
  }
  return 0;
}
