#include "simulator/codec.h"

#include <bit>
#include <concepts>
#include <optional>

#include "config/routing_settings.h"

namespace liftrudder::simulator {

using namespace routing;
namespace {

// Event codes.
constexpr int kAbout = 120, kCreate = 20, kDirectory = 50, kFleet = 40, kReq = 90, kHealthResult = 100,
              kHeard = 10, kOpened = 80, kHangup = 60, kReply = 110, kKill = 30, kDue = 70;
// Action codes.
constexpr int kSource = 140, kHandOff = 10, kConclude = 130, kNotNow = 20, kRespondError = 30, kCallOff = 40,
              kLetGo = 70, kArm = 50, kWatch = 110;

constexpr std::uint32_t kMinRecordBytes = 5;
constexpr std::uint32_t kEntryBytes = 24;
constexpr int kFlagRepeated = 2;
constexpr int kBanks = 16;

class Reader {
 public:
  Reader(std::string_view bytes, std::size_t base, std::string where)
      : bytes_(bytes), base_(base), where_(std::move(where)) {}

  template <std::unsigned_integral T>
  T Int(const char* field) {
    std::string_view raw = Bytes(sizeof(T), field);
    T value = 0;
    for (char c : raw) value = static_cast<T>((value << 8) | static_cast<unsigned char>(c));
    return value;
  }
  std::uint8_t U8(const char* field) { return Int<std::uint8_t>(field); }
  std::uint16_t U16(const char* field) { return Int<std::uint16_t>(field); }
  std::uint32_t U32(const char* field) { return Int<std::uint32_t>(field); }
  std::uint64_t U64(const char* field) { return Int<std::uint64_t>(field); }
  float F32(const char* field) { return std::bit_cast<float>(U32(field)); }
  EndpointId Address(const char* field) {
    EndpointId id;
    id.address = U32(field);
    id.port = U16(field);
    return id;
  }
  std::string_view Bytes(std::size_t count, const char* field) {
    if (count > bytes_.size() - at_) {
      Complain(std::string(field) + " needs " + std::to_string(count) + " bytes, " +
               std::to_string(bytes_.size() - at_) + " are left");
    }
    std::string_view out = bytes_.substr(at_, count);
    at_ += count;
    return out;
  }
  std::vector<double> Load(const char* field) {
    std::vector<double> out(U8(field));
    for (double& value : out) value = F32(field);
    return out;
  }
  std::size_t Left() const { return bytes_.size() - at_; }
  std::size_t At() const { return base_ + at_; }
  void End() {
    if (Left() != 0) Complain(std::to_string(Left()) + " bytes too many");
  }
  [[noreturn]] void Complain(const std::string& what) const {
    throw WireError(where_ + " at byte " + std::to_string(At()) + ": " + what);
  }

 private:
  std::string_view bytes_;
  std::size_t base_;
  std::size_t at_ = 0;
  std::string where_;
};

AttemptOutcome Disposition(Reader& in) {
  int code = in.U16("disposition");
  switch (code) {
    case 200:
      return AttemptOutcome::kOk;
    case 500:
      return AttemptOutcome::kError;
    case 503:
      return AttemptOutcome::kOverloaded;
    case 504:
      return AttemptOutcome::kTimeout;
    case 502:
      return AttemptOutcome::kConnectFailed;
    case 598:
      return AttemptOutcome::kReset;
    case 499:
      return AttemptOutcome::kCancelled;
    case 410:
      return AttemptOutcome::kNotSent;
    default:
      in.Complain("unknown disposition " + std::to_string(code));
  }
}

Endpoint Entry(Reader& in) {
  Endpoint entry;
  entry.id = in.Address("replica");
  entry.zone = in.U16("locality");
  entry.kind = in.U8("model");
  entry.cell = in.U16("slotNo");
  int availability = in.U8("availability");
  if (availability > 2) in.Complain("unknown availability " + std::to_string(availability));
  entry.availability = static_cast<Availability>(availability);
  entry.weight = in.F32("weight");
  entry.started_us = static_cast<Micros>(in.U64("launchedUs"));
  return entry;
}

Event Request(Reader& in) {
  Id id = in.U32("ticket");
  auto number = static_cast<std::int64_t>(in.F32("query"));
  Micros work_us = in.U32("workUs");
  double share_or_count = in.F32("shareOrCount");
  int class_index = in.U16("type");
  int tenant = in.U16("clientGroup");
  auto shard = static_cast<int>(in.F32("shard"));
  int flags = in.U8("flags");
  std::uint64_t key = in.U64("object");
  Micros timeout_remaining_us = in.U32("patienceLeftUs");
  if (shard >= 0) return ShardRequestReceived{id, number, shard, share_or_count, key, work_us};
  return QueryReceived{id,
                       number,
                       static_cast<int>(share_or_count),
                       class_index,
                       tenant,
                       (flags & kFlagRepeated) != 0,
                       key,
                       timeout_remaining_us,
                       work_us};
}

Event Attempt(Reader& in) {
  AttemptFinished ended;
  ended.shard_request = in.U32("ticket");
  ended.attempt = in.U8("leg");
  ended.endpoint = in.Address("replica");
  ended.code = Disposition(in);
  ended.spent_us = in.U32("spentUs");
  ended.shard_request_done = in.U8("noMore") != 0;
  ended.load = in.Load("feedback");
  return ended;
}

Event Probe(Reader& in) {
  HealthCheckFinished ended;
  ended.endpoint = in.Address("replica");
  ended.code = Disposition(in);
  ended.spent_us = in.U32("spentUs");
  ended.load = in.Load("feedback");
  return ended;
}

void Put(std::string& out, std::uint64_t value, int bytes) {
  for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
    out.push_back(static_cast<char>((value >> shift) & 0xff));
}

std::uint32_t Clamp32(Micros span) {
  if (span < 0) return 0;
  return span > INT32_MAX ? INT32_MAX : static_cast<std::uint32_t>(span);
}

struct RecordWriter {
  std::string& body;
  void Head(int code, std::uint32_t bytes) {
    Put(body, static_cast<std::uint64_t>(code), 1);
    Put(body, bytes, 4);
  }
  void operator()(const Send& send) {
    Head(kHandOff, 14);
    Put(body, send.shard_request, 4);
    Put(body, Clamp32(send.timeout_us), 4);
    Put(body, send.endpoint.address, 4);
    Put(body, send.endpoint.port, 2);
  }
  void operator()(const Answer& answer) {
    Head(kConclude, 5);
    Put(body, answer.query, 4);
    Put(body, answer.complete ? 1 : 0, 1);
  }
  void operator()(const Reject& refuse) {
    Head(kNotNow, 8);
    Put(body, refuse.query, 4);
    Put(body, Clamp32(refuse.retry_after_us), 4);
  }
  void operator()(const Fail& fail) {
    Head(kRespondError, 4);
    Put(body, fail.query, 4);
  }
  void operator()(const Cancel& cancel) {
    Head(kCallOff, 5);
    Put(body, cancel.shard_request, 4);
    Put(body, static_cast<std::uint64_t>(cancel.attempt), 1);
  }
  void operator()(const Close& close) {
    Head(kLetGo, 6);
    Put(body, close.endpoint.address, 4);
    Put(body, close.endpoint.port, 2);
  }
  void operator()(const SetTimer& timer) {
    Head(kArm, 12);
    Put(body, Clamp32(timer.span_us), 4);
    Put(body, timer.label, 8);
  }
  void operator()(const Subscribe&) {
    Head(kWatch, 1);
    Put(body, 1, 1);
  }
};

}  // namespace

Batch Decoder::Decode(std::string_view body) {
  Reader frame(body, 4, "frame");
  std::uint32_t records = frame.U32("number of records");
  Batch batch;
  batch.now = static_cast<Micros>(frame.U64("clock"));
  if (records > frame.Left() / kMinRecordBytes) {
    frame.Complain("states " + std::to_string(records) + " records, more than its bytes can hold");
  }
  std::optional<int> instance;
  for (std::uint32_t i = 0; i < records; ++i) {
    int code = frame.U8("record code");
    std::uint32_t size = frame.U32("record size");
    std::size_t at = frame.At();
    std::string where = "record " + std::to_string(i) + " (code " + std::to_string(code) + ")";
    Reader in(frame.Bytes(size, where.c_str()), at, where);
    if (code == kAbout) {
      instance = in.U16("who");
      in.End();
      continue;
    }
    if (code == kDirectory) {
      int bank = in.U16("bank");
      if (bank >= kBanks) in.Complain("list number " + std::to_string(bank) + " is above 15");
      std::uint32_t count = in.U32("membersList");
      if (count > in.Left() / kEntryBytes)
        in.Complain("states " + std::to_string(count) + " entries, too many");
      std::vector<Endpoint> list;
      list.reserve(count);
      for (std::uint32_t k = 0; k < count; ++k) list.push_back(Entry(in));
      in.End();
      banks_[bank] = std::move(list);
      continue;
    }
    if (!instance) in.Complain("comes before any ABOUT");
    InstanceEvent event{*instance, Killed{}};
    switch (code) {
      case kCreate: {
        Created created;
        created.seed = in.U64("nonce64");
        std::uint32_t length = in.U32("conf");
        try {
          created.settings = config::ParseRoutingSettings(in.Bytes(length, "conf"));
        } catch (const config::SettingsError& error) {
          in.Complain(error.what());
        }
        event.what = std::move(created);
        break;
      }
      case kKill:
        break;
      case kFleet: {
        EndpointListUpdate update;
        update.version = in.U64("serial");
        int how = in.U8("how");
        if (how > 3) in.Complain("unknown kind of list " + std::to_string(how));
        update.kind = static_cast<EndpointListKind>(how);
        int bank = in.U16("bank");
        if (update.kind != EndpointListKind::kFailed) {
          auto found = banks_.find(bank);
          if (found == banks_.end())
            in.Complain("names list " + std::to_string(bank) + ", which was never sent");
          update.endpoints = found->second;
        }
        event.what = Event(std::move(update));
        break;
      }
      case kReq:
        event.what = Request(in);
        break;
      case kReply:
        event.what = Attempt(in);
        break;
      case kHealthResult:
        event.what = Probe(in);
        break;
      case kHangup:
        event.what = Event(ClientDisconnected{in.U32("ticket")});
        break;
      case kDue:
        event.what = Event(TimerFired{in.U64("label")});
        break;
      case kHeard: {
        GossipMessage message;
        message.from = in.U32("src");
        message.text = in.Bytes(in.U16("msg"), "msg");
        event.what = Event(std::move(message));
        break;
      }
      case kOpened:
        continue;  // streamed classes only; the answer itself still comes as a REPLY
      default:
        in.Complain("unknown code");
    }
    in.End();
    batch.events.push_back(std::move(event));
  }
  frame.End();
  return batch;
}

void Encoder::Add(int instance, const std::vector<Action>& actions) {
  if (actions.empty()) return;
  RecordWriter writer{body_};
  writer.Head(kSource, 2);
  Put(body_, static_cast<std::uint64_t>(instance), 2);
  for (const Action& action : actions) std::visit(writer, action);
  records_ += 1 + static_cast<std::uint32_t>(actions.size());
}

std::string Encoder::Finish() {
  std::string frame;
  frame.reserve(body_.size() + 8);
  Put(frame, body_.size() + 4, 4);
  Put(frame, records_, 4);
  frame += body_;
  body_.clear();
  records_ = 0;
  return frame;
}

}  // namespace liftrudder::simulator
