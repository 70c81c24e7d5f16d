#include "net/json_object_splitter.h"

#include <fmt/format.h>

namespace liftrudder::net {

bool JsonObjectSplitter::Fail(std::string_view what, char byte) {
  error_ =
      fmt::format("{}: byte 0x{:02x} at offset {}", what, static_cast<unsigned char>(byte), stream_bytes_);
  return false;
}

// Consumes one byte inside a string.
bool JsonObjectSplitter::ConsumeStringByte(char c) {
  constexpr unsigned char kFirstPrintable = 0x20;
  // Control characters are not allowed here, so a line break reveals a missing closing quote.
  if (static_cast<unsigned char>(c) < kFirstPrintable) return Fail("control character inside a string", c);
  bool closes = c == '"' && !after_backslash_;
  after_backslash_ = c == '\\' && !after_backslash_;
  in_string_ = !closes;
  return true;
}

// Consumes one byte; returns false if it cannot belong to a JSON object.
bool JsonObjectSplitter::ConsumeByte(char c) {
  if (in_string_) return ConsumeStringByte(c);
  bool white_space = c == ' ' || c == '\n' || c == '\r' || c == '\t';
  if (depth_ == 0 && c != '{') {
    return white_space || Fail("expected white space or the start of an object", c);
  }
  in_string_ = c == '"';
  if (c == '{' || c == '[') ++depth_;
  if (c == '}' || c == ']') --depth_;
  return true;
}

bool JsonObjectSplitter::Feed(std::string_view bytes, const OnObject& each) {
  if (!error_.empty()) return false;
  std::size_t begin = 0;  // where the open object begins or continues in `bytes`
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    bool was_open = open();
    if (!ConsumeByte(bytes[i])) return false;
    if (was_open || open()) {
      if (!was_open) {
        begin = i;
        object_bytes_ = 0;
      }
      ++object_bytes_;
      if (object_bytes_ > max_object_bytes_) {
        return Fail(fmt::format("object is longer than {} bytes", max_object_bytes_), bytes[i]);
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
