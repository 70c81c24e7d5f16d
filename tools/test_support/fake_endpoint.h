// A fake endpoint that speaks the platform's frames on a loopback port, misbehaves as its script says, and
// logs every shard request that reaches it. For tests; decides nothing about queries. Threads of its own; its
// functions are for any thread.
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

enum class Act { kServe, kBreak, kSkip, kReset, kSilent, kSpoil };

struct Behaviour {
  Act act = Act::kServe;
  net::Micros delay_us = 0;
};

struct LoggedRequest {
  std::string shard_request;  // its id: the call id, a dot, the shard
  net::Micros at_us = 0;
  Act act = Act::kServe;  // how it was answered
  bool given_up = false;  // its cancellation was requested
};

class FakeEndpoint {
 public:
  // Called for each shard request, on the connection's thread; `nth`: how many came before it.
  using Script = std::function<Behaviour(const std::string& shard_request, std::size_t nth)>;

  explicit FakeEndpoint(Script script);
  ~FakeEndpoint();

  const std::string& addr() const { return addr_; }
  std::vector<LoggedRequest> Log() const;

 private:
  struct Connection {
    net::Fd fd;
    net::Thread reader;
    std::atomic<bool> over{false};
  };
  struct Reply {
    std::shared_ptr<Connection> to;
    std::string shard_request;
    Act act = Act::kServe;
  };

  void AcceptLoop();
  void ReadLoop(const std::shared_ptr<Connection>& connection);
  void Take(const std::shared_ptr<Connection>& connection, std::string_view frame);
  void AnswerLoop();

  const Script script_;
  net::Fd listener_;
  std::string addr_;
  net::SteadyClock clock_;
  mutable std::mutex mutex_;
  std::condition_variable due_;
  bool stopping_ = false;
  std::vector<LoggedRequest> log_;
  std::multimap<net::Micros, Reply> replies_;
  std::list<std::shared_ptr<Connection>> connections_;
  net::Thread acceptor_, answerer_;
};

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_FAKE_ENDPOINT_H_
