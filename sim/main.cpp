// tinsail_simhost: hosts instances of the module on the simulator's wire. It translates and decides nothing.
#include <cstdio>
#include <exception>
#include <string>

#include "host.h"

int main() {
  tinsail::sim::Host host;
  std::string frame;
  try {
    while (tinsail::sim::ReadFrame(stdin, frame)) {
      std::string reply = host.Serve(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        std::fputs("tinsail_simhost: standard output is closed\n", stderr);
        return 1;
      }
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "tinsail_simhost: %s\n", error.what());
    return 1;
  }
  return 0;
}
