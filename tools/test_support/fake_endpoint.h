// A fake endpoint on a loopback port that speaks the platform's frame protocol, misbehaves as its script
// says, and logs every shard request that it receives. For tests. Runs its own threads; its functions are
// thread-safe.
#ifndef LIFTRUDDER_TOOLS_TEST_SUPPORT_FAKE_ENDPOINT_H_
#define LIFTRUDDER_TOOLS_TEST_SUPPORT_FAKE_ENDPOINT_H_

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "net/socket.h"

namespace liftrudder::test_support {

enum class ResponseKind { kServe, kError, kReject, kReset, kSilent, kMalformed };

struct PlannedResponse {
  ResponseKind response_kind = ResponseKind::kServe;
  net::Micros delay_us = 0;
};

struct ReceivedRequest {
  std::string shard_request;  // its id: the call id, a dot and the shard number
  net::Micros at_us = 0;
  ResponseKind response_kind = ResponseKind::kServe;  // how it was answered
  bool cancellation_requested = false;                // a cancel frame for it was received
};

class FakeEndpoint {
 public:
  // Called for each shard request, on its connection's thread; `nth`: the number of earlier shard requests.
  using Script = std::function<PlannedResponse(const std::string& shard_request, std::size_t nth)>;

  explicit FakeEndpoint(Script script);
  ~FakeEndpoint();

  const std::string& addr() const { return addr_; }
  std::vector<ReceivedRequest> ReceivedRequests() const;

 private:
  struct Connection {
    net::Fd fd;
    net::Thread read_thread;
    std::atomic<bool> closed{false};
  };
  struct Reply {
    std::shared_ptr<Connection> connection;
    std::string shard_request;
    ResponseKind response_kind = ResponseKind::kServe;
  };

  void AcceptLoop();
  void ReadLoop(const std::shared_ptr<Connection>& connection);
  void HandleFrame(const std::shared_ptr<Connection>& connection, std::string_view frame);
  void ReplyLoop();

  const Script script_;
  net::Fd listener_;
  std::string addr_;
  net::SteadyClock clock_;
  mutable std::mutex mutex_;
  std::condition_variable reply_queued_;
  bool stopping_ = false;
  std::vector<ReceivedRequest> received_requests_;
  std::multimap<net::Micros, Reply> replies_;
  std::list<std::shared_ptr<Connection>> connections_;
  net::Thread accept_thread_, reply_thread_;
};

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_FAKE_ENDPOINT_H_
