// Reads the fields of a frame: big-endian integers, floats, byte strings. A field that does not fit in the
// remaining bytes raises a WireError that names the field and the byte offset. Not thread-safe.
#ifndef LIFTRUDDER_SIMULATOR_BYTE_READER_H_
#define LIFTRUDDER_SIMULATOR_BYTE_READER_H_

#include <bit>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "routing/types.h"

namespace liftrudder::simulator {

// A malformed frame; the message names the problem and, where known, its byte offset in the frame.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// `field` is the name of the field in error messages.
class ByteReader {
 public:
  // `bytes` begin at byte `offset` of the frame; `context` names them in error messages.
  ByteReader(std::string_view bytes, std::size_t offset, std::string context)
      : bytes_(bytes), offset_(offset), context_(std::move(context)) {}

  template <std::unsigned_integral T>
  T Integer(const char* field) {
    T value = 0;
    for (char c : Bytes(sizeof(T), field)) {
      value = static_cast<T>((value << 8) | static_cast<unsigned char>(c));
    }
    return value;
  }
  std::uint8_t U8(const char* field) { return Integer<std::uint8_t>(field); }
  std::uint16_t U16(const char* field) { return Integer<std::uint16_t>(field); }
  std::uint32_t U32(const char* field) { return Integer<std::uint32_t>(field); }
  std::uint64_t U64(const char* field) { return Integer<std::uint64_t>(field); }
  float F32(const char* field) { return std::bit_cast<float>(U32(field)); }
  routing::EndpointId Endpoint(const char* field);
  std::vector<double> Load(const char* field);
  std::string_view Bytes(std::size_t count, const char* field);

  std::size_t Remaining() const { return bytes_.size() - position_; }
  std::size_t Offset() const { return offset_ + position_; }
  // Throws WireError when bytes remain.
  void ExpectEnd() const;
  [[noreturn]] void Fail(const std::string& problem) const;

 private:
  std::string_view bytes_;
  std::size_t offset_;
  std::size_t position_ = 0;
  std::string context_;
};

}  // namespace liftrudder::simulator

#endif  // LIFTRUDDER_SIMULATOR_BYTE_READER_H_
