#include "simulator/byte_reader.h"

namespace liftrudder::simulator {

routing::EndpointId ByteReader::Endpoint(const char* field) {
  routing::EndpointId endpoint;
  endpoint.address = U32(field);
  endpoint.port = U16(field);
  return endpoint;
}

std::vector<double> ByteReader::Load(const char* field) {
  std::vector<double> load(U8(field));
  for (double& value : load) value = F32(field);
  return load;
}

std::string_view ByteReader::Bytes(std::size_t count, const char* field) {
  if (count > Remaining()) {
    Fail(std::string(field) + " needs " + std::to_string(count) + " bytes, only " +
         std::to_string(Remaining()) + " remain");
  }
  std::string_view bytes = bytes_.substr(position_, count);
  position_ += count;
  return bytes;
}

void ByteReader::ExpectEnd() const {
  if (Remaining() != 0) Fail(std::to_string(Remaining()) + " unexpected bytes at the end");
}

void ByteReader::Fail(const std::string& problem) const {
  throw WireError(context_ + " at byte " + std::to_string(Offset()) + ": " + problem);
}

}  // namespace liftrudder::simulator
