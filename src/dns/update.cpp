#include "dns/update.h"

#include <algorithm>
#include <optional>
#include <stdexcept>

#include "log/log.h"
#include "net/json.h"

namespace liftrudder::dns {
namespace {

constexpr std::size_t kHeader = 12;
constexpr int kOpcodeUpdate = 5;
constexpr int kMaxPointers = 32;  // a name that jumps more often goes in circles
constexpr coordinator::Micros kSlice = 200'000, kMessageWait = 2'000'000, kIdleWait = 30'000'000;

struct BadMessage {};

class Reader {
 public:
  Reader(std::string_view all, std::size_t at) : all_(all), at_(at) {}

  std::uint32_t Int(int bytes) {
    std::uint32_t value = 0;
    for (int i = 0; i < bytes; ++i) value = value << 8 | Byte();
    return value;
  }
  std::string Bytes(std::size_t count) {
    if (count > all_.size() - at_) throw BadMessage{};
    at_ += count;
    return std::string(all_.substr(at_ - count, count));
  }
  // In lower case, with its final dot.
  std::string Name() {
    std::string out;
    std::optional<std::size_t> back;
    for (int jumps = 0;;) {
      std::uint32_t size = Byte();
      if (size == 0) break;
      if (size >= 0xc0) {
        std::size_t to = (size & 0x3f) << 8 | Byte();
        if (++jumps > kMaxPointers || to >= all_.size()) throw BadMessage{};
        if (!back) back = at_;
        at_ = to;
        continue;
      }
      if (size > 63 || out.size() + size > 254) throw BadMessage{};
      for (char c : Bytes(size)) out.push_back(c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c);
      out.push_back('.');
    }
    if (back) at_ = *back;
    return out.empty() ? "." : out;
  }
  std::size_t At() const { return at_; }
  bool End() const { return at_ == all_.size(); }

 private:
  std::uint32_t Byte() {
    if (at_ >= all_.size()) throw BadMessage{};
    return static_cast<unsigned char>(all_[at_++]);
  }
  std::string_view all_;
  std::size_t at_;
};

struct Resource {
  Record record;
  std::uint16_t cls = 0;
};

Resource ReadResource(Reader& in) {
  Resource out;
  out.record.name = in.Name();
  out.record.type = static_cast<std::uint16_t>(in.Int(2));
  out.cls = static_cast<std::uint16_t>(in.Int(2));
  out.record.ttl = in.Int(4);
  std::size_t size = in.Int(2);
  std::size_t end = in.At() + size;
  if (out.record.type == kTypeSrv && size > 0) {
    // Its target may come compressed; the zone keeps names whole, or equal records would not compare equal.
    out.record.data = in.Bytes(6);
    out.record.data += WireName(in.Name()).value_or("");
    if (in.At() != end) throw BadMessage{};
  } else {
    out.record.data = in.Bytes(size);
  }
  return out;
}

bool Known(std::uint16_t type) {
  return type == kTypeA || type == kTypeNs || type == kTypeSoa || type == kTypeTxt || type == kTypeSrv;
}

bool Sound(const Record& record) {
  if (record.type == kTypeA) return record.data.size() == 4;
  if (record.type == kTypeSrv) return record.data.size() > 7;
  std::size_t at = 0;
  while (record.type == kTypeTxt && at < record.data.size())
    at += 1 + static_cast<std::size_t>(static_cast<unsigned char>(record.data[at]));
  return record.type != kTypeTxt || (at == record.data.size() && at > 0);
}

bool Same(const Record& a, const Record& b) {
  return a.name == b.name && a.type == b.type && a.data == b.data;
}

// RFC 2136, section 3.2.
Rcode Check(const std::vector<Resource>& prerequisites, const Zone& zone) {
  std::vector<Record> wanted;
  for (const Resource& one : prerequisites) {
    const Record& need = one.record;
    if (need.ttl != 0) return Rcode::kFormErr;
    if (!zone.Holds(need.name)) return Rcode::kNotZone;
    if (one.cls == kClassIn) {
      wanted.push_back(need);
      continue;
    }
    if (!need.data.empty() || (one.cls != kClassAny && one.cls != kClassNone)) return Rcode::kFormErr;
    bool any = need.type == kTypeAny;
    bool there = std::ranges::any_of(zone.records, [&](const Record& record) {
      return record.name == need.name && (any || record.type == need.type);
    });
    if (one.cls == kClassAny && !there) return any ? Rcode::kNxDomain : Rcode::kNxRrset;
    if (one.cls == kClassNone && there) return any ? Rcode::kYxDomain : Rcode::kYxRrset;
  }
  // A set that must be there with these values: no more and no fewer.
  for (const Record& need : wanted) {
    auto of_set = [&need](const Record& record) {
      return record.name == need.name && record.type == need.type;
    };
    auto asked = std::ranges::count_if(wanted, of_set), has = std::ranges::count_if(zone.records, of_set);
    bool there =
        std::ranges::any_of(zone.records, [&need](const Record& record) { return Same(record, need); });
    if (asked != has || !there) return Rcode::kNxRrset;
  }
  return Rcode::kNoError;
}

// Section 3.4.1.
Rcode Prescan(const std::vector<Resource>& updates, const Zone& zone) {
  for (const Resource& one : updates) {
    if (!zone.Holds(one.record.name)) return Rcode::kNotZone;
    bool any = one.record.type == kTypeAny;
    if (one.cls == kClassIn) {
      if (any || !Known(one.record.type) || !Sound(one.record))
        return any ? Rcode::kFormErr : Rcode::kRefused;
    } else if (one.cls == kClassAny) {
      if (one.record.ttl != 0 || !one.record.data.empty()) return Rcode::kFormErr;
    } else if (one.cls != kClassNone || one.record.ttl != 0 || any) {
      return Rcode::kFormErr;
    }
  }
  return Rcode::kNoError;
}

// Section 3.4.2. The SOA and NS records of the zone itself stay.
void Apply(const Resource& one, Zone& zone) {
  const Record& record = one.record;
  auto kept = [&zone](const Record& other) {
    return other.name == zone.origin && (other.type == kTypeSoa || other.type == kTypeNs);
  };
  if (one.cls == kClassIn) {
    if (record.type == kTypeSoa || record.type == kTypeNs) return;
    std::erase_if(zone.records, [&](const Record& other) { return Same(other, record); });
    zone.records.push_back(record);
  } else if (one.cls == kClassAny) {
    std::erase_if(zone.records, [&](const Record& other) {
      return other.name == record.name && (record.type == kTypeAny || other.type == record.type) &&
             !kept(other);
    });
  } else {
    std::erase_if(zone.records, [&](const Record& other) { return Same(other, record) && !kept(other); });
  }
}

Rcode Update(Reader& in, const std::uint32_t (&counts)[4], Zone& zone) {
  if (counts[0] != 1) return Rcode::kFormErr;
  std::string name = in.Name();
  std::uint32_t type = in.Int(2), cls = in.Int(2);
  if (type != kTypeSoa) return Rcode::kFormErr;
  if (name != zone.origin || cls != kClassIn) return Rcode::kNotAuth;
  std::vector<Resource> sections[3];
  for (int section = 0; section < 3; ++section) {
    for (std::uint32_t i = 0; i < counts[section + 1]; ++i) sections[section].push_back(ReadResource(in));
  }
  if (!in.End()) return Rcode::kFormErr;
  Rcode code = Check(sections[0], zone);
  if (code == Rcode::kNoError) code = Prescan(sections[1], zone);
  if (code != Rcode::kNoError) return code;
  for (const Resource& one : sections[1]) Apply(one, zone);
  return code;
}

}  // namespace

std::string ApplyUpdate(std::string_view message, Zone& zone) {
  if (message.size() < kHeader) return {};
  Reader in(message, 4);
  std::uint32_t counts[4];
  for (std::uint32_t& count : counts) count = in.Int(2);
  int opcode = static_cast<unsigned char>(message[2]) >> 3 & 0x0f;
  Rcode code = Rcode::kNotImp;
  try {
    if (opcode == kOpcodeUpdate) code = Update(in, counts, zone);
  } catch (const BadMessage&) {
    code = Rcode::kFormErr;
  }
  std::string out(message.substr(0, 2));
  out.push_back(static_cast<char>(0x80 | opcode << 3));
  out.push_back(static_cast<char>(code));
  return out.append(8, '\0');
}

ZoneOptions ParseZoneOptions(std::string_view text) {
  std::string_view zone = net::json::Get(net::json::Get(text, "opensearch"), "zone");
  auto member = [zone](const char* key) { return net::json::String(net::json::Get(zone, key)).value_or(""); };
  ZoneOptions out{member("file"), member("service"), member("update_listen")};
  if (!out.update_listen.empty() && !out.update_listen.starts_with("127."))
    throw std::runtime_error("zone: updates are taken on a loopback address only");
  return out;
}

ZoneSource::ZoneSource(Zone zone, std::string service, net::Fd listener,
                       coordinator::EndpointRegistry& endpoint_registry,
                       coordinator::Coordinator& coordinator, const coordinator::Clock& clock)
    : zone_(std::move(zone)),
      service_(std::move(service)),
      listener_(std::move(listener)),
      endpoint_registry_(endpoint_registry),
      coordinator_(coordinator),
      clock_(clock) {
  Tell(true);
  if (listener_.Valid()) thread_ = net::Thread([this] { Loop(); });
}

ZoneSource::~ZoneSource() {
  stopping_ = true;
  thread_.Join();
}

void ZoneSource::Loop() {
  while (!stopping_) {
    net::Fd client = net::Accept(listener_, kSlice);
    if (client.Valid()) Serve(client);
  }
}

void ZoneSource::Serve(const net::Fd& client) {
  std::string in;
  coordinator::Micros heard_us = clock_.Now();
  while (!stopping_) {
    coordinator::Micros silent_us = clock_.Now() - heard_us;
    if (silent_us > (in.empty() ? kIdleWait : kMessageWait)) return;
    net::Io got = net::ReadSome(client, in, kSlice);
    if (got == net::Io::kTimeout) continue;
    if (got != net::Io::kOk) return;
    heard_us = clock_.Now();
    while (in.size() >= 2) {
      std::size_t size = static_cast<std::size_t>(static_cast<unsigned char>(in[0])) << 8 |
                         static_cast<unsigned char>(in[1]);
      if (in.size() - 2 < size) break;
      std::string out = ApplyUpdate(std::string_view(in).substr(2, size), zone_);
      in.erase(0, 2 + size);
      if (out.empty()) return;
      Tell(false);
      std::string framed{static_cast<char>(out.size() >> 8), static_cast<char>(out.size() & 0xff)};
      if (net::WriteAll(client, framed + out, kMessageWait).status != net::Io::kOk) return;
    }
  }
}

// The difference between what the zone now says and what was told.
void ZoneSource::Tell(bool first) {
  coordinator::EndpointList list;
  list.version = ++version_;
  list.kind = first ? routing::EndpointListKind::kFull : routing::EndpointListKind::kDelta;
  std::map<std::string, coordinator::EndpointEntry> now = Holders(zone_, service_);
  for (auto& [id, entry] : now) {
    auto before = told_.find(id);
    bool ready = before != told_.end() && before->second.endpoint.availability == routing::Availability::kReady;
    // One that appears in an update has most likely just started; taken for warm it could be pushed over.
    if (!first && !ready && entry.endpoint.started_us == 0) entry.endpoint.started_us = clock_.Now();
    if (ready && entry.endpoint.started_us == 0) entry.endpoint.started_us = before->second.endpoint.started_us;
    bool same = ready && before->second.addr == entry.addr && before->second.endpoint.cell == entry.endpoint.cell &&
                before->second.endpoint.started_us == entry.endpoint.started_us;
    if (!same) list.entries.push_back(entry);
  }
  for (auto& [id, entry] : told_) {
    if (now.contains(id) || entry.endpoint.availability != routing::Availability::kReady) continue;
    entry.endpoint.availability = routing::Availability::kDraining;
    list.entries.push_back(entry);
  }
  for (coordinator::EndpointEntry& entry : list.entries) told_[entry.id] = entry;
  if (list.entries.empty() && !first) return;
  if (auto update = endpoint_registry_.Apply(list, clock_.Now())) coordinator_.Post(std::move(*update));
  log::Info("zone {}: {} holders, {} changed", zone_.origin, now.size(), list.entries.size());
}

}  // namespace liftrudder::dns
