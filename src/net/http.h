// HTTP/1.1: an incremental, bounded parser for requests and responses, and the encoding of responses. No I/O,
// no threads.
#ifndef LIFTRUDDER_NET_HTTP_H_
#define LIFTRUDDER_NET_HTTP_H_

#include <cstddef>
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
  std::string method;                                        // of a request
  std::string target;                                        // of a request, as it was sent
  int status = 0;                                            // of a response
  std::vector<std::pair<std::string, std::string>> headers;  // names as they were sent, values trimmed
  std::string body;
  bool close = false;  // the connection ends after this message

  // The first header of this name, in any case; null when there is none.
  const std::string* Header(std::string_view name) const;
  // How many headers have this name.
  std::size_t Count(std::string_view name) const;
  // The target up to its query.
  std::string_view Path() const;
  // All query parameters in order, names and values unescaped.
  std::vector<std::pair<std::string, std::string>> Parameters() const;
  // The value of the first query parameter of this name, still escaped; empty when it has none.
  std::optional<std::string_view> Parameter(std::string_view name) const;
};

// Why a message cannot be parsed.
enum class HttpParseError {
  kNone,
  kHeadTooLarge,   // over kMaxHeadBytes
  kStartLine,      // malformed request or status line, or another version than HTTP/1.x
  kHeader,         // malformed header line
  kFraming,        // invalid, repeated or contradictory Content-Length and Transfer-Encoding
  kBodyTooLarge,   // over the body limit
  kChunk,          // malformed or overlong chunk header
  kUnexpectedEnd,  // the connection ended within the message
};

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kHead, kBody, kDone, kBad };

  // `body_limit` bounds message().body in bytes; a reader that empties it between calls may stream for ever.
  explicit HttpParser(Kind kind, std::size_t body_limit = kMaxBodyBytes)
      : kind_(kind), body_limit_(body_limit) {}

  // Consumes what belongs to this message from the front of `in`; the rest is the next message's.
  State Feed(std::string& in);
  // The connection ended, which completes a response without a length.
  State End();
  HttpMessage& message() { return message_; }
  bool started() const { return started_; }
  // Set in state kBad.
  HttpParseError error() const { return error_; }

 private:
  enum class Framing { kLength, kChunkSize, kChunkData, kChunkEnd, kTrailer, kUntilEnd };

  State Fail(HttpParseError error);
  HttpParseError ParseHead(std::string_view head);
  bool ParseStartLine(std::string_view line);
  bool ParseStatusLine(std::string_view line);
  bool ParseRequestLine(std::string_view line);
  HttpParseError ParseFraming();
  void ApplyConnectionHeader(std::string_view value);
  void ConsumeBody(std::string& in);
  // These consume from `in` at `position`; false to wait for more input or after an error.
  bool ConsumeData(const std::string& in, std::size_t& position);
  bool ConsumeChunkLine(const std::string& in, std::size_t& position);
  bool ParseChunkLine(std::string_view line);

  Kind kind_;
  std::size_t body_limit_;
  State state_ = State::kHead;
  HttpParseError error_ = HttpParseError::kNone;
  Framing framing_ = Framing::kLength;
  std::uint64_t remaining_bytes_ = 0;  // of the body, or of the chunk
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

// The response as it is sent; `close` adds the header that announces the connection's end.
std::string Format(const HttpResponse& response, bool close);

// Decodes a part of a target: %XX and plus signs.
std::string Unescape(std::string_view text);

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_HTTP_H_
