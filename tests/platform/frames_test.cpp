#include "platform/frames.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace liftrudder;

TEST_CASE("a malformed load report is ignored") {
  platform::FrameProtocol protocol({"q", "rif"});
  auto load = [&protocol](const std::string& report) {
    std::string frame = "ax.1 served 7 " + report + "\nv";
    std::string input{static_cast<char>(frame.size()), 0, 0, 0};
    input += frame;
    std::vector<net::EndpointResponse> responses;
    CHECK(protocol.NewReader()->Decode(input, "", responses) == net::DecodeStatus::kOk);
    return responses.at(0).load;
  };
  CHECK(load("queue=3,inflight=2,other=1") == std::vector<double>{3, 2});
  for (const char* bad : {"-", "", "queue=3", "queue=x,inflight=2", "queue=3,inflight=",
                          "queue=-1,inflight=2", "queue=3,inflight=2,", "queue=nan,inflight=2", "\x01\xff"}) {
    INFO(bad);
    CHECK(load(bad).empty());
  }
}
