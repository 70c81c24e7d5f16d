#include "identity/base64url.h"

#include <cstdint>

namespace liftrudder::identity {
namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

}  // namespace

std::optional<std::string> DecodeBase64Url(std::string_view text) {
  if (text.size() % 4 == 1) return std::nullopt;
  std::string out;
  out.reserve(text.size() * 3 / 4);
  std::uint32_t bits = 0;
  int count = 0;
  for (char c : text) {
    auto value = kAlphabet.find(c);
    if (value == std::string_view::npos || c == '\0') return std::nullopt;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 0xff);
    }
  }
  if ((bits & ((1U << count) - 1)) != 0) return std::nullopt;
  return out;
}

std::string EncodeBase64Url(std::string_view bytes) {
  std::string out;
  std::uint32_t bits = 0;
  int count = 0;
  for (unsigned char c : bytes) {
    bits = bits << 8 | c;
    count += 8;
    while (count >= 6) {
      count -= 6;
      out += kAlphabet[bits >> count & 0x3f];
    }
  }
  if (count > 0) out += kAlphabet[bits << (6 - count) & 0x3f];
  return out;
}

}  // namespace liftrudder::identity
