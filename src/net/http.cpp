#include "net/http.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <iterator>

namespace liftrudder::net {
namespace {

bool SameName(std::string_view a, std::string_view b) {
  auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; };
  return std::ranges::equal(a, b, {}, lower, lower);
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

bool IsToken(std::string_view text) {
  constexpr std::string_view kAlso = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::ranges::all_of(text, [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           kAlso.find(c) != std::string_view::npos;
  });
}

// The whole text as a number in this base: no sign, no blank, nothing left over.
template <typename T>
bool Whole(std::string_view text, T& out, int base = 10) {
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, base);
  return !text.empty() && text.front() != '-' && error == std::errc() && end == text.data() + text.size();
}

const char* Reason(int status) {
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

}  // namespace

const std::string* HttpMessage::Header(std::string_view name) const {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) return &value;
  }
  return nullptr;
}

std::size_t HttpMessage::Count(std::string_view name) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(headers, [name](const auto& one) { return SameName(one.first, name); }));
}

std::string_view HttpMessage::Path() const { return std::string_view(target).substr(0, target.find('?')); }

std::string Unescape(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned code = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16).ptr == text.data() + i + 3) {
      out.push_back(static_cast<char>(code));
      i += 2;
    } else {
      out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return out;
}

std::vector<std::pair<std::string, std::string>> HttpMessage::Parameters() const {
  std::vector<std::pair<std::string, std::string>> out;
  auto mark = target.find('?');
  std::string_view rest =
      mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
  while (!rest.empty()) {
    std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    auto equals = pair.find('=');
    if (pair.empty()) continue;
    out.emplace_back(Unescape(pair.substr(0, equals)),
                     equals == std::string_view::npos ? std::string() : Unescape(pair.substr(equals + 1)));
  }
  return out;
}

std::optional<std::string_view> HttpMessage::Parameter(std::string_view name) const {
  auto mark = target.find('?');
  if (mark == std::string::npos) return std::nullopt;
  std::string_view rest = std::string_view(target).substr(mark + 1);
  while (!rest.empty()) {
    std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    auto equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
  }
  return std::nullopt;
}

HttpParser::State HttpParser::Feed(std::string& in) {
  started_ = started_ || !in.empty();
  if (state_ == State::kHead) {
    auto end = in.find("\r\n\r\n");
    if (std::min(end, in.size()) > kMaxHeadBytes) return state_ = State::kBad;
    if (end == std::string::npos) return state_;
    state_ = ParseHead(std::string_view(in).substr(0, end)) && Frame() ? State::kBody : State::kBad;
    in.erase(0, end + 4);
  }
  if (state_ == State::kBody) {
    std::size_t at = 0;
    if (!TakeBody(in, at)) state_ = State::kBad;
    in.erase(0, at);
  }
  return state_;
}

HttpParser::State HttpParser::End() {
  if (state_ == State::kBody && framing_ == Framing::kUntilEnd) return state_ = State::kDone;
  return state_ == State::kDone ? state_ : state_ = State::kBad;
}

bool HttpParser::ParseStart(std::string_view line) {
  auto first = line.find(' ');
  if (first == std::string_view::npos) return false;
  if (kind_ == Kind::kResponse) {
    if (!line.starts_with("HTTP/1.") || line.size() < 12 || first != 8) return false;
    message_.close = line[7] == '0';
    return Whole(line.substr(9, 3), message_.status) && (line.size() == 12 || line[12] == ' ');
  }
  auto second = line.find(' ', first + 1);
  if (second == std::string_view::npos) return false;
  message_.method = line.substr(0, first);
  message_.target = line.substr(first + 1, second - first - 1);
  std::string_view version = line.substr(second + 1);
  message_.close = version == "HTTP/1.0";
  return IsToken(message_.method) && message_.target.starts_with('/') &&
         (version == "HTTP/1.1" || version == "HTTP/1.0");
}

bool HttpParser::ParseHead(std::string_view head) {
  auto line_end = head.find("\r\n");
  if (!ParseStart(head.substr(0, line_end))) return false;
  while (line_end != std::string_view::npos) {
    head.remove_prefix(line_end + 2);
    line_end = head.find("\r\n");
    std::string_view line = head.substr(0, line_end);
    auto colon = line.find(':');
    if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)) ||
        line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos) {
      return false;
    }
    message_.headers.emplace_back(line.substr(0, colon), Trim(line.substr(colon + 1)));
  }
  return true;
}

// Guards against smuggling: two lengths, or a length beside chunks, are turned down rather than picked from.
bool HttpParser::Frame() {
  int lengths = 0;
  bool chunked = false;
  left_ = 0;
  for (const auto& [name, value] : message_.headers) {
    if (SameName(name, "content-length")) {
      if (++lengths > 1 || !Whole(value, left_)) return false;
    } else if (SameName(name, "transfer-encoding")) {
      if (chunked || !SameName(value, "chunked")) return false;
      chunked = true;
    } else if (SameName(name, "connection")) {
      if (SameName(value, "close")) message_.close = true;
      if (SameName(value, "keep-alive")) message_.close = false;
    }
  }
  if (lengths > 0 && chunked) return false;
  framing_ = chunked ? Framing::kChunkSize : Framing::kLength;
  bool bodiless = message_.status == 204 || message_.status == 304;
  if (kind_ == Kind::kResponse && lengths == 0 && !chunked && !bodiless) framing_ = Framing::kUntilEnd;
  return chunked || left_ <= body_limit_;
}

bool HttpParser::TakeChunkLine(std::string_view line) {
  switch (framing_) {
    case Framing::kChunkSize:
      if (!Whole(Trim(line.substr(0, line.find(';'))), left_, 16)) return false;
      framing_ = left_ > 0 ? Framing::kChunkData : Framing::kTrailer;
      return true;
    case Framing::kChunkEnd:
      framing_ = Framing::kChunkSize;
      return line.empty();
    default:  // a trailer's field, or its end
      if (line.empty()) state_ = State::kDone;
      return true;
  }
}

bool HttpParser::TakeBody(std::string& in, std::size_t& at) {
  constexpr std::size_t kMaxChunkLine = 256;
  while (state_ == State::kBody) {
    bool data = framing_ == Framing::kLength || framing_ == Framing::kChunkData;
    if (data || framing_ == Framing::kUntilEnd) {
      std::size_t take = in.size() - at;
      if (data) take = static_cast<std::size_t>(std::min<std::uint64_t>(take, left_));
      if (message_.body.size() + take > body_limit_) return false;
      message_.body.append(in, at, take);
      at += take;
      left_ -= data ? take : 0;
      if (!data || left_ > 0) return true;
      if (framing_ == Framing::kLength) state_ = State::kDone;
      framing_ = Framing::kChunkEnd;
      continue;
    }
    auto end = in.find("\r\n", at);
    if (end == std::string::npos) return in.size() - at <= kMaxChunkLine;
    if (end - at > kMaxChunkLine || !TakeChunkLine(std::string_view(in).substr(at, end - at))) return false;
    at = end + 2;
  }
  return true;
}

std::string Format(const HttpResponse& response, bool close) {
  std::string out =
      fmt::format("HTTP/1.1 {} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n", response.status,
                  Reason(response.status), response.type, response.body.size());
  for (const auto& [name, value] : response.headers)
    fmt::format_to(std::back_inserter(out), "{}: {}\r\n", name, value);
  if (close) out += "Connection: close\r\n";
  out += "\r\n";
  return out += response.body;
}

}  // namespace liftrudder::net
