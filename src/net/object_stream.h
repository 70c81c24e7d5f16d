// Splits a stream of JSON objects into complete ones by their brackets and quotes. Objects may be separated
// by any white space, span lines, and arrive in pieces cut at any byte. It checks no more of their content
// than that needs. No I/O, no threads; it buffers one object at most.
#ifndef LIFTRUDDER_NET_OBJECT_STREAM_H_
#define LIFTRUDDER_NET_OBJECT_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace liftrudder::net {

class ObjectStream {
 public:
  explicit ObjectStream(std::size_t max_object_bytes) : max_object_bytes_(max_object_bytes) {}

  using OnObject = std::function<void(std::string_view object)>;
  // Calls `each` for every object that these bytes complete; its text is valid during the call. False once a
  // byte belongs to no object or an object is too long: the rest of the stream cannot be split any more.
  bool Feed(std::string_view bytes, const OnObject& each);
  // What was wrong and at which byte of the stream; empty while nothing is.
  const std::string& error() const { return error_; }
  // Whether an object has begun and is not complete.
  bool open() const { return depth_ > 0; }

 private:
  bool Fail(std::string_view what, char byte);
  bool Take(char c);
  bool TakeQuoted(char c);

  const std::size_t max_object_bytes_;
  std::string buffer_;  // the open object's bytes of earlier calls
  std::uint64_t stream_bytes_ = 0;
  std::size_t object_bytes_ = 0;  // of the open object
  int depth_ = 0;                 // of brackets
  bool quoted_ = false;
  bool escaped_ = false;
  std::string error_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_OBJECT_STREAM_H_
