#include "net/object_stream.h"

#include <fmt/format.h>

namespace liftrudder::net {

bool ObjectStream::Fail(std::string_view what, char byte) {
  error_ = fmt::format("{} (0x{:02x}) at byte {}", what, static_cast<unsigned char>(byte), stream_bytes_);
  return false;
}

// Takes one byte inside a string.
bool ObjectStream::TakeQuoted(char c) {
  constexpr unsigned char kFirstPrintable = 0x20;
  // A control byte is not allowed here, so a line end shows that a closing quote was lost.
  if (static_cast<unsigned char>(c) < kFirstPrintable) return Fail("a control byte inside a text", c);
  bool closes = c == '"' && !escaped_;
  escaped_ = c == '\\' && !escaped_;
  quoted_ = !closes;
  return true;
}

// Takes one byte; false when it cannot belong to a JSON object.
bool ObjectStream::Take(char c) {
  if (quoted_) return TakeQuoted(c);
  bool white_space = c == ' ' || c == '\n' || c == '\r' || c == '\t';
  if (depth_ == 0 && c != '{') {
    return white_space || Fail("neither a blank nor the beginning of an object", c);
  }
  quoted_ = c == '"';
  if (c == '{' || c == '[') ++depth_;
  if (c == '}' || c == ']') --depth_;
  return true;
}

bool ObjectStream::Feed(std::string_view bytes, const OnObject& each) {
  if (!error_.empty()) return false;
  std::size_t begin = 0;  // where the open object continues in `bytes`
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bool was_open = open();
    if (!Take(bytes[i])) return false;
    if (was_open || open()) {
      if (!was_open) {
        begin = i;
        object_bytes_ = 0;
      }
      ++object_bytes_;
      if (object_bytes_ > max_object_bytes_) {
        return Fail(fmt::format("an object of more than {} bytes", max_object_bytes_), bytes[i]);
      }
      if (!open()) {
        std::string_view object = bytes.substr(begin, i + 1 - begin);
        if (!buffer_.empty()) object = buffer_.append(object);
        each(object);
        buffer_.clear();
      }
    }
    ++stream_bytes_;
  }
  if (open()) buffer_.append(bytes.substr(begin));
  return true;
}

}  // namespace liftrudder::net
