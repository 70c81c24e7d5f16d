// Cuts a stream of JSON objects into whole ones, by their brackets and quotes: they may stand on one line or
// on many, with blanks and empty lines anywhere between them, and come cut at any byte. Judges no more of
// what is inside than it needs for that. No thread, no I/O; one object is kept at most, bounded by who makes
// it.
#ifndef LIFTRUDDER_NET_OBJECT_STREAM_H_
#define LIFTRUDDER_NET_OBJECT_STREAM_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace liftrudder::net {

class ObjectStream {
 public:
  // `most`: bytes of one object.
  explicit ObjectStream(std::size_t most) : most_(most) {}

  using OnObject = std::function<void(std::string_view object)>;
  // Calls for each object that is whole now; its text is good until the call returns. False once something
  // came that belongs to no object, or to one that is too long: what follows has no beginning any more.
  bool Feed(std::string_view bytes, const OnObject& each);
  // What was wrong and at which byte of the stream; empty while nothing is.
  const std::string& error() const { return error_; }
  // An object has begun and is not whole.
  bool open() const { return depth_ > 0; }

 private:
  bool Fail(std::string_view what, char byte);
  bool Take(char c);

  const std::size_t most_;
  std::string object_;      // what came of the one that is open, before this call
  std::uint64_t seen_ = 0;  // bytes of the whole stream
  std::size_t size_ = 0;    // of the open object
  int depth_ = 0;
  bool quoted_ = false, escaped_ = false;
  std::string error_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_OBJECT_STREAM_H_
