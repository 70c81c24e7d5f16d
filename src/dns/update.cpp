#include "dns/update.h"

#include <algorithm>
#include <cstdint>
#include <tl/expected.hpp>
#include <vector>

#include "dns/message_reader.h"

namespace liftrudder::dns {
namespace {

// RFC 1035 section 4.1.1: id, flags, and the numbers of entries of four sections.
constexpr std::size_t kHeaderBytes = 12;
constexpr std::size_t kIdBytes = 2;
constexpr std::size_t kFlagsOffset = 2;
constexpr std::size_t kCountsOffset = 4;
constexpr unsigned kResponseFlag = 0x80;
constexpr unsigned kOpcodeShift = 3;
constexpr unsigned kOpcodeMask = 0x0f;
constexpr unsigned kOpcodeUpdate = 5;
constexpr std::size_t kIpv4Bytes = 4;
// RFC 2782: three numbers of two bytes, and a name other than the root.
constexpr std::size_t kMinSrvBytes = 8;

// RFC 2136 section 2, without the zone section, which is checked as it is read, and the additional section,
// which is read and ignored.
struct UpdateMessage {
  std::vector<ResourceRecord> prerequisites;
  std::vector<ResourceRecord> updates;
};

struct SectionCounts {
  std::uint16_t zone = 0;
  std::uint16_t prerequisite = 0;
  std::uint16_t update = 0;
  std::uint16_t additional = 0;
};

bool IsSupportedType(std::uint16_t type) {
  return type == kTypeA || type == kTypeNs || type == kTypeSoa || type == kTypeTxt || type == kTypeSrv;
}

// Returns whether TXT data is one or more strings, each after its length, and nothing else.
bool IsWellFormedTxt(const std::string& data) {
  std::size_t offset = 0;
  while (offset < data.size()) {
    offset += 1 + static_cast<std::size_t>(static_cast<unsigned char>(data[offset]));
  }
  return offset == data.size() && offset > 0;
}

bool HasWellFormedData(const Record& record) {
  if (record.type == kTypeA) return record.data.size() == kIpv4Bytes;
  if (record.type == kTypeSrv) return record.data.size() >= kMinSrvBytes;
  if (record.type == kTypeTxt) return IsWellFormedTxt(record.data);
  return true;
}

bool IsInSameRrset(const Record& a, const Record& b) { return a.name == b.name && a.type == b.type; }
bool IsSameRecord(const Record& a, const Record& b) { return IsInSameRrset(a, b) && a.data == b.data; }

// RFC 2136 section 3.2, for a prerequisite that a name or an RRset exists or does not exist.
Rcode CheckExistence(const ResourceRecord& prerequisite, const Zone& zone) {
  const Record& wanted = prerequisite.record;
  bool must_exist = prerequisite.record_class == kClassAny;
  bool must_not_exist = prerequisite.record_class == kClassNone;
  if (!wanted.data.empty() || (!must_exist && !must_not_exist)) return Rcode::kFormErr;
  bool any_type = wanted.type == kTypeAny;
  bool exists = std::ranges::any_of(zone.records, [&](const Record& record) {
    return record.name == wanted.name && (any_type || record.type == wanted.type);
  });
  if (must_exist && !exists) return any_type ? Rcode::kNxDomain : Rcode::kNxRrset;
  if (must_not_exist && exists) return any_type ? Rcode::kYxDomain : Rcode::kYxRrset;
  return Rcode::kNoError;
}

// RFC 2136 section 3.2.3: the zone's RRsets must have exactly the required records.
Rcode CheckExactRrsets(const std::vector<Record>& required, const Zone& zone) {
  for (const Record& wanted : required) {
    auto in_rrset = [&wanted](const Record& record) { return IsInSameRrset(record, wanted); };
    auto same = [&wanted](const Record& record) { return IsSameRecord(record, wanted); };
    bool same_size =
        std::ranges::count_if(required, in_rrset) == std::ranges::count_if(zone.records, in_rrset);
    if (!same_size || std::ranges::none_of(zone.records, same)) return Rcode::kNxRrset;
  }
  return Rcode::kNoError;
}

Rcode CheckPrerequisites(const std::vector<ResourceRecord>& prerequisites, const Zone& zone) {
  std::vector<Record> required;
  for (const ResourceRecord& prerequisite : prerequisites) {
    const Record& wanted = prerequisite.record;
    if (wanted.ttl != 0) return Rcode::kFormErr;
    if (!zone.Contains(wanted.name)) return Rcode::kNotZone;
    if (prerequisite.record_class == kClassIn) {
      required.push_back(wanted);
      continue;
    }
    Rcode code = CheckExistence(prerequisite, zone);
    if (code != Rcode::kNoError) return code;
  }
  return CheckExactRrsets(required, zone);
}

// RFC 2136 section 3.4.1, for one update.
Rcode PrescanUpdate(const ResourceRecord& update, const Zone& zone) {
  const Record& record = update.record;
  if (!zone.Contains(record.name)) return Rcode::kNotZone;
  bool any_type = record.type == kTypeAny;
  switch (update.record_class) {
    case kClassIn:
      if (any_type) return Rcode::kFormErr;
      return IsSupportedType(record.type) && HasWellFormedData(record) ? Rcode::kNoError : Rcode::kRefused;
    case kClassAny:
      return record.ttl == 0 && record.data.empty() ? Rcode::kNoError : Rcode::kFormErr;
    case kClassNone:
      return record.ttl == 0 && !any_type ? Rcode::kNoError : Rcode::kFormErr;
    default:
      return Rcode::kFormErr;
  }
}

Rcode Prescan(const std::vector<ResourceRecord>& updates, const Zone& zone) {
  for (const ResourceRecord& update : updates) {
    Rcode code = PrescanUpdate(update, zone);
    if (code != Rcode::kNoError) return code;
  }
  return Rcode::kNoError;
}

// RFC 2136 section 3.4.2. SOA and NS records are never added, and those of the origin are never deleted.
void ApplyUpdateRecord(const ResourceRecord& update, Zone& zone) {
  const Record& record = update.record;
  auto is_protected = [&zone](const Record& other) {
    return other.name == zone.origin && (other.type == kTypeSoa || other.type == kTypeNs);
  };
  if (update.record_class == kClassIn) {
    if (record.type == kTypeSoa || record.type == kTypeNs) return;
    std::erase_if(zone.records, [&](const Record& other) { return IsSameRecord(other, record); });
    zone.records.push_back(record);
  } else if (update.record_class == kClassAny) {
    std::erase_if(zone.records, [&](const Record& other) {
      bool matches = other.name == record.name && (record.type == kTypeAny || other.type == record.type);
      return matches && !is_protected(other);
    });
  } else {
    std::erase_if(zone.records,
                  [&](const Record& other) { return IsSameRecord(other, record) && !is_protected(other); });
  }
}

std::vector<ResourceRecord> ReadSection(MessageReader& reader, std::uint16_t count) {
  std::vector<ResourceRecord> records;
  for (std::uint16_t i = 0; i < count && !reader.Failed(); ++i) records.push_back(ReadResourceRecord(reader));
  return records;
}

// RFC 2136 section 3.1: exactly one zone, given by the name of its SOA, and it must be `zone`.
Rcode CheckZoneSection(MessageReader& reader, std::uint16_t count, const Zone& zone) {
  if (count != 1) return Rcode::kFormErr;
  std::string name = reader.ReadName();
  std::uint16_t type = reader.ReadUint16();
  std::uint16_t zone_class = reader.ReadUint16();
  if (reader.Failed() || type != kTypeSoa) return Rcode::kFormErr;
  return name == zone.origin && zone_class == kClassIn ? Rcode::kNoError : Rcode::kNotAuth;
}

tl::expected<UpdateMessage, Rcode> ReadUpdate(MessageReader& reader, const SectionCounts& counts,
                                              const Zone& zone) {
  Rcode code = CheckZoneSection(reader, counts.zone, zone);
  if (code != Rcode::kNoError) return tl::unexpected(code);
  UpdateMessage message;
  message.prerequisites = ReadSection(reader, counts.prerequisite);
  message.updates = ReadSection(reader, counts.update);
  ReadSection(reader, counts.additional);
  if (reader.Failed() || !reader.AtEnd()) return tl::unexpected(Rcode::kFormErr);
  return message;
}

Rcode ProcessUpdate(MessageReader& reader, const SectionCounts& counts, Zone& zone) {
  auto message = ReadUpdate(reader, counts, zone);
  if (!message) return message.error();
  Rcode code = CheckPrerequisites(message->prerequisites, zone);
  if (code == Rcode::kNoError) code = Prescan(message->updates, zone);
  if (code != Rcode::kNoError) return code;
  for (const ResourceRecord& update : message->updates) ApplyUpdateRecord(update, zone);
  return Rcode::kNoError;
}

// RFC 2136 section 3.8: the message's id and opcode, and the Rcode; all sections are empty.
std::string MakeResponse(std::string_view id, unsigned opcode, Rcode code) {
  std::string response(id);
  response.push_back(static_cast<char>(kResponseFlag | opcode << kOpcodeShift));
  response.push_back(static_cast<char>(code));
  return response.append(kHeaderBytes - response.size(), '\0');
}

}  // namespace

std::string ApplyUpdate(std::string_view message, Zone& zone) {
  if (message.size() < kHeaderBytes) return {};
  MessageReader reader(message, kCountsOffset);
  SectionCounts counts;
  counts.zone = reader.ReadUint16();
  counts.prerequisite = reader.ReadUint16();
  counts.update = reader.ReadUint16();
  counts.additional = reader.ReadUint16();
  unsigned opcode = static_cast<unsigned char>(message[kFlagsOffset]) >> kOpcodeShift & kOpcodeMask;
  Rcode code = opcode == kOpcodeUpdate ? ProcessUpdate(reader, counts, zone) : Rcode::kNotImp;
  return MakeResponse(message.substr(0, kIdBytes), opcode, code);
}

}  // namespace liftrudder::dns
