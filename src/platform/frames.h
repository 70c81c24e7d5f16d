// The platform's protocol to endpoints. A frame is a length of four bytes (least significant first), a letter
// for its type, and its content. Encodes and decodes frames only. Any thread.
#ifndef LIFTRUDDER_PLATFORM_FRAMES_H_
#define LIFTRUDDER_PLATFORM_FRAMES_H_

#include <memory>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "net/endpoint_connection_pool.h"

namespace liftrudder::platform {

class FrameProtocol : public net::EndpointProtocol {
 public:
  // `load_names`: the names of the figures in a load report, in the order of the settings.
  explicit FrameProtocol(std::vector<std::string> load_names) : load_names_(std::move(load_names)) {}

  std::string AttemptId(const coordinator::AttemptRequest& request) const override;
  std::string EncodeRequest(std::span<const coordinator::AttemptRequest* const> requests,
                            const std::string& endpoint, coordinator::Micros now_us) const override;
  std::string EncodeCancellation(const std::string& id) const override;
  // The reader keeps a reference to this protocol's load names.
  std::unique_ptr<net::ResponseReader> NewReader() const override;
  bool MatchesResponsesByOrder() const override { return false; }

 private:
  std::vector<std::string> load_names_;
};

}  // namespace liftrudder::platform

#endif  // LIFTRUDDER_PLATFORM_FRAMES_H_
