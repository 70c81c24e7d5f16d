#include "dns/zone.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <span>
#include <stdexcept>
#include <utility>

namespace liftrudder::dns {
namespace {

constexpr std::size_t kMaxLabel = 63, kMaxName = 255;

std::string Lower(std::string_view text) {
  std::string out(text);
  std::ranges::transform(out, out.begin(),
                         [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; });
  return out;
}

template <typename T>
T Whole(std::string_view text) {
  T out{};
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    throw std::runtime_error(fmt::format("'{}' is not a number that fits", text));
  return out;
}

void Put(std::string& out, std::uint32_t value, int bytes) {
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>(value >> shift & 0xff));
}

struct Entry {         // one record's words
  bool owner = false;  // the first word is its name
  std::size_t line = 0;
  std::vector<std::string> words;
};

std::vector<Entry> Split(std::string_view text) {
  std::vector<Entry> out;
  Entry entry;
  std::size_t line = 1;
  int depth = 0;
  bool at_start = true;
  for (std::size_t i = 0; i <= text.size(); ++i) {
    char c = i < text.size() ? text[i] : '\n';
    if (c == ';') {
      while (i + 1 < text.size() && text[i + 1] != '\n') ++i;
      continue;
    }
    if (c == '\n') {
      if (depth == 0 && !entry.words.empty()) out.push_back(std::exchange(entry, {}));
      if (depth == 0) entry = {};
      ++line;
      at_start = depth == 0;
      continue;
    }
    if (c == '(' || c == ')') {
      depth += c == '(' ? 1 : -1;
      if (depth < 0) throw std::runtime_error(fmt::format("zone, line {}: ')' without '('", line));
    } else if (c != ' ' && c != '\t' && c != '\r') {
      if (entry.words.empty()) {
        entry.owner = at_start;
        entry.line = line;
      }
      std::string word;
      if (c == '"') {
        auto end = text.find('"', i + 1);
        if (end == std::string_view::npos)
          throw std::runtime_error(fmt::format("zone, line {}: open quote", line));
        word = text.substr(i + 1, end - i - 1);
        i = end;
      } else {
        auto end = std::min(text.find_first_of(" \t\r\n;()", i), text.size());
        word = text.substr(i, end - i);
        i = end - 1;
      }
      entry.words.push_back(std::move(word));
    }
    at_start = false;
  }
  if (depth != 0) throw std::runtime_error("zone: '(' without ')'");
  return out;
}

std::string Absolute(std::string_view name, const std::string& origin) {
  if (name == "@") return origin;
  if (name.ends_with('.')) return Lower(name);
  return Lower(name) + "." + (origin == "." ? "" : origin);
}

std::string NeedWire(const std::string& name) {
  auto wire = WireName(name);
  if (!wire) throw std::runtime_error("'" + name + "' is no name");
  return *wire;
}

std::string Data(std::uint16_t type, std::span<const std::string> words, const std::string& origin) {
  auto need = [&words](std::size_t count) {
    if (words.size() != count) throw std::runtime_error(fmt::format("{} fields expected", count));
  };
  std::string out;
  switch (type) {
    case kTypeA: {
      need(1);
      in_addr addr{};
      if (inet_pton(AF_INET, words[0].c_str(), &addr) != 1) throw std::runtime_error("no IPv4 address");
      return std::string(reinterpret_cast<const char*>(&addr), 4);
    }
    case kTypeNs:
      need(1);
      return NeedWire(Absolute(words[0], origin));
    case kTypeTxt:
      for (const std::string& word : words) {
        if (word.size() > 255) throw std::runtime_error("a TXT string is too long");
        Put(out, static_cast<std::uint32_t>(word.size()), 1);
        out += word;
      }
      return out;
    case kTypeSrv:
      need(4);
      for (std::size_t i = 0; i < 3; ++i) Put(out, Whole<std::uint16_t>(words[i]), 2);
      return out + NeedWire(Absolute(words[3], origin));
    default:  // SOA
      need(7);
      out = NeedWire(Absolute(words[0], origin)) + NeedWire(Absolute(words[1], origin));
      for (std::size_t i = 2; i < 7; ++i) Put(out, Whole<std::uint32_t>(words[i]), 4);
      return out;
  }
}

std::optional<std::uint16_t> Type(std::string_view word) {
  static const std::map<std::string, std::uint16_t, std::less<>> kTypes = {
      {"a", kTypeA}, {"ns", kTypeNs}, {"soa", kTypeSoa}, {"txt", kTypeTxt}, {"srv", kTypeSrv}};
  auto found = kTypes.find(Lower(word));
  return found == kTypes.end() ? std::nullopt : std::optional(found->second);
}

Record ReadRecord(const Entry& entry, const std::string& origin, std::uint32_t ttl, std::string& owner) {
  std::size_t at = 0;
  if (entry.owner) owner = Absolute(entry.words[at++], origin);
  Record record{owner, 0, ttl, {}};
  for (; at < entry.words.size(); ++at) {
    const std::string& word = entry.words[at];
    if (Lower(word) == "in") continue;
    if (std::ranges::all_of(word, [](char c) { return c >= '0' && c <= '9'; })) {
      record.ttl = Whole<std::uint32_t>(word);
      continue;
    }
    auto type = Type(word);
    if (!type) throw std::runtime_error("type '" + word + "' is not supported");
    record.type = *type;
    record.data = Data(*type, std::span(entry.words).subspan(at + 1), origin);
    return record;
  }
  throw std::runtime_error("a record without a type");
}

std::string NameText(std::string_view wire) {
  std::string out;
  while (!wire.empty() && wire.front() != 0) {
    auto size = static_cast<std::size_t>(static_cast<unsigned char>(wire.front()));
    out.append(wire.substr(1, size)).push_back('.');
    wire.remove_prefix(std::min(wire.size(), size + 1));
  }
  return out.empty() ? "." : Lower(out);
}

// The value of KEY in TXT strings of the form KEY=VALUE.
std::optional<std::int64_t> Note(const Zone& zone, const std::string& name, std::string_view key) {
  for (const Record& record : zone.records) {
    if (record.name != name || record.type != kTypeTxt) continue;
    for (std::string_view rest = record.data; !rest.empty();) {
      auto size = static_cast<std::size_t>(static_cast<unsigned char>(rest.front()));
      std::string_view text = rest.substr(1, size);
      rest.remove_prefix(std::min(rest.size(), size + 1));
      if (!text.starts_with(key) || text.substr(key.size(), 1) != "=") continue;
      text.remove_prefix(key.size() + 1);
      std::int64_t value = 0;
      if (std::from_chars(text.data(), text.data() + text.size(), value).ptr == text.data() + text.size())
        return value;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> WireName(std::string_view name) {
  std::string out;
  if (name == ".") return std::string(1, '\0');
  while (!name.empty()) {
    auto dot = name.find('.');
    if (dot == std::string_view::npos || dot == 0 || dot > kMaxLabel) return std::nullopt;
    out.push_back(static_cast<char>(dot));
    out.append(name.substr(0, dot));
    name.remove_prefix(dot + 1);
  }
  out.push_back('\0');
  return out.size() <= kMaxName ? std::optional(out) : std::nullopt;
}

bool Zone::Holds(std::string_view name) const {
  return origin == "." || name == origin || name.ends_with("." + origin);
}

Zone ParseZone(std::string_view text) {
  Zone zone;
  std::string origin = ".", owner;
  std::uint32_t ttl = 0;
  for (const Entry& entry : Split(text)) {
    try {
      std::string first = Lower(entry.words[0]);
      if (first.starts_with('$')) {
        if (entry.words.size() != 2 || (first != "$origin" && first != "$ttl"))
          throw std::runtime_error("'" + first + "' is not supported");
        if (first == "$origin") {
          origin = Absolute(entry.words[1], origin);
        } else {
          ttl = Whole<std::uint32_t>(entry.words[1]);
        }
        continue;
      }
      Record record = ReadRecord(entry, origin, ttl, owner);
      if (record.type == kTypeSoa) zone.origin = record.name;
      zone.records.push_back(std::move(record));
    } catch (const std::runtime_error& error) {
      throw std::runtime_error(fmt::format("zone, line {}: {}", entry.line, error.what()));
    }
  }
  if (zone.origin.empty()) throw std::runtime_error("zone: no SOA record");
  for (const Record& record : zone.records) {
    if (!zone.Holds(record.name)) throw std::runtime_error("zone: '" + record.name + "' is not in it");
  }
  return zone;
}

std::map<std::string, coordinator::EndpointEntry> Holders(const Zone& zone, const std::string& service) {
  std::map<std::string, coordinator::EndpointEntry> out;
  for (const Record& record : zone.records) {
    if (record.type != kTypeSrv || record.name != service || record.data.size() < 7) continue;
    coordinator::EndpointEntry entry;
    entry.id = NameText(std::string_view(record.data).substr(6));
    auto address = std::ranges::find_if(zone.records, [&entry](const Record& other) {
      return other.type == kTypeA && other.name == entry.id;
    });
    auto cell = Note(zone, entry.id, "cell");
    if (address == zone.records.end() || !cell) continue;
    auto byte = [](std::string_view data, std::size_t i) { return static_cast<unsigned char>(data[i]); };
    const std::string& ip = address->data;
    entry.addr = fmt::format("{}.{}.{}.{}:{}", byte(ip, 0), byte(ip, 1), byte(ip, 2), byte(ip, 3),
                             byte(record.data, 4) << 8 | byte(record.data, 5));
    entry.endpoint.cell = static_cast<int>(std::clamp<std::int64_t>(*cell, 0, 65535));
    entry.endpoint.started_us = 1000 * Note(zone, entry.id, "started_ms").value_or(0);
    out[entry.id] = std::move(entry);
  }
  return out;
}

}  // namespace liftrudder::dns
