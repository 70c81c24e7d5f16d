#include "platform/discovery.h"

#include <algorithm>
#include <chrono>
#include <exception>

#include "log/log.h"
#include "net/http.h"
#include "net/object_stream.h"

namespace liftrudder::platform {
namespace {

constexpr coordinator::Micros kConnectWait = 500'000;
// The watch beats every 2 s; what it had to tell counts as told 6 s later, so a silent one is left soon.
constexpr coordinator::Micros kSilence = 3'000'000;
constexpr coordinator::Micros kSlice = 200'000;
// What it has it tells at once, behind its head; where that is all for so long, there is nothing newer.
constexpr coordinator::Micros kFirstWord = 20'000;
// A list has an entry for each holder, and as many again for those that replace others; few groups have more
// than a thousand. An entry is some 130 bytes on one line and twice that indented; names may be long.
constexpr std::size_t kLeastEntries = 1024, kEntriesPerCell = 4;
constexpr std::size_t kEntryBytes = 2048;

std::size_t MostListBytes(const routing::Settings& settings) {
  return kEntryBytes * std::max(kLeastEntries, kEntriesPerCell * static_cast<std::size_t>(settings.cells));
}

}  // namespace

DiscoveryWatch::DiscoveryWatch(const config::Config& config, coordinator::EndpointRegistry& endpoint_registry,
                               coordinator::Coordinator& coordinator, const coordinator::Clock& clock)
    : config_(config),
      endpoint_registry_(endpoint_registry),
      coordinator_(coordinator),
      clock_(clock),
      waits_(limits::WatchTimeoutsOf(config.settings)),
      backoff_(waits_.first_backoff_us, waits_.max_backoff_us, config.seed),
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

// Cut short by the end, and by a new address: that one has turned nobody away yet.
void DiscoveryWatch::Pause(coordinator::Micros span, const std::string& address) {
  std::unique_lock lock(mutex_);
  wake_.wait_for(lock, std::chrono::microseconds(span), [&] { return stopping_ || address_ != address; });
}

std::string DiscoveryWatch::Address() const {
  std::lock_guard lock(mutex_);
  return address_;
}

void DiscoveryWatch::Loop() {
  std::string address = Address();
  Pause(backoff_.Within(waits_.initial_delay_us), address);
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
    // Said once, not at each try.
    if (backoff_.failures() == 0) log::Info("discovery: the watch at {} is lost: {}", address, reason);
    Pause(backoff_.NextWait(), address);
  }
}

void DiscoveryWatch::Watch(const std::string& address) {
  net::Fd fd = net::Connect(address, kConnectWait);
  if (!fd.Valid()) throw std::runtime_error("no connection");
  std::string ask = fmt::format("GET /api/targets?watch=1&from={} HTTP/1.1\r\nHost: {}\r\n\r\n",
                                endpoint_registry_.Version(), address);
  if (net::WriteAll(fd, ask, kConnectWait).status != net::Io::kOk) throw std::runtime_error("cannot ask");
  net::HttpParser parser(net::HttpParser::Kind::kResponse, MostListBytes(config_.settings));
  net::ObjectStream lists(MostListBytes(config_.settings));
  std::string pending;
  coordinator::Micros heard_us = clock_.Now();
  bool settled = false;  // it has told what it had when it was asked
  // An address that was left may go on beating for a while and tell nothing new any more.
  while (!stopping_ && clock_.Now() - heard_us < kSilence && Address() == address) {
    bool asked = !settled && parser.message().status == 200;
    net::Io got = net::ReadSome(fd, pending, asked ? kFirstWord : kSlice);
    if (got == net::Io::kTimeout && asked) endpoint_registry_.MarkUpToDate();
    settled = settled || asked;
    if (got == net::Io::kTimeout) continue;
    if (got != net::Io::kOk) return;
    net::HttpParser::State state = parser.Feed(pending);
    if (state == net::HttpParser::State::kBad) throw std::runtime_error("the watch is not HTTP");
    net::HttpMessage& message = parser.message();
    if (message.status != 0 && message.status != 200) throw std::runtime_error("the watch was turned down");
    // What came is cut by its structure, not by lines: a list may stand on many.
    bool told = false;
    bool usable = lists.Feed(message.body, [&](std::string_view list) {
      TakeList(list);
      told = true;
    });
    if (!usable) throw std::runtime_error("the watch is no stream of lists: " + lists.error());
    // A sign of life is a list or a beat, which is an empty line between lists. Guards against bytes that go
    // on for ever and never make up a list, and against a wait that still grows with losses long mended:
    // where nothing changes a watch has no list to tell.
    if (told || (!message.body.empty() && !lists.open())) {
      heard_us = clock_.Now();
      Answered(address);
    }
    message.body.clear();
    if (state == net::HttpParser::State::kDone && lists.open())
      throw std::runtime_error("it ended in a list");
    if (state == net::HttpParser::State::kDone) return;
  }
  if (clock_.Now() - heard_us >= kSilence) throw std::runtime_error("it fell silent");
}

void DiscoveryWatch::Answered(const std::string& address) {
  if (backoff_.failures() > 0)
    log::Info("discovery: watching at {} again after {} failures", address, backoff_.failures());
  backoff_.Reset();
}

void DiscoveryWatch::TakeList(std::string_view text) {
  coordinator::EndpointList list = config::ParseEndpointList(text, config_);
  auto update = endpoint_registry_.Apply(list, clock_.Now());
  if (!update) return;
  log::Info("holder list {}{}: {} entries", list.version,
            list.kind == routing::EndpointListKind::kFull ? ", whole" : "", list.entries.size());
  coordinator_.Post(std::move(*update));
}

}  // namespace liftrudder::platform
