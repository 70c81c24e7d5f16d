#include "scenario/text.h"

namespace liftrudder::tests {
namespace {

constexpr std::size_t kLengthBytes = 4;

}  // namespace

std::string Unescape(std::string_view text) {
  std::string bytes;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '\\' || i + 1 >= text.size()) {
      bytes += text[i];
      continue;
    }
    const char c = text[++i];
    if (c == 'x') {
      bytes += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else if (c == 'r') {
      bytes += '\r';
    } else {
      bytes += c == 'n' ? '\n' : c;
    }
  }
  return bytes;
}

bool MatchesGlob(std::string_view glob, std::string_view text) {
  const auto star = glob.find('*');
  if (star == std::string_view::npos) return glob == text;
  if (text.substr(0, star) != glob.substr(0, star)) return false;
  for (std::size_t position = star; position <= text.size(); ++position) {
    if (MatchesGlob(glob.substr(star + 1), text.substr(position))) return true;
  }
  return false;
}

std::string Frame(std::string_view content) {
  std::string frame;
  for (std::size_t i = 0; i < kLengthBytes; ++i) frame += static_cast<char>(content.size() >> (8 * i) & 0xff);
  return frame.append(content);
}

std::size_t FrameSize(std::string_view bytes) {
  std::size_t size = 0;
  for (std::size_t i = kLengthBytes; i-- > 0;) size = size << 8 | static_cast<unsigned char>(bytes[i]);
  return size;
}

std::string HttpRequest(const std::string& method, const std::string& target, const std::string& headers,
                        const std::string& body) {
  return method + " " + target + " HTTP/1.1\r\nHost: t\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string QueryHeaders(const std::string& call_id, const std::string& class_name,
                         const std::string& timeout_seconds) {
  return "X-Call-Id: " + call_id + "\r\nX-Call-Class: " + class_name + "\r\nX-Budget: " + timeout_seconds +
         "\r\n";
}

std::string LoggedTextAfter(const std::string& log, const std::string& prefix) {
  const auto position = log.find(prefix);
  const auto end = position == std::string::npos ? position : log.find('\n', position);
  return end == std::string::npos ? "" : log.substr(position + prefix.size(), end - position - prefix.size());
}

}  // namespace liftrudder::tests
