// The links to holders by themselves, over loopback: the test is each holder and decides what comes when.
#ifndef LIFTRUDDER_TESTS_SUPPORT_CONNECTION_POOL_FIXTURE_H_
#define LIFTRUDDER_TESTS_SUPPORT_CONNECTION_POOL_FIXTURE_H_

#include <catch2/catch.hpp>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordinator/endpoint_registry.h"
#include "net/endpoint_connection_pool.h"
#include "platform/frames.h"

namespace liftrudder::tests {

// Links to so many listening holders; parts go out and their ends come back.
class LinksUnderTest {
 public:
  LinksUnderTest(int endpoints, const net::ConnectionLimits& limits) : protocol(load_names) {
    coordinator::EndpointList list{1, liftrudder::routing::EndpointListKind::kFull, {}};
    for (int i = 0; i < endpoints; ++i) {
      listeners.push_back(net::Listen("127.0.0.1:0"));
      list.entries.push_back({"h" + std::to_string(i), net::LocalAddress(listeners.back()), {}});
    }
    update = endpoint_registry.Apply(list, 1);
    links.emplace(protocol, endpoint_registry, clock, limits, counters, figures,
                  [this](coordinator::AttemptResult result) {
                    std::lock_guard lock(mutex);
                    results.push_back(std::move(result));
                    wake.notify_one();
                  });
  }
  void Send(int endpoint, std::shared_ptr<const coordinator::ClientPresence> client = nullptr) {
    coordinator::AttemptRequest order;
    order.key = {++shard_requests, 0};
    order.endpoint = update->endpoints[static_cast<std::size_t>(endpoint)].id;
    order.shard = static_cast<int>(shard_requests);
    order.attempt_deadline_us = clock.Now() + 60'000'000;
    order.payload =
        std::make_shared<coordinator::Payload>(coordinator::Payload{"q", "", "text", "", std::move(client)});
    links->Start(std::move(order));
    if (ends_round) links->EndRound();
  }
  // The holder's newest connection, once a frame has come on it.
  net::Fd Take(int endpoint) {
    net::Fd fd = net::Accept(listeners[static_cast<std::size_t>(endpoint)], 10'000'000);
    got.clear();
    REQUIRE(net::ReadSome(fd, got, 10'000'000) == net::Io::kOk);
    return fd;
  }
  coordinator::AttemptResult Ended(std::size_t nth) {
    std::unique_lock lock(mutex);
    REQUIRE(wake.wait_for(lock, std::chrono::seconds(20), [&] { return results.size() > nth; }));
    return results[nth];
  }
  std::size_t Results() {
    std::lock_guard lock(mutex);
    return results.size();
  }

  std::string got;  // by the last Take
  std::vector<net::Fd> listeners;
  coordinator::EndpointRegistry endpoint_registry;
  std::optional<liftrudder::routing::EndpointListUpdate> update;
  net::SteadyClock clock;
  metrics::Counters counters;
  metrics::OperatorFigures figures{{"search"}};
  const std::vector<std::string> load_names;
  platform::FrameProtocol protocol;
  std::mutex mutex;
  std::condition_variable wake;
  std::vector<coordinator::AttemptResult> results;
  coordinator::Id shard_requests = 0;
  bool ends_round = true;  // each part goes in a round of its own
  std::optional<net::EndpointConnectionPool> links;
};

inline std::string AnsweredQuery(coordinator::Id shard_request) {
  std::string text = "aq." + std::to_string(shard_request) + " served 1 -\nv";
  return std::string{static_cast<char>(text.size()), 0, 0, 0} + text;
}

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SUPPORT_CONNECTION_POOL_FIXTURE_H_
