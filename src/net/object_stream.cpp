#include "net/object_stream.h"

#include <fmt/format.h>

namespace liftrudder::net {

bool ObjectStream::Fail(std::string_view what, char byte) {
  error_ = fmt::format("{} (0x{:02x}) at byte {}", what, static_cast<unsigned char>(byte), seen_);
  return false;
}

// One byte; false where it can belong to no JSON object.
bool ObjectStream::Take(char c) {
  if (quoted_) {
    // No text holds a control byte: an end of line in one is the quote that was lost.
    if (static_cast<unsigned char>(c) < 0x20) return Fail("a control byte inside a text", c);
    quoted_ = escaped_ || c != '"';
    escaped_ = !escaped_ && c == '\\';
    return true;
  }
  bool blank = c == ' ' || c == '\n' || c == '\r' || c == '\t';
  if (depth_ == 0 && c != '{') return blank || Fail("neither a blank nor the beginning of an object", c);
  quoted_ = c == '"';
  depth_ += c == '{' || c == '[' ? 1 : 0;
  depth_ -= c == '}' || c == ']' ? 1 : 0;
  return true;
}

bool ObjectStream::Feed(std::string_view bytes, const OnObject& each) {
  if (!error_.empty()) return false;
  std::size_t from = 0;  // where the open object goes on in `bytes`
  for (std::size_t at = 0; at < bytes.size(); ++at, ++seen_) {
    bool outside = depth_ == 0;
    if (!Take(bytes[at])) return false;
    if (outside && depth_ == 0) continue;
    if (outside) from = at, size_ = 0;
    if (++size_ > most_) return Fail(fmt::format("an object of more than {} bytes", most_), bytes[at]);
    if (depth_ > 0) continue;
    std::string_view rest = bytes.substr(from, at + 1 - from);
    if (!object_.empty()) rest = object_.append(rest);
    each(rest);
    object_.clear();
  }
  if (depth_ > 0) object_.append(bytes.substr(from));
  return true;
}

}  // namespace liftrudder::net
