// HTTP/1.1: an incremental, bounded parser for requests and responses, and how responses are written.
#ifndef LIFTRUDDER_NET_HTTP_H_
#define LIFTRUDDER_NET_HTTP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace liftrudder::net {

constexpr std::size_t kMaxHeadBytes = 16 * 1024;
constexpr std::size_t kMaxBodyBytes = 64 * 1024;

struct HttpMessage {
  std::string method, target;  // of a request
  int status = 0;              // of a response
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool close = false;  // the other side wants the connection closed after this
  const std::string* Header(std::string_view name) const;
  std::size_t Count(std::string_view name) const;
  std::string_view Path() const;
  // All of them, names and values unescaped, in their order.
  std::vector<std::pair<std::string, std::string>> Parameters() const;
  // The value of a query parameter in the target, as it stands there.
  std::optional<std::string_view> Parameter(std::string_view name) const;
};

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kHead, kBody, kDone, kBad };

  // `body_limit` is the most that may wait in message().body; a reader that empties it may stream for ever.
  explicit HttpParser(Kind kind, std::size_t body_limit = kMaxBodyBytes)
      : kind_(kind), body_limit_(body_limit) {}

  // Takes what it can use off the front of `in`; what is left belongs to the next message.
  State Feed(std::string& in);
  // The connection ended: a response without a length is whole then.
  State End();
  HttpMessage& message() { return message_; }
  bool started() const { return started_; }

 private:
  enum class Framing { kLength, kChunkSize, kChunkData, kChunkEnd, kTrailer, kUntilEnd };
  bool ParseHead(std::string_view head);
  bool ParseStart(std::string_view line);
  bool Frame();
  bool TakeBody(std::string& in, std::size_t& at);
  bool TakeChunkLine(std::string_view line);

  Kind kind_;
  std::size_t body_limit_;
  State state_ = State::kHead;
  Framing framing_ = Framing::kLength;
  std::uint64_t left_ = 0;
  bool started_ = false;
  HttpMessage message_;
};

struct HttpResponse {
  int status = 200;
  std::string type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool close = false;  // the connection is to end after it
};

std::string Format(const HttpResponse& response, bool close);

// What a part of a target stands for: %XX and plus signs replaced.
std::string Unescape(std::string_view text);

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_HTTP_H_
