#include "net/http.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace liftrudder::net {
namespace {

// Compares header names and values case-insensitively (ASCII).
bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
  return std::ranges::equal(a, b, {}, lower, lower);
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool IsLetterOrDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

// RFC 9110 section 5.6.2.
bool IsToken(std::string_view text) {
  constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::ranges::all_of(text, [&](char c) {
    return IsLetterOrDigit(c) || kTokenPunctuation.find(c) != std::string_view::npos;
  });
}

// A target consists of these bytes only (RFC 9112 section 3.2, RFC 3986). Some recipients end or split a
// request line at others, such as tabs and line feeds.
bool IsVisibleAscii(char c) { return c >= 0x21 && c <= 0x7e; }

// RFC 3986 section 2.3.
bool IsUnreserved(char c) {
  constexpr std::string_view kUnreservedPunctuation = "-._~";
  return IsLetterOrDigit(c) || kUnreservedPunctuation.find(c) != std::string_view::npos;
}

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kForbiddenInHeader("\r\n\0", 3);
constexpr std::size_t kMaxChunkLineBytes = 256;

// Parses the whole text as a number without sign or white space.
template <typename T>
bool ParseNumber(std::string_view text, T& out, int base = 10) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return !text.empty() && text.front() != '-' && error == std::errc() && end == text.data() + text.size();
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Other";
  }
}

struct QueryParameter {
  std::string_view name;
  std::string_view value;
};

// Removes the next parameter from the front of `query`.
QueryParameter NextParameter(std::string_view& query) {
  std::string_view pair = query.substr(0, query.find('&'));
  query.remove_prefix(std::min(query.size(), pair.size() + 1));
  auto equals = pair.find('=');
  if (equals == std::string_view::npos) return {pair, {}};
  return {pair.substr(0, equals), pair.substr(equals + 1)};
}

std::string_view QueryOf(std::string_view target) {
  auto mark = target.find('?');
  return mark == std::string_view::npos ? std::string_view() : target.substr(mark + 1);
}

}  // namespace

const std::string* HttpMessage::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (EqualsIgnoreCase(key, name)) return &value;
  }
  return nullptr;
}

std::size_t HttpMessage::Count(std::string_view name) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      headers, [name](const auto& header) { return EqualsIgnoreCase(header.first, name); }));
}

std::string_view HttpMessage::Path() const {
  std::string_view path = target;
  return path.substr(0, path.find('?'));
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned code = 0;
    const char* digits = text.data() + i + 1;
    bool escaped = text[i] == '%' && i + 2 < text.size() &&
                   std::from_chars(digits, digits + 2, code, 16).ptr == digits + 2;
    if (escaped) {
      decoded.push_back(static_cast<char>(code));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded;
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (char c : text) {
    if (IsUnreserved(c)) {
      encoded.push_back(c);
    } else {
      fmt::format_to(std::back_inserter(encoded), "%{:02X}", static_cast<unsigned char>(c));
    }
  }
  return encoded;
}

std::vector<std::pair<std::string, std::string>> HttpMessage::Parameters() const {
  std::vector<std::pair<std::string, std::string>> parameters;
  std::string_view query = QueryOf(target);
  while (!query.empty()) {
    if (query.starts_with('&')) {
      query.remove_prefix(1);
      continue;
    }
    QueryParameter next = NextParameter(query);
    parameters.emplace_back(PercentDecode(next.name), PercentDecode(next.value));
  }
  return parameters;
}

std::optional<std::string_view> HttpMessage::Parameter(std::string_view name) const {
  std::string_view query = QueryOf(target);
  while (!query.empty()) {
    QueryParameter next = NextParameter(query);
    if (next.name == name) return next.value;
  }
  return std::nullopt;
}

HttpParser::State HttpParser::Fail(HttpParseError error) {
  error_ = error;
  state_ = State::kBad;
  return state_;
}

HttpParser::State HttpParser::Feed(std::string& in) {
  started_ = started_ || !in.empty();
  if (state_ == State::kHead) {
    auto end = in.find(kHeadEnd);
    if (std::min(end, in.size()) > kMaxHeadBytes) return Fail(HttpParseError::kHeadTooLarge);
    if (end == std::string::npos) return state_;
    std::string_view head = in;
    HttpParseError error = ParseHead(head.substr(0, end));
    in.erase(0, end + kHeadEnd.size());
    if (error != HttpParseError::kNone) return Fail(error);
    state_ = State::kBody;
  }
  if (state_ == State::kBody) ConsumeBody(in);
  return state_;
}

HttpParser::State HttpParser::End() {
  if (state_ == State::kDone) return state_;
  bool ends_body = state_ == State::kBody && framing_ == Framing::kUntilClose;
  if (!ends_body) return Fail(HttpParseError::kUnexpectedEnd);
  state_ = State::kDone;
  return state_;
}

bool HttpParser::ParseStartLine(std::string_view line) {
  return kind_ == Kind::kResponse ? ParseStatusLine(line) : ParseRequestLine(line);
}

// HTTP/1.x SP 3DIGIT [SP reason]
bool HttpParser::ParseStatusLine(std::string_view line) {
  constexpr std::size_t kStatusBegin = 9;
  constexpr std::size_t kStatusEnd = 12;
  if (!line.starts_with("HTTP/1.") || line.size() < kStatusEnd || line.find(' ') != kStatusBegin - 1) {
    return false;
  }
  message_.close = line[7] == '0';
  return ParseNumber(line.substr(kStatusBegin, 3), message_.status) &&
         (line.size() == kStatusEnd || line[kStatusEnd] == ' ');
}

// method SP target SP HTTP/1.x
bool HttpParser::ParseRequestLine(std::string_view line) {
  auto method_end = line.find(' ');
  if (method_end == std::string_view::npos) return false;
  auto target_end = line.find(' ', method_end + 1);
  if (target_end == std::string_view::npos) return false;
  message_.method = line.substr(0, method_end);
  message_.target = line.substr(method_end + 1, target_end - method_end - 1);
  std::string_view version = line.substr(target_end + 1);
  message_.close = version == "HTTP/1.0";
  return IsToken(message_.method) && message_.target.starts_with('/') &&
         std::ranges::all_of(message_.target, IsVisibleAscii) &&
         (version == "HTTP/1.1" || version == "HTTP/1.0");
}

HttpParseError HttpParser::ParseHead(std::string_view head) {
  auto line_end = head.find(kLineEnd);
  if (!ParseStartLine(head.substr(0, line_end))) return HttpParseError::kStartLine;
  while (line_end != std::string_view::npos) {
    head.remove_prefix(line_end + kLineEnd.size());
    line_end = head.find(kLineEnd);
    std::string_view line = head.substr(0, line_end);
    auto colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)) ||
        line.find_first_of(kForbiddenInHeader) != std::string_view::npos) {
      return HttpParseError::kHeader;
    }
    if (message_.headers.size() == kMaxHeaderFields) return HttpParseError::kTooManyFields;
    message_.headers.emplace_back(line.substr(0, colon), Trim(line.substr(colon + 1)));
  }
  return ParseFraming();
}

// RFC 9112 section 6.3. A message with two Content-Length headers, or with both Content-Length and
// Transfer-Encoding, is rejected: choosing one of them would allow request smuggling.
HttpParseError HttpParser::ParseFraming() {
  int lengths = 0;
  bool chunked = false;
  remaining_bytes_ = 0;
  for (const auto& [name, value] : message_.headers) {
    if (EqualsIgnoreCase(name, "content-length")) {
      ++lengths;
      if (lengths > 1 || !ParseNumber(value, remaining_bytes_)) return HttpParseError::kFraming;
    } else if (EqualsIgnoreCase(name, "transfer-encoding")) {
      if (chunked || !EqualsIgnoreCase(value, "chunked")) return HttpParseError::kFraming;
      chunked = true;
    } else if (EqualsIgnoreCase(name, "connection")) {
      ApplyConnectionHeader(value);
    }
  }
  if (lengths > 0 && chunked) return HttpParseError::kFraming;
  framing_ = chunked ? Framing::kChunkSize : Framing::kLength;
  bool has_no_body = message_.status == 204 || message_.status == 304;
  bool has_no_length = lengths == 0 && !chunked;
  if (kind_ == Kind::kResponse && has_no_length && !has_no_body) framing_ = Framing::kUntilClose;
  if (!chunked && remaining_bytes_ > body_limit_) return HttpParseError::kBodyTooLarge;
  return HttpParseError::kNone;
}

void HttpParser::ApplyConnectionHeader(std::string_view value) {
  if (EqualsIgnoreCase(value, "close")) message_.close = true;
  if (EqualsIgnoreCase(value, "keep-alive")) message_.close = false;
}

void HttpParser::ConsumeBody(std::string& in) {
  std::size_t position = 0;
  bool more = true;
  while (more && state_ == State::kBody) {
    bool in_data =
        framing_ == Framing::kLength || framing_ == Framing::kChunkData || framing_ == Framing::kUntilClose;
    more = in_data ? ConsumeData(in, position) : ConsumeChunkLine(in, position);
  }
  in.erase(0, position);
}

bool HttpParser::ConsumeData(const std::string& in, std::size_t& position) {
  bool bounded = framing_ != Framing::kUntilClose;
  std::size_t size = in.size() - position;
  if (bounded) size = static_cast<std::size_t>(std::min<std::uint64_t>(size, remaining_bytes_));
  if (message_.body.size() + size > body_limit_) {
    Fail(HttpParseError::kBodyTooLarge);
    return false;
  }
  message_.body.append(in, position, size);
  position += size;
  if (!bounded) return false;
  remaining_bytes_ -= size;
  if (remaining_bytes_ > 0) return false;
  if (framing_ == Framing::kLength) state_ = State::kDone;
  framing_ = Framing::kChunkEnd;
  return true;
}

bool HttpParser::ConsumeChunkLine(const std::string& in, std::size_t& position) {
  std::string_view line = in;
  line.remove_prefix(position);
  auto end = line.find(kLineEnd);
  bool complete = end != std::string_view::npos;
  std::size_t size = complete ? end : line.size();
  if (size > kMaxChunkLineBytes) {
    Fail(HttpParseError::kChunk);
    return false;
  }
  if (!complete) return false;
  if (!ParseChunkLine(line.substr(0, size))) {
    Fail(HttpParseError::kChunk);
    return false;
  }
  position += size + kLineEnd.size();
  return true;
}

bool HttpParser::ParseChunkLine(std::string_view line) {
  constexpr int kHexadecimal = 16;
  switch (framing_) {
    case Framing::kChunkSize:
      if (!ParseNumber(Trim(line.substr(0, line.find(';'))), remaining_bytes_, kHexadecimal)) return false;
      framing_ = remaining_bytes_ > 0 ? Framing::kChunkData : Framing::kTrailer;
      return true;
    case Framing::kChunkEnd:
      framing_ = Framing::kChunkSize;
      return line.empty();
    default:  // a trailer field, or the empty line that ends the message
      if (line.empty()) state_ = State::kDone;
      return true;
  }
}

std::string Format(const HttpResponse& response, bool close) {
  std::string out =
      fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n", response.status,
                  ReasonPhrase(response.status), response.content_type, response.body.size());
  for (const auto& [name, value] : response.headers) {
    fmt::format_to(std::back_inserter(out), "{}: {}\r\n", name, value);
  }
  if (close) out += "Connection: close\r\n";
  out += "\r\n";
  out += response.body;
  return out;
}

}  // namespace liftrudder::net
