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
// A field takes some 70 bytes of memory, however few it has on the wire.
constexpr std::size_t kMaxHeaderFields = 128;

struct HttpMessage {
  std::string method;                                        // of a request
  std::string target;                                        // of a request, as sent
  int status = 0;                                            // of a response
  std::vector<std::pair<std::string, std::string>> headers;  // names as sent, values trimmed
  std::string body;
  bool close = false;  // the connection ends after this message

  // The first header with this name, compared case-insensitively; null if there is none.
  const std::string* Header(std::string_view name) const;
  // The number of headers with this name.
  std::size_t Count(std::string_view name) const;
  // The target without its query.
  std::string_view Path() const;
  // All query parameters in order, names and values unescaped.
  std::vector<std::pair<std::string, std::string>> Parameters() const;
  // The value of the first query parameter with this name, still escaped; empty if it has no value, nullopt
  // if there is no such parameter.
  std::optional<std::string_view> Parameter(std::string_view name) const;
};

// Why a message cannot be parsed.
enum class HttpParseError {
  kNone,
  kHeadTooLarge,   // over kMaxHeadBytes
  kStartLine,      // malformed request or status line, or a version other than HTTP/1.x
  kHeader,         // malformed header line
  kTooManyFields,  // over kMaxHeaderFields
  kFraming,        // invalid, repeated or contradictory Content-Length and Transfer-Encoding
  kBodyTooLarge,   // over the body limit
  kChunk,          // malformed or overlong chunk header
  kUnexpectedEnd,  // the connection ended within the message
};

class HttpParser {
 public:
  enum class Kind { kRequest, kResponse };
  enum class State { kHead, kBody, kDone, kBad };

  // `body_limit` bounds message().body in bytes; a caller that empties the body between calls can stream
  // without limit.
  explicit HttpParser(Kind kind, std::size_t body_limit = kMaxBodyBytes)
      : kind_(kind), body_limit_(body_limit) {}

  // Consumes this message's bytes from the front of `in`; the rest belongs to the next message.
  State Feed(std::string& in);
  // Called when the connection has ended, which completes a response without a length.
  State End();
  HttpMessage& message() { return message_; }
  bool started() const { return started_; }
  // Set in state kBad.
  HttpParseError error() const { return error_; }

 private:
  enum class Framing { kLength, kChunkSize, kChunkData, kChunkEnd, kTrailer, kUntilClose };

  State Fail(HttpParseError error);
  HttpParseError ParseHead(std::string_view head);
  bool ParseStartLine(std::string_view line);
  bool ParseStatusLine(std::string_view line);
  bool ParseRequestLine(std::string_view line);
  HttpParseError ParseFraming();
  void ApplyConnectionHeader(std::string_view value);
  void ConsumeBody(std::string& in);
  // These consume `in` from `position` on; they return false to wait for more input or after an error.
  bool ConsumeData(const std::string& in, std::size_t& position);
  bool ConsumeChunkLine(const std::string& in, std::size_t& position);
  bool ParseChunkLine(std::string_view line);

  Kind kind_;
  std::size_t body_limit_;
  State state_ = State::kHead;
  HttpParseError error_ = HttpParseError::kNone;
  Framing framing_ = Framing::kLength;
  std::uint64_t remaining_bytes_ = 0;  // of the body or of the current chunk
  bool started_ = false;
  HttpMessage message_;
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  bool close = false;  // close the connection after this response
};

// Serializes the response; `close` adds the header that announces the end of the connection.
std::string Format(const HttpResponse& response, bool close);

// Decodes percent-encoding and plus signs in a part of a target.
std::string PercentDecode(std::string_view text);
// Encodes all bytes but the unreserved characters (RFC 3986 section 2.3), so that the text can be a name or a
// value in any part of a target.
std::string PercentEncode(std::string_view text);

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_HTTP_H_
