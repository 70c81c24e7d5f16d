#include "net/json.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>

namespace liftrudder::net::json {
namespace {

constexpr int kMaxDepth = 64;  // of nested values; bounded because threads have small stacks

void SkipWhiteSpace(std::string_view& in) {
  auto first = in.find_first_not_of(" \t\r\n");
  in.remove_prefix(std::min(first, in.size()));
}

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsHexDigit(char c) { return IsDigit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F'); }

// The length of the escape sequence at the front, which begins with a backslash; 0 when it is malformed.
std::size_t EscapeLength(std::string_view text) {
  constexpr std::string_view kShortEscapes = "\"\\/bfnrt";
  constexpr std::size_t kShortLength = 2;
  constexpr std::size_t kUnicodeLength = 6;
  if (text.size() < kShortLength) return 0;
  if (kShortEscapes.find(text[1]) != std::string_view::npos) return kShortLength;
  if (text[1] != 'u' || text.size() < kUnicodeLength) return 0;
  bool valid = std::ranges::all_of(text.substr(2, 4), IsHexDigit);
  return valid ? kUnicodeLength : 0;
}

// Skips the string at the front, starting at its opening quote.
bool SkipString(std::string_view& in) {
  constexpr unsigned char kFirstPrintable = 0x20;
  std::size_t i = 1;
  while (i < in.size()) {
    auto c = static_cast<unsigned char>(in[i]);
    if (c == '"') {
      in.remove_prefix(i + 1);
      return true;
    }
    if (c < kFirstPrintable) return false;
    std::size_t length = c == '\\' ? EscapeLength(in.substr(i)) : 1;
    if (length == 0) return false;
    i += length;
  }
  return false;
}

bool SkipDigits(std::string_view& in) {
  std::size_t count = 0;
  while (count < in.size() && IsDigit(in[count])) ++count;
  in.remove_prefix(count);
  return count > 0;
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

// Skips an object or array, including its brackets; `consume_item` consumes one member or element.
template <typename ConsumeItem>
bool ForEachItem(std::string_view& in, char close, const ConsumeItem& consume_item) {
  in.remove_prefix(1);
  SkipWhiteSpace(in);
  if (in.starts_with(close)) {
    in.remove_prefix(1);
    return true;
  }
  while (true) {
    if (!consume_item()) return false;
    SkipWhiteSpace(in);
    if (in.empty()) return false;
    char c = in.front();
    in.remove_prefix(1);
    if (c == close) return true;
    if (c != ',') return false;
    SkipWhiteSpace(in);
  }
}

// Removes a key and its colon from the front. Returns the key with its escapes; nullopt if it is malformed.
std::optional<std::string_view> TakeKey(std::string_view& in) {
  std::string_view before = in;
  if (!in.starts_with('"') || !SkipString(in)) return std::nullopt;
  std::string_view key = before.substr(1, before.size() - in.size() - 2);
  SkipWhiteSpace(in);
  if (!in.starts_with(':')) return std::nullopt;
  in.remove_prefix(1);
  SkipWhiteSpace(in);
  return key;
}

bool SkipValue(std::string_view& in, int depth) {
  if (in.empty() || depth > kMaxDepth) return false;
  switch (in.front()) {
    case '"':
      return SkipString(in);
    case '{':
      return ForEachItem(in, '}', [&] { return TakeKey(in).has_value() && SkipValue(in, depth + 1); });
    case '[':
      return ForEachItem(in, ']', [&] { return SkipValue(in, depth + 1); });
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

// Parses up to four hexadecimal digits at the front.
std::uint32_t Hex4(std::string_view text) {
  std::uint32_t code = 0;
  std::from_chars(text.data(), text.data() + std::min<std::size_t>(4, text.size()), code, 16);
  return code;
}

void RemovePrefix(std::string_view& text, std::size_t count) {
  text.remove_prefix(std::min(count, text.size()));
}

// Decodes a \u escape whose `\u` has already been removed: removes its four digits, and the second escape of
// a surrogate pair, from the front. Returns the code point.
std::uint32_t TakeCodePoint(std::string_view& text) {
  constexpr std::uint32_t kHighSurrogates = 0xd800;
  constexpr std::uint32_t kLowSurrogates = 0xdc00;
  constexpr std::uint32_t kSurrogatesEnd = 0xe000;
  std::uint32_t code = Hex4(text);
  RemovePrefix(text, 4);
  if (code < kHighSurrogates || code >= kLowSurrogates || !text.starts_with("\\u")) return code;
  std::uint32_t low = Hex4(text.substr(2));
  if (low < kLowSurrogates || low >= kSurrogatesEnd) return code;
  RemovePrefix(text, 6);
  return 0x10000 + ((code - kHighSurrogates) << 10) + (low - kLowSurrogates);
}

// Removes the escape sequence at the front, whose backslash has already been removed, and appends the
// character that it stands for.
void DecodeEscape(std::string_view& text, std::string& out) {
  constexpr std::string_view kEscapes = "bfnrt";
  constexpr std::string_view kUnescaped = "\b\f\n\r\t";
  if (text.empty()) return;
  char c = text.front();
  text.remove_prefix(1);
  if (c == 'u') {
    AppendUtf8(out, TakeCodePoint(text));
    return;
  }
  auto position = kEscapes.find(c);
  out.push_back(position == std::string_view::npos ? c : kUnescaped[position]);
}

template <typename T>
std::optional<T> ParseAs(std::string_view text) {
  T number = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  bool whole = !text.empty() && error == std::errc() && end == text.data() + text.size();
  return whole ? std::optional(number) : std::nullopt;
}

}  // namespace

std::optional<std::string_view> TakeValue(std::string_view& in) {
  SkipWhiteSpace(in);
  std::string_view before = in;
  if (!SkipValue(in, 0)) return std::nullopt;
  std::string_view value = before.substr(0, before.size() - in.size());
  SkipWhiteSpace(in);
  return value;
}

bool Valid(std::string_view text) { return TakeValue(text) && text.empty(); }

bool ForEachMember(std::string_view object, const OnMember& each) {
  SkipWhiteSpace(object);
  if (!object.starts_with('{')) return false;
  bool ok = ForEachItem(object, '}', [&] {
    std::optional<std::string_view> key = TakeKey(object);
    if (!key) return false;
    std::optional<std::string_view> value = TakeValue(object);
    return value && each(*key, *value);
  });
  SkipWhiteSpace(object);
  return ok && object.empty();
}

bool ForEachElement(std::string_view array, const OnElement& each) {
  SkipWhiteSpace(array);
  if (!array.starts_with('[')) return false;
  bool ok = ForEachItem(array, ']', [&] {
    auto value = TakeValue(array);
    return value && each(*value);
  });
  SkipWhiteSpace(array);
  return ok && array.empty();
}

std::string_view FindMember(std::string_view object, std::string_view key) {
  std::string_view found;
  ForEachMember(object, [&](std::string_view name, std::string_view value) {
    if (name == key) found = value;
    return true;
  });
  return found;
}

std::optional<std::string_view> RawString(std::string_view value) {
  if (value.size() < 2 || value.front() != '"') return std::nullopt;
  return value.substr(1, value.size() - 2);
}

std::optional<std::string> ParseString(std::string_view value) {
  std::optional<std::string_view> raw = RawString(value);
  if (!raw) return std::nullopt;
  std::string decoded;
  std::string_view rest = *raw;
  while (!rest.empty()) {
    if (rest.front() != '\\') {
      decoded.push_back(rest.front());
      rest.remove_prefix(1);
      continue;
    }
    rest.remove_prefix(1);
    DecodeEscape(rest, decoded);
  }
  return decoded;
}

std::optional<double> ParseNumber(std::string_view value) {
  std::optional<double> number = ParseAs<double>(value);
  return number && std::isfinite(*number) ? number : std::nullopt;
}

std::optional<std::int64_t> ParseInteger(std::string_view value) { return ParseAs<std::int64_t>(value); }

std::optional<bool> ParseBool(std::string_view value) {
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
  out += '"';
  return out;
}

}  // namespace liftrudder::net::json
