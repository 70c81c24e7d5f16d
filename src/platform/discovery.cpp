#include "platform/discovery.h"

#include <time.h>

#include <exception>

#include "log/log.h"
#include "net/http.h"

namespace liftrudder::platform {
namespace {

constexpr core::Micros kConnectWait = 500'000;
// The watch beats every 2 s; what it had to tell counts as told 6 s later, so a silent one is left soon.
constexpr core::Micros kSilence = 3'000'000;
constexpr core::Micros kSlice = 200'000;
constexpr core::Micros kPause = 100'000;

}  // namespace

DiscoveryWatch::DiscoveryWatch(const config::Config& config, core::Directory& directory, core::Core& core,
                               const core::Clock& clock)
    : config_(config),
      directory_(directory),
      core_(core),
      clock_(clock),
      address_(config.discovery),
      thread_([this] { Loop(); }) {}

DiscoveryWatch::~DiscoveryWatch() {
  stopping_ = true;
  thread_.Join();
}

void DiscoveryWatch::Move(const std::string& address) {
  std::lock_guard lock(mutex_);
  address_ = address;
}

std::string DiscoveryWatch::Address() const {
  std::lock_guard lock(mutex_);
  return address_;
}

void DiscoveryWatch::Loop() {
  while (!stopping_) {
    try {
      Watch();
    } catch (const std::exception& error) {
      log::Error("discovery: {}", error.what());
    }
    timespec pause{0, kPause * 1000};
    nanosleep(&pause, nullptr);
  }
}

void DiscoveryWatch::Watch() {
  std::string address = Address();
  net::Fd fd = net::Connect(address, kConnectWait);
  if (!fd.Valid()) return;
  std::string ask = fmt::format("GET /api/targets?watch=1&from={} HTTP/1.1\r\nHost: {}\r\n\r\n",
                                directory_.Version(), address);
  if (net::WriteAll(fd, ask, kConnectWait).status != net::Io::kOk) return;
  net::HttpParser parser(net::HttpParser::Kind::kResponse);
  std::string pending;
  core::Micros heard_us = clock_.Now();
  // An address that was left may go on beating for a while and tell nothing new any more.
  while (!stopping_ && clock_.Now() - heard_us < kSilence && Address() == address) {
    net::Io got = net::ReadSome(fd, pending, kSlice);
    if (got == net::Io::kTimeout) continue;
    if (got != net::Io::kOk) return;
    heard_us = clock_.Now();
    net::HttpParser::State state = parser.Feed(pending);
    if (state == net::HttpParser::State::kBad) throw std::runtime_error("the watch is not HTTP");
    net::HttpMessage& message = parser.message();
    if (message.status != 0 && message.status != 200) throw std::runtime_error("the watch was turned down");
    std::size_t end = 0;
    while ((end = message.body.find('\n')) != std::string::npos) {
      TakeLine(std::string_view(message.body).substr(0, end));
      message.body.erase(0, end + 1);
    }
    if (state == net::HttpParser::State::kDone) return;
  }
}

void DiscoveryWatch::TakeLine(std::string_view line) {
  if (line.find_first_not_of(" \r") == std::string_view::npos) return;
  core::HolderList list = config::ParseHolders(line, config_);
  auto news = directory_.Apply(list, clock_.Now());
  if (!news) return;
  log::Info("holder list {}{}: {} entries", list.version,
            list.kind == tinsail::ListKind::kFull ? ", whole" : "", list.entries.size());
  core_.Post(std::move(*news));
}

}  // namespace liftrudder::platform
