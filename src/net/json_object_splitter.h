// Splits a stream of JSON objects into complete objects by their brackets and quotes. Objects may be
// separated by any white space, span lines, and arrive in pieces split at any byte. Their content is checked
// only as far as that requires. No I/O, no threads; buffers at most one object.
#ifndef LIFTRUDDER_NET_JSON_OBJECT_SPLITTER_H_
#define LIFTRUDDER_NET_JSON_OBJECT_SPLITTER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace liftrudder::net {

class JsonObjectSplitter {
 public:
  explicit JsonObjectSplitter(std::size_t max_object_bytes) : max_object_bytes_(max_object_bytes) {}

  using OnObject = std::function<void(std::string_view object)>;
  // Calls `each` for every object that these bytes complete; its text is valid during the call. Returns false
  // after a byte outside an object, a control character in a string or an object that is too long: the rest
  // of the stream can no longer be split.
  bool Feed(std::string_view bytes, const OnObject& each);
  // The error and its offset in the stream; empty if there is none.
  const std::string& error() const { return error_; }
  // Whether an object has begun and is not complete.
  bool open() const { return depth_ > 0; }

 private:
  bool Fail(std::string_view what, char byte);
  bool ConsumeByte(char c);
  bool ConsumeStringByte(char c);

  const std::size_t max_object_bytes_;
  std::string buffer_;  // bytes of the open object from earlier calls
  std::uint64_t stream_bytes_ = 0;
  std::size_t object_bytes_ = 0;  // of the open object
  int depth_ = 0;                 // of brackets
  bool in_string_ = false;
  bool after_backslash_ = false;
  std::string error_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_JSON_OBJECT_SPLITTER_H_
