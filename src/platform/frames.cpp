#include "platform/frames.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

#include "platform/wire_names.h"

namespace liftrudder::platform {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMaxFrameBytes = 128 * 1024;
constexpr double kMaxLoad = 1e9;
constexpr coordinator::Micros kMicrosPerMilli = 1000;

std::string EncodeFrame(char type, std::string_view rest) {
  std::string frame;
  const std::size_t size = rest.size() + 1;
  for (std::size_t i = 0; i < kLengthBytes; ++i) frame.push_back(static_cast<char>(size >> (8 * i) & 0xff));
  frame.push_back(type);
  return frame.append(rest);
}

std::size_t FrameSize(std::string_view bytes) {
  std::size_t size = 0;
  for (std::size_t i = kLengthBytes; i-- > 0;) size = size << 8 | static_cast<unsigned char>(bytes[i]);
  return size;
}

// Removes the next field and its separator from the front of `text`; returns the field.
std::string_view NextField(std::string_view& text, char separator = ' ') {
  std::string_view field = text.substr(0, text.find(separator));
  text.remove_prefix(std::min(text.size(), field.size() + 1));
  return field;
}

std::string_view ConfiguredLoadName(std::string_view reported) {
  if (reported == wire::kReportedQueue) return wire::kConfiguredQueue;
  if (reported == wire::kReportedInFlight) return wire::kConfiguredInFlight;
  return reported;
}

std::optional<coordinator::Cause> ParseOutcome(std::string_view word) {
  if (word == wire::kOutcomeServed) return coordinator::Cause::kServed;
  if (word == wire::kOutcomeError) return coordinator::Cause::kEndpointError;
  if (word == wire::kOutcomeRejected) return coordinator::Cause::kEndpointRejected;
  return std::nullopt;
}

std::optional<double> ParseLoad(std::string_view text) {
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  if (!(value >= 0 && value < kMaxLoad)) return std::nullopt;
  return value;
}

class FrameReader : public net::ResponseReader {
 public:
  explicit FrameReader(const std::vector<std::string>& load_names) : load_names_(load_names) {}

  net::DecodeStatus Decode(std::string& in, const std::string&,
                           std::vector<net::EndpointResponse>& out) override {
    std::string_view rest = in;
    bool usable = true;
    while (usable && rest.size() >= kLengthBytes) {
      // Rejects garbage by its type byte, before all the bytes that its length announces have arrived.
      if (rest.size() > kLengthBytes && !IsEndpointFrameType(rest[kLengthBytes])) {
        usable = false;
        break;
      }
      const std::size_t size = FrameSize(rest);
      if (size == 0 || size > kMaxFrameBytes) return net::DecodeStatus::kMalformed;
      if (rest.size() - kLengthBytes < size) break;
      usable = ParseFrame(rest.substr(kLengthBytes, size), out);
      rest.remove_prefix(kLengthBytes + size);
    }
    in.erase(0, in.size() - rest.size());
    return usable ? net::DecodeStatus::kOk : net::DecodeStatus::kMalformed;
  }

 private:
  static bool IsEndpointFrameType(char type) {
    return wire::kEndpointFrames.find(type) != std::string_view::npos;
  }

  // Returns false for a malformed frame, and for an error frame, after which the endpoint closes the
  // connection.
  bool ParseFrame(std::string_view frame, std::vector<net::EndpointResponse>& out) const {
    const char type = frame.front();
    if (type == wire::kProgressFrame || type == wire::kLoadFrame) return true;
    const auto line_end = frame.find('\n');
    if (type != wire::kAnswerFrame || line_end == std::string_view::npos) return false;
    std::string_view line = frame.substr(1, line_end - 1);
    net::EndpointResponse response;
    response.id = NextField(line);
    const auto outcome = ParseOutcome(NextField(line));
    if (!outcome) return false;
    NextField(line);  // the score, which is unused
    response.cause = *outcome;
    response.load = ParseLoadReport(line);
    response.value = frame.substr(line_end + 1);
    out.push_back(std::move(response));
    return true;
  }

  // Empty when the report is malformed or lacks a figure, since a default would make the endpoint look idle.
  std::vector<double> ParseLoadReport(std::string_view text) const {
    constexpr double kMissing = -1;
    std::vector<double> load(load_names_.size(), kMissing);
    if (text.ends_with(',')) return {};
    while (!text.empty()) {
      std::string_view pair = NextField(text, ',');
      const std::string_view name = ConfiguredLoadName(NextField(pair, '='));
      const auto value = ParseLoad(pair);
      if (!value) return {};
      auto found = std::ranges::find(load_names_, name);
      if (found != load_names_.end()) load[static_cast<std::size_t>(found - load_names_.begin())] = *value;
    }
    if (std::ranges::any_of(load, [](double value) { return value < 0; })) return {};
    return load;
  }

  const std::vector<std::string>& load_names_;
};

}  // namespace

std::string FrameProtocol::AttemptId(const coordinator::AttemptRequest& request) const {
  return fmt::format("{}.{}", request.payload->call_id, request.shard);
}

std::string FrameProtocol::EncodeRequest(std::span<const coordinator::AttemptRequest* const> requests,
                                         const std::string& /*endpoint*/, coordinator::Micros now_us) const {
  std::string body;
  for (const coordinator::AttemptRequest* request : requests) {
    const coordinator::Micros timeout_ms =
        std::max<coordinator::Micros>(1, (request->attempt_deadline_us - now_us) / kMicrosPerMilli);
    std::string fields = fmt::format("{}={}", wire::kTimeoutField, timeout_ms);
    const std::string& key = request->payload->idempotency_key;
    if (!key.empty()) fields += fmt::format(",{}={}", wire::kIdempotencyKeyField, key);
    const std::string& statement = request->payload->statement;
    body += fmt::format("{} {} {} {}\n{}", AttemptId(*request), request->shard, fields, statement.size(),
                        statement);
  }
  return EncodeFrame(wire::kQueryFrame, body);
}

std::string FrameProtocol::EncodeCancellation(const std::string& id) const {
  return EncodeFrame(wire::kCancelFrame, id);
}

std::unique_ptr<net::ResponseReader> FrameProtocol::NewReader() const {
  return std::make_unique<FrameReader>(load_names_);
}

}  // namespace liftrudder::platform
