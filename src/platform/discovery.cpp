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
#include "net/json_object_splitter.h"
#include "platform/wire_names.h"

namespace liftrudder::platform {
namespace {

constexpr coordinator::Micros kConnectTimeoutUs = 500'000;
// Discovery sends a heartbeat every 2 s. From 6 s after an update on, it assumes that every watch has
// received the update. A watch that is silent for kSilenceTimeoutUs is replaced, in time to receive it within
// those 6 s.
constexpr coordinator::Micros kSilenceTimeoutUs = 3'000'000;
constexpr coordinator::Micros kReadTimeoutUs = 200'000;  // how soon a stop or a new address is noticed
// Discovery sends pending lists directly after the response header. When nothing arrives for this long, the
// list in use is current.
constexpr coordinator::Micros kCatchUpTimeoutUs = 20'000;
// Bounds the size of a list. It has an entry for each endpoint and, during a rolling replacement, one for
// each successor; few fleets have more than a thousand endpoints. An entry takes some 130 bytes on one line
// and twice that when indented; long names add to it.
constexpr std::size_t kMinListEntries = 1024;
constexpr std::size_t kListEntriesPerCell = 4;
constexpr std::size_t kMaxEntryBytes = 2048;

constexpr int kHttpOk = 200;

// Why the watch was lost; caught in Loop.
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
  net::JsonObjectSplitter lists;
  std::string pending;
  coordinator::Micros last_activity_us;
  bool caught_up = false;  // set by the first read after the response header
};

DiscoveryWatch::DiscoveryWatch(const config::Config& config, coordinator::EndpointRegistry& endpoint_registry,
                               coordinator::Coordinator& coordinator, const coordinator::Clock& clock)
    : config_(config),
      endpoint_registry_(endpoint_registry),
      coordinator_(coordinator),
      clock_(clock),
      timeouts_(limits::WatchTimeoutsOf(config.settings)),
      backoff_(timeouts_.first_backoff_us, timeouts_.max_backoff_us, config.seed),
      address_(config.discovery_address),
      thread_([this] { Loop(); }) {}

DiscoveryWatch::~DiscoveryWatch() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    wake_.notify_one();
  }
  thread_.Join();
}

void DiscoveryWatch::SetAddress(const std::string& address) {
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
  Pause(backoff_.RandomBelow(timeouts_.initial_delay_us), address);
  while (!stopping_) {
    address = Address();
    std::string reason = "the connection ended";
    try {
      Watch(address);
    } catch (const std::exception& error) {
      reason = error.what();
    }
    if (stopping_ || Address() != address) {
      backoff_.Reset();
      continue;
    }
    // Only the first of consecutive failures is logged.
    if (backoff_.failures() == 0) log::Info("discovery: the watch at {} is lost: {}", address, reason);
    Pause(backoff_.NextWait(), address);
  }
}

void DiscoveryWatch::Watch(const std::string& address) {
  Stream stream(OpenWatch(address), MaxListBytes(config_.settings), clock_.Now());
  // The loop also ends when a reload changes the address: the old address may still send heartbeats, but
  // sends no more lists.
  while (!stopping_ && clock_.Now() - stream.last_activity_us < kSilenceTimeoutUs && Address() == address) {
    if (ReadStream(address, stream) == StreamState::kEnded) return;
  }
  if (clock_.Now() - stream.last_activity_us >= kSilenceTimeoutUs) throw WatchError("heartbeat timeout");
}

net::Fd DiscoveryWatch::OpenWatch(const std::string& address) {
  net::Fd fd = net::Connect(address, kConnectTimeoutUs);
  if (!fd.Valid()) throw WatchError("cannot connect");
  const std::string request = fmt::format("GET {}{} HTTP/1.1\r\nHost: {}\r\n\r\n", wire::kWatchTarget,
                                          endpoint_registry_.Version(), address);
  if (net::WriteAll(fd, request, kConnectTimeoutUs).status != net::IoStatus::kOk) {
    throw WatchError("cannot write the request");
  }
  return fd;
}

DiscoveryWatch::StreamState DiscoveryWatch::ReadStream(const std::string& address, Stream& stream) {
  const bool catching_up = !stream.caught_up && stream.parser.message().status == kHttpOk;
  const net::IoStatus got =
      net::ReadSome(stream.fd, stream.pending, catching_up ? kCatchUpTimeoutUs : kReadTimeoutUs);
  if (got == net::IoStatus::kTimeout && catching_up) endpoint_registry_.MarkUpToDate();
  stream.caught_up = stream.caught_up || catching_up;
  if (got == net::IoStatus::kTimeout) return StreamState::kOpen;
  if (got != net::IoStatus::kOk) return StreamState::kEnded;
  return ProcessReceived(address, stream);
}

DiscoveryWatch::StreamState DiscoveryWatch::ProcessReceived(const std::string& address, Stream& stream) {
  const net::HttpParser::State state = stream.parser.Feed(stream.pending);
  if (state == net::HttpParser::State::kBad) throw WatchError("the response is not valid HTTP");
  net::HttpMessage& message = stream.parser.message();
  if (message.status != 0 && message.status != kHttpOk) throw WatchError("the response status is not 200");
  // Lists are separated by their JSON structure, since one list may span several lines.
  bool had_list = false;
  const bool usable = stream.lists.Feed(message.body, [&](std::string_view list) {
    ApplyList(list);
    had_list = true;
  });
  if (!usable) throw WatchError("the response body is not a stream of lists: " + stream.lists.error());
  // Activity is a list or a heartbeat, which is an empty line between lists; bytes that never complete a list
  // do not count. A heartbeat resets the backoff too, since the list may stay unchanged for a long time.
  const bool heartbeat = !message.body.empty() && !stream.lists.open();
  if (had_list || heartbeat) RecordActivity(address, stream);
  message.body.clear();
  if (state != net::HttpParser::State::kDone) return StreamState::kOpen;
  if (stream.lists.open()) throw WatchError("the response ended inside a list");
  return StreamState::kEnded;
}

void DiscoveryWatch::RecordActivity(const std::string& address, Stream& stream) {
  stream.last_activity_us = clock_.Now();
  if (backoff_.failures() > 0) {
    log::Info("discovery: the watch at {} is open again after {} failures", address, backoff_.failures());
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
