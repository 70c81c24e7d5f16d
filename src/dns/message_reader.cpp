#include "dns/message_reader.h"

#include <optional>

namespace liftrudder::dns {
namespace {

// RFC 1035 section 4.1.4: a length byte with both of these bits set starts a pointer of 14 bits.
constexpr std::uint32_t kPointerBits = 0xc0;
constexpr std::uint32_t kPointerHighMask = 0x3f;
constexpr int kMaxPointers = 32;  // a name with more is rejected as a loop
constexpr std::size_t kSrvFixedBytes = 6;

}  // namespace

std::uint32_t MessageReader::ReadByte() {
  if (failed_ || offset_ >= message_.size()) {
    failed_ = true;
    return 0;
  }
  return static_cast<unsigned char>(message_[offset_++]);
}

std::uint32_t MessageReader::ReadInt(int bytes) {
  std::uint32_t value = 0;
  for (int i = 0; i < bytes; ++i) value = value << 8 | ReadByte();
  return value;
}

std::string MessageReader::ReadBytes(std::size_t count) {
  if (failed_ || count > message_.size() - offset_) {
    failed_ = true;
    return {};
  }
  std::string bytes(message_.substr(offset_, count));
  offset_ += count;
  return bytes;
}

std::string MessageReader::ReadName() {
  std::string name;
  std::optional<std::size_t> after_first_pointer;
  int pointers = 0;
  while (!failed_) {
    std::uint32_t size = ReadByte();
    if (size == 0) break;
    if (size >= kPointerBits) {
      std::size_t target = (size & kPointerHighMask) << 8 | ReadByte();
      ++pointers;
      if (pointers > kMaxPointers || target >= message_.size()) Fail();
      if (!after_first_pointer) after_first_pointer = offset_;
      offset_ = target;
      continue;
    }
    // A name is one byte shorter in text than in wire form.
    if (size > kMaxLabelBytes || name.size() + size > kMaxNameBytes - 1) Fail();
    name += ToLower(ReadBytes(size));
    name.push_back('.');
  }
  if (after_first_pointer) offset_ = *after_first_pointer;
  return name.empty() ? "." : name;
}

ResourceRecord ReadResourceRecord(MessageReader& reader) {
  ResourceRecord out;
  out.record.name = reader.ReadName();
  out.record.type = reader.ReadUint16();
  out.record_class = reader.ReadUint16();
  out.record.ttl = reader.ReadUint32();
  std::size_t size = reader.ReadUint16();
  std::size_t end = reader.Offset() + size;
  if (out.record.type != kTypeSrv || size == 0) {
    out.record.data = reader.ReadBytes(size);
    return out;
  }
  // The target may be compressed; the zone keeps names uncompressed, so that equal records compare equal.
  out.record.data = reader.ReadBytes(kSrvFixedBytes);
  out.record.data += WireName(reader.ReadName()).value_or("");
  if (reader.Offset() != end) reader.Fail();
  return out;
}

}  // namespace liftrudder::dns
