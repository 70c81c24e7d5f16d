#include "simulator/encoder.h"

#include <algorithm>
#include <variant>

#include "simulator/wire_names.h"

namespace liftrudder::simulator {
namespace {

using wire::ActionCode;

void Append(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((value >> shift) & 0xff));
  }
}

// Durations are encoded in 31 bits: negative ones become 0, longer ones the maximum.
std::uint32_t ClampDuration(routing::Micros span_us) {
  return static_cast<std::uint32_t>(std::clamp<routing::Micros>(span_us, 0, INT32_MAX));
}

class RecordWriter {
 public:
  explicit RecordWriter(std::string& out) : out_(out) {}

  void WriteHeader(ActionCode code, std::uint32_t bytes) {
    Append(out_, static_cast<std::uint64_t>(code), 1);
    Append(out_, bytes, 4);
  }
  void operator()(const routing::Send& send) {
    WriteHeader(ActionCode::kSend, 14);
    Append(out_, send.shard_request, 4);
    Append(out_, ClampDuration(send.timeout_us), 4);
    AppendEndpoint(send.endpoint);
  }
  void operator()(const routing::Answer& answer) {
    WriteHeader(ActionCode::kAnswer, 5);
    Append(out_, answer.query, 4);
    Append(out_, answer.complete ? 1 : 0, 1);
  }
  void operator()(const routing::Reject& reject) {
    WriteHeader(ActionCode::kReject, 8);
    Append(out_, reject.query, 4);
    Append(out_, ClampDuration(reject.retry_after_us), 4);
  }
  void operator()(const routing::Fail& fail) {
    WriteHeader(ActionCode::kFail, 4);
    Append(out_, fail.query, 4);
  }
  void operator()(const routing::Cancel& cancel) {
    WriteHeader(ActionCode::kCancel, 5);
    Append(out_, cancel.shard_request, 4);
    Append(out_, static_cast<std::uint64_t>(cancel.attempt), 1);
  }
  void operator()(const routing::Close& close) {
    WriteHeader(ActionCode::kClose, 6);
    AppendEndpoint(close.endpoint);
  }
  void operator()(const routing::SetTimer& timer) {
    WriteHeader(ActionCode::kSetTimer, 12);
    Append(out_, ClampDuration(timer.span_us), 4);
    Append(out_, timer.label, 8);
  }
  void operator()(const routing::Subscribe& /*subscribe*/) {
    WriteHeader(ActionCode::kSubscribe, 1);
    Append(out_, 1, 1);
  }

 private:
  void AppendEndpoint(const routing::EndpointId& endpoint) {
    Append(out_, endpoint.address, 4);
    Append(out_, endpoint.port, 2);
  }

  std::string& out_;
};

}  // namespace

void Encoder::Add(int instance, const std::vector<routing::Action>& actions) {
  if (actions.empty()) return;
  RecordWriter writer(records_);
  writer.WriteHeader(ActionCode::kInstance, 2);
  Append(records_, static_cast<std::uint64_t>(instance), 2);
  for (const routing::Action& action : actions) std::visit(writer, action);
  record_count_ += 1 + static_cast<std::uint32_t>(actions.size());
}

std::string Encoder::Finish() {
  constexpr std::size_t kLengthBytes = 4;
  constexpr std::size_t kCountBytes = 4;
  std::string frame;
  frame.reserve(kLengthBytes + kCountBytes + records_.size());
  Append(frame, kCountBytes + records_.size(), kLengthBytes);
  Append(frame, record_count_, kCountBytes);
  frame += records_;
  records_.clear();
  record_count_ = 0;
  return frame;
}

}  // namespace liftrudder::simulator
