#include "dns/zone.h"

#include <algorithm>

namespace liftrudder::dns {

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::ranges::transform(lower, lower.begin(),
                         [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return lower;
}

bool Zone::Contains(std::string_view name) const {
  return origin == "." || name == origin || name.ends_with("." + origin);
}

std::optional<std::string> WireName(std::string_view name) {
  if (name == ".") return std::string(1, '\0');
  std::string wire;
  while (!name.empty()) {
    auto dot = name.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot > kMaxLabelBytes) return std::nullopt;
    wire.push_back(static_cast<char>(dot));
    wire.append(name.substr(0, dot));
    name.remove_prefix(dot + 1);
  }
  wire.push_back('\0');
  if (wire.size() > kMaxNameBytes) return std::nullopt;
  return wire;
}

std::string NameFromWire(std::string_view wire) {
  std::string name;
  while (!wire.empty() && wire.front() != 0) {
    std::size_t size = static_cast<unsigned char>(wire.front());
    name.append(wire.substr(1, size)).push_back('.');
    wire.remove_prefix(std::min(wire.size(), size + 1));
  }
  return name.empty() ? "." : ToLower(name);
}

}  // namespace liftrudder::dns
