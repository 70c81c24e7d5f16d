#include "platform/discovery.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <exception>
#include <stdexcept>
#include <utility>

#include "config/endpoint_list.h"
#include "log/log.h"
#include "net/http.h"
#include "net/object_stream.h"
#include "platform/wire_names.h"

namespace liftrudder::platform {
namespace {

constexpr coordinator::Micros kConnectTimeoutUs = 500'000;
// A watch has a heartbeat every 2 s, and an update counts as notified 6 s after it was made: a watch that is
// silent for longer than kSilenceTimeoutUs is replaced before the 6 s are over.
constexpr coordinator::Micros kSilenceTimeoutUs = 3'000'000;
constexpr coordinator::Micros kReadSliceUs = 200'000;  // how soon a stop or a move is noticed
// Discovery sends what it has directly after the response header; when nothing arrives for this long, what
// has been received is current.
constexpr coordinator::Micros kFirstListTimeoutUs = 20'000;
// A list has an entry for each endpoint and, during a rolling replacement, one more for its successor; few
// fleets have more than a thousand. An entry is some 130 bytes on one line, twice that indented, and names
// may be long.
constexpr std::size_t kMinListEntries = 1024;
constexpr std::size_t kListEntriesPerCell = 4;
constexpr std::size_t kMaxEntryBytes = 2048;

constexpr int kHttpOk = 200;

// Why the watch at one address was lost; caught in Loop.
class WatchError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

std::size_t MaxListBytes(const routing::Settings& settings) {
  const std::size_t by_cells = kListEntriesPerCell * static_cast<std::size_t>(settings.cells);
  return kMaxEntryBytes * std::max(kMinListEntries, by_cells);
}

}  // namespace

// One connection to discovery.
struct DiscoveryWatch::Stream {
  Stream(net::Fd connection, std::size_t max_list_bytes, coordinator::Micros now_us)
      : fd(std::move(connection)),
        parser(net::HttpParser::Kind::kResponse, max_list_bytes),
        lists(max_list_bytes),
        last_activity_us(now_us) {}

  net::Fd fd;
  net::HttpParser parser;
  net::ObjectStream lists;
  std::string pending;
  coordinator::Micros last_activity_us;
  bool caught_up = false;  // what discovery had when the watch was opened has come
};

DiscoveryWatch::DiscoveryWatch(const config::Config& config, coordinator::EndpointRegistry& endpoint_registry,
                               coordinator::Coordinator& coordinator, const coordinator::Clock& clock)
    : config_(config),
      endpoint_registry_(endpoint_registry),
      coordinator_(coordinator),
      clock_(clock),
      timeouts_(limits::WatchTimeoutsOf(config.settings)),
      backoff_(timeouts_.first_backoff_us, timeouts_.max_backoff_us, config.seed),
      address_(config.discovery),
      thread_([this] { Loop(); }) {}

DiscoveryWatch::~DiscoveryWatch() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    wake_.notify_one();
  }
  thread_.Join();
}

void DiscoveryWatch::Move(const std::string& address) {
  std::lock_guard lock(mutex_);
  address_ = address;
  wake_.notify_one();
}

void DiscoveryWatch::Pause(coordinator::Micros span_us, const std::string& address) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, std::chrono::microseconds(span_us), [&] { return stopping_ || address_ != address; });
}

std::string DiscoveryWatch::Address() const {
  std::lock_guard lock(mutex_);
  return address_;
}

void DiscoveryWatch::Loop() {
  std::string address = Address();
  Pause(backoff_.Within(timeouts_.initial_delay_us), address);
  while (!stopping_) {
    address = Address();
    std::string reason = "it ended";
    try {
      Watch(address);
    } catch (const std::exception& error) {
      reason = error.what();
    }
    if (stopping_ || Address() != address) {
      backoff_.Reset();
      continue;
    }
    // Logged once, not at each attempt.
    if (backoff_.failures() == 0) log::Info("discovery: the watch at {} is lost: {}", address, reason);
    Pause(backoff_.NextWait(), address);
  }
}

void DiscoveryWatch::Watch(const std::string& address) {
  Stream stream(OpenWatch(address), MaxListBytes(config_.settings), clock_.Now());
  // After a reload has moved discovery, the old address may still send heartbeats but no more lists.
  while (!stopping_ && clock_.Now() - stream.last_activity_us < kSilenceTimeoutUs && Address() == address) {
    if (ReadStream(address, stream) == StreamState::kEnded) return;
  }
  if (clock_.Now() - stream.last_activity_us >= kSilenceTimeoutUs) throw WatchError("it fell silent");
}

net::Fd DiscoveryWatch::OpenWatch(const std::string& address) {
  net::Fd fd = net::Connect(address, kConnectTimeoutUs);
  if (!fd.Valid()) throw WatchError("no connection");
  const std::string request = fmt::format("GET {}{} HTTP/1.1\r\nHost: {}\r\n\r\n", wire::kWatchTarget,
                                          endpoint_registry_.Version(), address);
  if (net::WriteAll(fd, request, kConnectTimeoutUs).status != net::Io::kOk) {
    throw WatchError("the request cannot be written");
  }
  return fd;
}

DiscoveryWatch::StreamState DiscoveryWatch::ReadStream(const std::string& address, Stream& stream) {
  const bool catching_up = !stream.caught_up && stream.parser.message().status == kHttpOk;
  const net::Io got =
      net::ReadSome(stream.fd, stream.pending, catching_up ? kFirstListTimeoutUs : kReadSliceUs);
  if (got == net::Io::kTimeout && catching_up) endpoint_registry_.MarkUpToDate();
  stream.caught_up = stream.caught_up || catching_up;
  if (got == net::Io::kTimeout) return StreamState::kOpen;
  if (got != net::Io::kOk) return StreamState::kEnded;
  return TakeReceived(address, stream);
}

DiscoveryWatch::StreamState DiscoveryWatch::TakeReceived(const std::string& address, Stream& stream) {
  const net::HttpParser::State state = stream.parser.Feed(stream.pending);
  if (state == net::HttpParser::State::kBad) throw WatchError("the watch is not HTTP");
  net::HttpMessage& message = stream.parser.message();
  if (message.status != 0 && message.status != kHttpOk) throw WatchError("the watch was turned down");
  // Lists are separated by their structure and not by lines: one may be written on many.
  bool had_list = false;
  const bool usable = stream.lists.Feed(message.body, [&](std::string_view list) {
    ApplyList(list);
    had_list = true;
  });
  if (!usable) throw WatchError("the watch is no stream of lists: " + stream.lists.error());
  // Activity is a list or a heartbeat, which is an empty line between lists. Bytes that go on and never
  // complete a list are none; and since nothing may change for long, a heartbeat must end the backoff too.
  const bool heartbeat = !message.body.empty() && !stream.lists.open();
  if (had_list || heartbeat) NoteActivity(address, stream);
  message.body.clear();
  if (state != net::HttpParser::State::kDone) return StreamState::kOpen;
  if (stream.lists.open()) throw WatchError("it ended in a list");
  return StreamState::kEnded;
}

void DiscoveryWatch::NoteActivity(const std::string& address, Stream& stream) {
  stream.last_activity_us = clock_.Now();
  if (backoff_.failures() > 0) {
    log::Info("discovery: watching at {} again after {} failures", address, backoff_.failures());
  }
  backoff_.Reset();
}

void DiscoveryWatch::ApplyList(std::string_view text) {
  const coordinator::EndpointList list = config::ParseEndpointList(text, config_);
  auto update = endpoint_registry_.Apply(list, clock_.Now());
  if (!update) return;
  log::Info("endpoint list {}{}: {} entries", list.version,
            list.kind == routing::EndpointListKind::kFull ? ", full" : "", list.entries.size());
  coordinator_.Post(std::move(*update));
}

}  // namespace liftrudder::platform
