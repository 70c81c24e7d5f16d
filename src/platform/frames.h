// The platform's frames: a length of four bytes (least significant first), a letter, and the rest.
#ifndef LIFTRUDDER_PLATFORM_FRAMES_H_
#define LIFTRUDDER_PLATFORM_FRAMES_H_

#include <string>
#include <vector>

#include "net/endpoint_protocol.h"

namespace liftrudder::platform {

class FrameProtocol : public net::EndpointProtocol {
 public:
  explicit FrameProtocol(std::vector<std::string> load_names) : load_names_(std::move(load_names)) {}

  std::string AttemptId(const coordinator::AttemptRequest& order) const override;
  std::string EncodeRequest(std::span<const coordinator::AttemptRequest* const> orders,
                            const std::string& endpoint, coordinator::Micros now_us) const override;
  std::string EncodeCancellation(const std::string& id) const override;
  std::unique_ptr<net::ResponseReader> NewReader() const override;

 private:
  std::vector<std::string> load_names_;
};

}  // namespace liftrudder::platform

#endif  // LIFTRUDDER_PLATFORM_FRAMES_H_
