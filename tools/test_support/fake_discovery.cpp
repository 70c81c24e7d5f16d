#include "test_support/fake_discovery.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

#include "net/http.h"

namespace liftrudder::test_support {
namespace {

constexpr net::Micros kPollTimeoutUs = 50'000;
constexpr net::Micros kHeartbeatIntervalUs = 1'000'000;  // an empty line is sent while nothing changes
constexpr net::Micros kSocketTimeoutUs = 1'000'000;
constexpr std::size_t kChunkBytes = 997;  // an indented list is split into chunks of this size

std::string FormatChunk(const std::string& text) { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); }

}  // namespace

FakeDiscovery::FakeDiscovery() : listener_(net::Listen("127.0.0.1:0")), addr_(net::LocalAddress(listener_)) {
  server_thread_ = net::Thread([this] { ServeLoop(); });
}

FakeDiscovery::~FakeDiscovery() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  server_thread_.Join();
}

void FakeDiscovery::UpdateEndpoint(const std::string& id, const std::string& endpoint_addr, int cell,
                                   const std::string& state) {
  UpdateEndpoints({{id, endpoint_addr, cell, state}});
}

void FakeDiscovery::UpdateEndpoints(const std::vector<Entry>& entries) {
  std::lock_guard lock(mutex_);
  std::string entries_json;
  for (const Entry& change : entries) {
    std::string entry = fmt::format(
        R"({{"id":"{}","addr":"{}","zone":"dc1","kind":"k","cell":{},"state":"{}","weight":1.0,"started_ms":0}})",
        change.id, change.addr, change.cell, change.state);
    endpoints_[change.id] = entry;
    if (change.state == "gone") endpoints_.erase(change.id);
    entries_json += (entries_json.empty() ? "" : ",") + entry;
  }
  ++version_;
  std::string chunks = FormatChunks(FormatList(entries_json, false));
  for (const net::Fd& watcher : watchers_) net::WriteAll(watcher, chunks, kSocketTimeoutUs);
}

std::string FakeDiscovery::FormatChunks(const std::string& list) const {
  if (!indented_) return FormatChunk(list + "\n");
  std::string text = "\n" + nlohmann::json::parse(list).dump(4) + "\n\n", out;
  for (std::size_t i = 0; i < text.size(); i += kChunkBytes) out += FormatChunk(text.substr(i, kChunkBytes));
  return out;
}

std::string FakeDiscovery::FormatList(const std::string& servers, bool full) const {
  return fmt::format(R"({{"version":{},"full":{},"servers":[{}]}})", version_, full, servers);
}

std::string FakeDiscovery::List() const {
  std::lock_guard lock(mutex_);
  std::string entries_json;
  for (const auto& [id, entry] : endpoints_) entries_json += (entries_json.empty() ? "" : ",") + entry;
  return FormatList(entries_json, true);
}

void FakeDiscovery::ServeLoop() {
  net::SteadyClock clock;
  net::Micros last_heartbeat_us = clock.Now();
  while (true) {
    net::Fd fd = net::Accept(listener_, kPollTimeoutUs);
    {
      std::lock_guard lock(mutex_);
      if (stopping_) return;
      if (clock.Now() - last_heartbeat_us > kHeartbeatIntervalUs) {
        last_heartbeat_us = clock.Now();
        for (const net::Fd& watcher : watchers_) net::WriteAll(watcher, FormatChunk("\n"), kSocketTimeoutUs);
      }
    }
    if (!fd.Valid()) continue;
    net::HttpParser parser(net::HttpParser::Kind::kRequest);
    std::string in;
    auto state = net::HttpParser::State::kHead;
    while (state != net::HttpParser::State::kDone && state != net::HttpParser::State::kBad &&
           net::ReadSome(fd, in, kSocketTimeoutUs) == net::IoStatus::kOk) {
      state = parser.Feed(in);
    }
    if (state != net::HttpParser::State::kDone) continue;
    std::string list = List();
    if (!parser.message().Parameter("watch")) {
      net::HttpResponse response;
      response.body = list;
      net::WriteAll(fd, net::Format(response, true), kSocketTimeoutUs);
      continue;
    }
    net::WriteAll(fd,
                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
                      FormatChunks(list),
                  kSocketTimeoutUs);
    std::lock_guard lock(mutex_);
    watchers_.push_back(std::move(fd));
  }
}

}  // namespace liftrudder::test_support
