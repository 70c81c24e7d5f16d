// An EndpointConnectionPool over loopback; the test acts as every endpoint and controls the order of events.
#ifndef LIFTRUDDER_TESTS_SUPPORT_CONNECTION_POOL_FIXTURE_H_
#define LIFTRUDDER_TESTS_SUPPORT_CONNECTION_POOL_FIXTURE_H_

#include <catch2/catch.hpp>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordinator/endpoint_registry.h"
#include "net/endpoint_connection_pool.h"
#include "platform/frames.h"

namespace liftrudder::tests {

// A request of this size stays partly written while its endpoint does not read.
constexpr std::size_t kMoreThanSocketBuffersHold = 64 * 1024 * 1024;

// A pool for `endpoints` listening endpoints, and the results of its attempts.
class ConnectionPoolFixture {
 public:
  ConnectionPoolFixture(int endpoints, const net::ConnectionLimits& limits,
                        std::unique_ptr<net::EndpointProtocol> endpoint_protocol =
                            std::make_unique<platform::FrameProtocol>(std::vector<std::string>{}))
      : protocol(std::move(endpoint_protocol)) {
    coordinator::EndpointList list{1, liftrudder::routing::EndpointListKind::kFull, {}};
    for (int i = 0; i < endpoints; ++i) {
      listeners.push_back(net::Listen("127.0.0.1:0"));
      list.entries.push_back({"h" + std::to_string(i), net::LocalAddress(listeners.back()), {}});
    }
    update = endpoint_registry.Apply(list, 1);
    pool.emplace(*protocol, endpoint_registry, clock, limits, counters, figures,
                 [this](coordinator::AttemptResult result) {
                   if (before_result) before_result();
                   std::lock_guard lock(mutex);
                   results.push_back(std::move(result));
                   result_added.notify_one();
                 });
  }
  // Starts the first attempt of the next shard request; their ids count from 1.
  void Send(int endpoint, std::shared_ptr<const coordinator::ClientPresence> client = nullptr) {
    StartAttempt(endpoint, {++shard_requests, 0}, std::move(client));
  }
  void StartAttempt(int endpoint, const coordinator::AttemptKey& key,
                    std::shared_ptr<const coordinator::ClientPresence> client = nullptr) {
    coordinator::AttemptRequest request;
    request.key = key;
    request.endpoint = update->endpoints[static_cast<std::size_t>(endpoint)].id;
    request.shard = static_cast<int>(key.shard_request);
    request.attempt_deadline_us = clock.Now() + 60'000'000;
    request.latest_send_us = clock.Now() + send_within_us.value_or(60'000'000);
    request.payload = std::make_shared<coordinator::Payload>(
        coordinator::Payload{"q", "", statement, "/", std::move(client)});
    pool->Start(std::move(request));
    if (end_round_after_send) pool->EndRound();
  }
  // Accepts the endpoint's next connection and reads the first bytes on it into `received`.
  net::Fd AcceptAndRead(int endpoint) {
    net::Fd fd = net::Accept(listeners[static_cast<std::size_t>(endpoint)], 10'000'000);
    received.clear();
    REQUIRE(net::ReadSome(fd, received, 10'000'000) == net::IoStatus::kOk);
    return fd;
  }
  // Waits for the nth result, from 0.
  coordinator::AttemptResult WaitForResult(std::size_t nth) {
    std::unique_lock lock(mutex);
    REQUIRE(result_added.wait_for(lock, std::chrono::seconds(20), [&] { return results.size() > nth; }));
    return results[nth];
  }
  std::size_t ResultCount() {
    std::lock_guard lock(mutex);
    return results.size();
  }

  std::string statement = "text";             // of the attempts that Send starts
  std::optional<net::Micros> send_within_us;  // of the attempts that Send starts; none: until their deadline
  std::string received;                       // the bytes read by the last AcceptAndRead
  // Called on the pool's thread, under its lock, before it goes on after the end of an attempt.
  std::function<void()> before_result;
  std::vector<net::Fd> listeners;
  coordinator::EndpointRegistry endpoint_registry;
  std::optional<liftrudder::routing::EndpointListUpdate> update;
  net::SteadyClock clock;
  metrics::Counters counters;
  metrics::OperatorFigures figures{{"search"}};
  std::unique_ptr<net::EndpointProtocol> protocol;
  std::mutex mutex;  // guards `results`
  std::condition_variable result_added;
  std::vector<coordinator::AttemptResult> results;
  coordinator::Id shard_requests = 0;
  bool end_round_after_send = true;                 // after each Send, so that requests share no frame
  std::optional<net::EndpointConnectionPool> pool;  // declared last: its thread uses all members above
};

// The frame with which an endpoint answers a shard request, with the outcome as the protocol writes it.
inline std::string Response(coordinator::Id shard_request, const std::string& outcome) {
  std::string text = "aq." + std::to_string(shard_request) + " " + outcome + " 1 -\nv";
  return std::string{static_cast<char>(text.size()), 0, 0, 0} + text;
}
inline std::string ServedResponse(coordinator::Id shard_request) { return Response(shard_request, "served"); }

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SUPPORT_CONNECTION_POOL_FIXTURE_H_
