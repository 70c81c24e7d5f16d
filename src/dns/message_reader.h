// Reads the fields of a DNS message (RFC 1035 section 4.1) in order. Pure; no locks.
#ifndef LIFTRUDDER_DNS_MESSAGE_READER_H_
#define LIFTRUDDER_DNS_MESSAGE_READER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "dns/zone.h"

namespace liftrudder::dns {

// After the first field that cannot be read, Failed() is true and every later field is 0, empty or the root
// name, so that a caller may check once for several fields.
class MessageReader {
 public:
  // `message` must outlive the reader; the first field to read is at `offset`.
  MessageReader(std::string_view message, std::size_t offset) : message_(message), offset_(offset) {}

  std::uint16_t ReadUint16() { return static_cast<std::uint16_t>(ReadInt(2)); }
  std::uint32_t ReadUint32() { return ReadInt(4); }
  std::string ReadBytes(std::size_t count);
  // Returns an absolute name in lower case; in the message it may be compressed.
  std::string ReadName();

  // Marks the message as malformed, for a field that can be read but is invalid.
  void Fail() { failed_ = true; }
  bool Failed() const { return failed_; }
  std::size_t Offset() const { return offset_; }
  bool AtEnd() const { return offset_ == message_.size(); }

 private:
  std::uint32_t ReadInt(int bytes);
  std::uint32_t ReadByte();

  std::string_view message_;
  std::size_t offset_;
  bool failed_ = false;
};

// A resource record of any class in a message.
struct ResourceRecord {
  Record record;
  std::uint16_t record_class = 0;
};

ResourceRecord ReadResourceRecord(MessageReader& reader);

}  // namespace liftrudder::dns

#endif  // LIFTRUDDER_DNS_MESSAGE_READER_H_
