#include "dns/zone_file.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace liftrudder::dns {
namespace {

constexpr std::size_t kMaxTxtStringBytes = 255;
constexpr const char* kWordDelimiters = " \t\r\n;()";

// The words of one directive or record, which may span several lines.
struct Entry {
  bool starts_with_owner = false;  // the first word is at the start of its line, so it is the owner
  std::size_t line = 0;            // of the first word
  std::vector<std::string> words;
};

// Splits a zone file into entries.
class EntryReader {
 public:
  explicit EntryReader(std::string_view text) : text_(text) {}

  std::vector<Entry> ReadAll() {
    for (; position_ < text_.size(); ++position_) ReadNext(text_[position_]);
    EndLine();
    if (depth_ != 0) throw ZoneError(ZoneErrorCode::kUnbalancedParenthesis, 0, "'(' without ')'", "");
    return std::move(entries_);
  }

 private:
  // `c` is the character at position_. Leaves position_ at the last character that it has read.
  void ReadNext(char c) {
    if (c == ';') return SkipComment();
    if (c == '\n') return EndLine();
    if (c == '(' || c == ')') {
      ChangeDepth(c);
    } else if (c != ' ' && c != '\t' && c != '\r') {
      AddWord(c);
    }
    at_line_start_ = false;
  }

  void SkipComment() {
    while (position_ + 1 < text_.size() && text_[position_ + 1] != '\n') ++position_;
  }

  // Ends the entry, unless an open parenthesis continues it in the next line.
  void EndLine() {
    bool entry_ends = depth_ == 0;
    if (entry_ends && !entry_.words.empty()) entries_.push_back(std::move(entry_));
    if (entry_ends) entry_ = {};
    ++line_;
    at_line_start_ = entry_ends;
  }

  void ChangeDepth(char parenthesis) {
    depth_ += parenthesis == '(' ? 1 : -1;
    if (depth_ < 0) throw ZoneError(ZoneErrorCode::kUnbalancedParenthesis, line_, "')' without '('", "");
  }

  void AddWord(char first) {
    if (entry_.words.empty()) {
      entry_.starts_with_owner = at_line_start_;
      entry_.line = line_;
    }
    entry_.words.push_back(first == '"' ? QuotedWord() : PlainWord());
  }

  std::string QuotedWord() {
    auto end = text_.find('"', position_ + 1);
    if (end == std::string_view::npos) {
      std::string rest(text_.substr(position_, text_.find('\n', position_) - position_));
      throw ZoneError(ZoneErrorCode::kUnterminatedString, line_, "unterminated quoted string", rest);
    }
    std::string word(text_.substr(position_ + 1, end - position_ - 1));
    position_ = end;
    return word;
  }

  std::string PlainWord() {
    auto end = std::min(text_.find_first_of(kWordDelimiters, position_), text_.size());
    std::string word(text_.substr(position_, end - position_));
    position_ = end - 1;
    return word;
  }

  const std::string_view text_;
  std::size_t position_ = 0;
  std::size_t line_ = 1;
  int depth_ = 0;  // number of open parentheses
  bool at_line_start_ = true;
  Entry entry_;
  std::vector<Entry> entries_;
};

struct TypeName {
  std::string_view name;
  std::uint16_t type;
};
constexpr std::array<TypeName, 5> kTypeNames = {
    {{"a", kTypeA}, {"ns", kTypeNs}, {"soa", kTypeSoa}, {"txt", kTypeTxt}, {"srv", kTypeSrv}}};

std::optional<std::uint16_t> TypeOf(std::string_view word) {
  const auto* found = std::ranges::find(kTypeNames, ToLower(word), &TypeName::name);
  return found == kTypeNames.end() ? std::nullopt : std::optional(found->type);
}

bool IsNumber(std::string_view word) {
  return std::ranges::all_of(word, [](char c) { return c >= '0' && c <= '9'; });
}

// In network byte order.
template <typename T>
void AppendInt(std::string& out, T value) {
  for (int shift = (static_cast<int>(sizeof(T)) - 1) * 8; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>(value >> shift & 0xff));
  }
}

// Turns entries into a zone; directives apply to the entries that follow them.
class ZoneBuilder {
 public:
  void Add(const Entry& entry) {
    line_ = entry.line;
    std::string first = ToLower(entry.words[0]);
    if (first.starts_with('$')) {
      ApplyDirective(first, entry);
    } else {
      AddRecord(entry);
    }
  }

  Zone Finish() {
    line_ = 0;
    if (zone_.origin.empty()) Fail(ZoneErrorCode::kNoSoaRecord, "no SOA record");
    for (const Record& record : zone_.records) {
      if (!zone_.Contains(record.name)) Fail(ZoneErrorCode::kOutsideZone, "outside the zone", record.name);
    }
    return std::move(zone_);
  }

 private:
  using Fields = std::span<const std::string>;

  [[noreturn]] void Fail(ZoneErrorCode code, const std::string& problem, std::string value = "") const {
    throw ZoneError(code, line_, problem, std::move(value));
  }

  void ApplyDirective(const std::string& directive, const Entry& entry) {
    if (entry.words.size() != 2 || (directive != "$origin" && directive != "$ttl")) {
      Fail(ZoneErrorCode::kUnsupportedDirective,
           "the directive is not supported; use $ORIGIN or $TTL, each with one value", directive);
    }
    if (directive == "$origin") {
      origin_ = AbsoluteName(entry.words[1]);
    } else {
      ttl_ = ParseNumber<std::uint32_t>(entry.words[1]);
    }
  }

  // [owner] {ttl | "IN"} type fields...
  void AddRecord(const Entry& entry) {
    std::size_t next = 0;
    if (entry.starts_with_owner) owner_ = AbsoluteName(entry.words[next++]);
    Record record{owner_, 0, ttl_, {}};
    for (; next < entry.words.size(); ++next) {
      const std::string& word = entry.words[next];
      if (ToLower(word) == "in") continue;
      if (!IsNumber(word)) break;
      record.ttl = ParseNumber<std::uint32_t>(word);
    }
    if (next == entry.words.size()) Fail(ZoneErrorCode::kMissingType, "a record has no type");
    std::optional<std::uint16_t> type = TypeOf(entry.words[next]);
    if (!type) Fail(ZoneErrorCode::kUnsupportedType, "the type is not supported", entry.words[next]);
    record.type = *type;
    record.data = RecordData(*type, Fields(entry.words).subspan(next + 1));
    if (record.type == kTypeSoa) zone_.origin = record.name;
    zone_.records.push_back(std::move(record));
  }

  std::string RecordData(std::uint16_t type, Fields fields) const {
    switch (type) {
      case kTypeA:
        return AddressData(fields);
      case kTypeNs:
        ExpectFields(fields, 1);
        return NameData(fields[0]);
      case kTypeTxt:
        return TxtData(fields);
      case kTypeSrv:
        return SrvData(fields);
      default:
        return SoaData(fields);
    }
  }

  std::string AddressData(Fields fields) const {
    ExpectFields(fields, 1);
    in_addr address{};
    if (inet_pton(AF_INET, fields[0].c_str(), &address) != 1) {
      Fail(ZoneErrorCode::kBadAddress, "the value is not an IPv4 address", fields[0]);
    }
    return {reinterpret_cast<const char*>(&address), sizeof(address)};
  }

  std::string TxtData(Fields fields) const {
    std::string data;
    for (const std::string& text : fields) {
      if (text.size() > kMaxTxtStringBytes) {
        Fail(ZoneErrorCode::kStringTooLong, "a TXT string has more than 255 bytes", text);
      }
      AppendInt(data, static_cast<std::uint8_t>(text.size()));
      data += text;
    }
    return data;
  }

  // Priority, weight, port, target.
  std::string SrvData(Fields fields) const {
    ExpectFields(fields, 4);
    std::string data;
    for (const std::string& number : fields.first(3)) AppendInt(data, ParseNumber<std::uint16_t>(number));
    return data + NameData(fields[3]);
  }

  // Primary server, mailbox, and five numbers.
  std::string SoaData(Fields fields) const {
    ExpectFields(fields, 7);
    std::string data = NameData(fields[0]) + NameData(fields[1]);
    for (const std::string& number : fields.subspan(2)) AppendInt(data, ParseNumber<std::uint32_t>(number));
    return data;
  }

  void ExpectFields(Fields fields, std::size_t count) const {
    if (fields.size() == count) return;
    Fail(ZoneErrorCode::kFieldCount, fmt::format("the type takes {} fields", count),
         fmt::format("{}", fmt::join(fields, " ")));
  }

  template <typename T>
  T ParseNumber(const std::string& word) const {
    T value{};
    const char* word_end = word.data() + word.size();
    auto [end, error] = std::from_chars(word.data(), word_end, value);
    if (word.empty() || error != std::errc() || end != word_end) {
      Fail(ZoneErrorCode::kBadNumber, "the value is not a number or is out of range", word);
    }
    return value;
  }

  std::string NameData(const std::string& word) const {
    std::string name = AbsoluteName(word);
    std::optional<std::string> wire = WireName(name);
    if (!wire) Fail(ZoneErrorCode::kBadName, "the value is not a domain name", name);
    return *wire;
  }

  std::string AbsoluteName(std::string_view name) const {
    if (name == "@") return origin_;
    if (name.ends_with('.')) return ToLower(name);
    return ToLower(name) + "." + (origin_ == "." ? "" : origin_);
  }

  Zone zone_;
  std::string origin_ = ".";  // appended to relative names; zone_.origin is the owner of the SOA record
  std::string owner_;         // of the last record
  std::uint32_t ttl_ = 0;
  std::size_t line_ = 0;  // of the current entry
};

}  // namespace

Zone ParseZone(std::string_view text) {
  ZoneBuilder builder;
  for (const Entry& entry : EntryReader(text).ReadAll()) builder.Add(entry);
  return builder.Finish();
}

}  // namespace liftrudder::dns
