#include "platform/frames.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <string_view>

namespace liftrudder::platform {
namespace {

constexpr std::size_t kMaxFrame = 128 * 1024;
constexpr std::string_view kLetters = "aple";  // what a holder may say

std::string Frame(char letter, std::string_view rest) {
  std::string out;
  std::size_t size = rest.size() + 1;
  for (int shift = 0; shift < 32; shift += 8) out.push_back(static_cast<char>(size >> shift & 0xff));
  out.push_back(letter);
  return out.append(rest);
}

std::string_view Word(std::string_view& line, char end = ' ') {
  std::string_view word = line.substr(0, line.find(end));
  line.remove_prefix(std::min(line.size(), word.size() + 1));
  return word;
}

// The settings and the report on the sockets have their own names for the same two figures.
std::string_view Known(std::string_view name) {
  if (name == "queue") return "q";
  if (name == "inflight") return "rif";
  return name;
}

class FrameReader : public net::ResponseReader {
 public:
  explicit FrameReader(const std::vector<std::string>& load_names) : load_names_(load_names) {}

  bool Take(std::string& in, const std::string&, std::vector<net::EndpointResponse>& out) override {
    std::string_view rest = in;
    bool usable = true;
    while (usable && rest.size() >= 4) {
      // Noise is seen at its first byte, not when as much of it has come as it seems to promise.
      if (rest.size() > 4 && kLetters.find(rest[4]) == std::string_view::npos) usable = false;
      if (!usable) break;
      std::size_t size = 0;
      for (std::size_t i = 4; i-- > 0;) size = size << 8 | static_cast<unsigned char>(rest[i]);
      if (size == 0 || size > kMaxFrame) return false;
      if (rest.size() - 4 < size) break;
      usable = TakeFrame(rest.substr(4, size), out);
      rest.remove_prefix(4 + size);
    }
    in.erase(0, in.size() - rest.size());
    return usable;
  }

 private:
  // False on a frame that is not one, and on `e`: the holder closes after it.
  bool TakeFrame(std::string_view frame, std::vector<net::EndpointResponse>& out) const {
    if (frame.front() == 'p' || frame.front() == 'l') return true;
    auto line_end = frame.find('\n');
    if (frame.front() != 'a' || line_end == std::string_view::npos) return false;
    std::string_view line = frame.substr(1, line_end - 1);
    net::EndpointResponse answer;
    answer.id = Word(line);
    std::string_view end = Word(line);
    Word(line);  // the score
    answer.load = Report(line);
    answer.value = frame.substr(line_end + 1);
    if (end == "served") {
      answer.cause = coordinator::Cause::kServed;
    } else if (end == "broke") {
      answer.cause = coordinator::Cause::kEndpointError;
    } else if (end == "skipped") {
      answer.cause = coordinator::Cause::kEndpointRejected;
    } else {
      return false;
    }
    out.push_back(std::move(answer));
    return true;
  }

  // Guards against a report that cannot be read: it says nothing, rather than that the holder is idle.
  std::vector<double> Report(std::string_view text) const {
    std::vector<double> load(load_names_.size(), -1);
    if (text.ends_with(',')) return {};
    while (!text.empty()) {
      std::string_view pair = Word(text, ',');
      std::string_view name = Known(Word(pair, '='));
      double value = 0;
      auto [end, error] = std::from_chars(pair.data(), pair.data() + pair.size(), value);
      if (error != std::errc() || end != pair.data() + pair.size() || !(value >= 0 && value < 1e9)) return {};
      auto found = std::ranges::find(load_names_, name);
      if (found != load_names_.end()) load[static_cast<std::size_t>(found - load_names_.begin())] = value;
    }
    if (std::ranges::any_of(load, [](double value) { return value < 0; })) return {};
    return load;
  }

  const std::vector<std::string>& load_names_;
};

}  // namespace

std::string FrameProtocol::Id(const coordinator::AttemptRequest& order) const {
  return fmt::format("{}.{}", order.payload->call_id, order.shard);
}

std::string FrameProtocol::Ask(std::span<const coordinator::AttemptRequest* const> orders, const std::string&,
                              coordinator::Micros now_us) const {
  std::string all;
  for (const coordinator::AttemptRequest* order : orders) {
    std::string list =
        fmt::format("d={}", std::max<coordinator::Micros>(1, (order->attempt_deadline_us - now_us) / 1000));
    if (!order->payload->idempotency_key.empty()) list += ",k=" + order->payload->idempotency_key;
    const std::string& text = order->payload->statement;
    all += fmt::format("{} {} {} {}\n{}", Id(*order), order->shard, list, text.size(), text);
  }
  return Frame('q', all);
}

std::string FrameProtocol::GiveUp(const std::string& id) const { return Frame('c', id); }

std::unique_ptr<net::ResponseReader> FrameProtocol::Reader() const {
  return std::make_unique<FrameReader>(load_names_);
}

}  // namespace liftrudder::platform
