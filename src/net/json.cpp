#include "net/json.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <iterator>

namespace liftrudder::net::json {
namespace {

constexpr int kMaxDepth = 64;  // stacks are small

void SkipBlanks(std::string_view& in) {
  auto at = in.find_first_not_of(" \t\r\n");
  in.remove_prefix(at == std::string_view::npos ? in.size() : at);
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool SkipString(std::string_view& in) {
  for (std::size_t i = 1; i < in.size(); ++i) {
    auto c = static_cast<unsigned char>(in[i]);
    if (c == '"') {
      in.remove_prefix(i + 1);
      return true;
    }
    if (c < 0x20) return false;
    if (c != '\\') continue;
    if (++i >= in.size() || std::string_view("\"\\/bfnrtu").find(in[i]) == std::string_view::npos)
      return false;
    if (in[i] != 'u') continue;
    for (int k = 0; k < 4; ++k) {
      if (++i >= in.size() ||
          std::string_view("0123456789abcdefABCDEF").find(in[i]) == std::string_view::npos) {
        return false;
      }
    }
  }
  return false;
}

bool SkipDigits(std::string_view& in) {
  std::size_t n = 0;
  while (n < in.size() && IsDigit(in[n])) ++n;
  in.remove_prefix(n);
  return n > 0;
}

bool SkipNumber(std::string_view& in) {
  if (in.starts_with('-')) in.remove_prefix(1);
  if (in.size() > 1 && in[0] == '0' && IsDigit(in[1])) return false;
  if (!SkipDigits(in)) return false;
  if (in.starts_with('.')) {
    in.remove_prefix(1);
    if (!SkipDigits(in)) return false;
  }
  if (in.starts_with('e') || in.starts_with('E')) {
    in.remove_prefix(1);
    if (in.starts_with('+') || in.starts_with('-')) in.remove_prefix(1);
    if (!SkipDigits(in)) return false;
  }
  return true;
}

bool SkipValue(std::string_view& in, int depth);

// The inside of an object or array, from its opening to its closing bracket.
template <typename Each>
bool Walk(std::string_view& in, char close, Each&& each) {
  in.remove_prefix(1);
  SkipBlanks(in);
  if (in.starts_with(close)) {
    in.remove_prefix(1);
    return true;
  }
  while (true) {
    if (!each()) return false;
    SkipBlanks(in);
    if (in.empty()) return false;
    char c = in.front();
    in.remove_prefix(1);
    if (c == close) return true;
    if (c != ',') return false;
    SkipBlanks(in);
  }
}

// A key and its colon; the key as it stands between its quotes.
bool TakeKey(std::string_view& in, std::string_view& key) {
  std::string_view from = in;
  if (!in.starts_with('"') || !SkipString(in)) return false;
  key = from.substr(1, from.size() - in.size() - 2);
  SkipBlanks(in);
  if (!in.starts_with(':')) return false;
  in.remove_prefix(1);
  SkipBlanks(in);
  return true;
}

bool SkipValue(std::string_view& in, int depth) {
  if (in.empty() || depth > kMaxDepth) return false;
  switch (in.front()) {
    case '"':
      return SkipString(in);
    case '{':
      return Walk(in, '}', [&] {
        std::string_view key;
        return TakeKey(in, key) && SkipValue(in, depth + 1);
      });
    case '[':
      return Walk(in, ']', [&] { return SkipValue(in, depth + 1); });
    default:
      for (std::string_view word : {"true", "false", "null"}) {
        if (!in.starts_with(word)) continue;
        in.remove_prefix(word.size());
        return true;
      }
      return SkipNumber(in);
  }
}

void AppendUtf8(std::string& out, std::uint32_t code) {
  auto put = [&out](std::uint32_t byte) { out.push_back(static_cast<char>(byte)); };
  if (code < 0x80) {
    put(code);
  } else if (code < 0x800) {
    put(0xc0 | code >> 6);
    put(0x80 | (code & 0x3f));
  } else if (code < 0x10000) {
    put(0xe0 | code >> 12);
    put(0x80 | (code >> 6 & 0x3f));
    put(0x80 | (code & 0x3f));
  } else {
    put(0xf0 | code >> 18);
    put(0x80 | (code >> 12 & 0x3f));
    put(0x80 | (code >> 6 & 0x3f));
    put(0x80 | (code & 0x3f));
  }
}

std::uint32_t Hex4(std::string_view text) {
  std::uint32_t code = 0;
  std::from_chars(text.data(), text.data() + std::min<std::size_t>(4, text.size()), code, 16);
  return code;
}

}  // namespace

std::optional<std::string_view> Take(std::string_view& in) {
  SkipBlanks(in);
  std::string_view from = in;
  if (!SkipValue(in, 0)) return std::nullopt;
  std::string_view value = from.substr(0, from.size() - in.size());
  SkipBlanks(in);
  return value;
}

bool Valid(std::string_view text) { return Take(text) && text.empty(); }

bool JsonMembers(std::string_view object, const OnMember& each) {
  SkipBlanks(object);
  if (!object.starts_with('{')) return false;
  bool ok = Walk(object, '}', [&] {
    std::string_view key;
    if (!TakeKey(object, key)) return false;
    auto value = Take(object);
    return value && each(key, *value);
  });
  SkipBlanks(object);
  return ok && object.empty();
}

bool Elements(std::string_view array, const OnElement& each) {
  SkipBlanks(array);
  if (!array.starts_with('[')) return false;
  bool ok = Walk(array, ']', [&] {
    auto value = Take(array);
    return value && each(*value);
  });
  SkipBlanks(array);
  return ok && array.empty();
}

std::string_view Get(std::string_view object, std::string_view key) {
  std::string_view found;
  JsonMembers(object, [&](std::string_view name, std::string_view value) {
    if (name == key) found = value;
    return true;
  });
  return found;
}

std::optional<std::string_view> RawString(std::string_view value) {
  if (value.size() < 2 || value.front() != '"') return std::nullopt;
  return value.substr(1, value.size() - 2);
}

std::optional<std::string> String(std::string_view value) {
  auto raw = RawString(value);
  if (!raw) return std::nullopt;
  std::string out;
  for (std::size_t i = 0; i < raw->size(); ++i) {
    if ((*raw)[i] != '\\') {
      out.push_back((*raw)[i]);
      continue;
    }
    char c = (*raw)[++i];
    if (c != 'u') {
      constexpr std::string_view kFrom = "bfnrt", kTo = "\b\f\n\r\t";
      auto at = kFrom.find(c);
      out.push_back(at == std::string_view::npos ? c : kTo[at]);
      continue;
    }
    std::uint32_t code = Hex4(raw->substr(i + 1));
    i += 4;
    if (code >= 0xd800 && code < 0xdc00 && raw->substr(i + 1, 2) == "\\u") {
      std::uint32_t low = Hex4(raw->substr(i + 3));
      if (low >= 0xdc00 && low < 0xe000) {
        code = 0x10000 + ((code - 0xd800) << 10) + (low - 0xdc00);
        i += 6;
      }
    }
    AppendUtf8(out, code);
  }
  return out;
}

std::optional<double> Number(std::string_view value) {
  double out = 0;
  auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), out);
  if (value.empty() || error != std::errc() || end != value.data() + value.size() || !std::isfinite(out))
    return std::nullopt;
  return out;
}

std::optional<std::int64_t> Integer(std::string_view value) {
  std::int64_t out = 0;
  auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), out);
  if (value.empty() || error != std::errc() || end != value.data() + value.size()) return std::nullopt;
  return out;
}

std::optional<bool> Bool(std::string_view value) {
  if (value == "true") return true;
  if (value == "false") return false;
  return std::nullopt;
}

std::string Quote(std::string_view text) {
  std::string out = "\"";
  for (char c : text) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      fmt::format_to(std::back_inserter(out), "\\u{:04x}", static_cast<unsigned>(c));
    } else {
      out.push_back(c);
    }
  }
  return out += '"';
}

}  // namespace liftrudder::net::json
