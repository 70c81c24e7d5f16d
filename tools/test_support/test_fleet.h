// Many fake endpoints on one thread, for endpoint lists of a thousand entries: each answers every shard
// request after the same delay and counts the requests received. For tests and measurements. Thread-safe.
#ifndef LIFTRUDDER_TOOLS_TEST_SUPPORT_TEST_FLEET_H_
#define LIFTRUDDER_TOOLS_TEST_SUPPORT_TEST_FLEET_H_

#include <atomic>
#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "net/socket.h"

namespace liftrudder::test_support {

class TestFleet {
 public:
  TestFleet(int endpoints, net::Micros delay_us);
  ~TestFleet();

  const std::string& addr(int endpoint) const { return addrs_[static_cast<std::size_t>(endpoint)]; }
  int shard_requests(int endpoint) const;
  // When the endpoint received its last shard request, on the steady clock; 0 when it received none.
  net::Micros last_request_us(int endpoint) const;
  // Connections accepted so far, including closed ones.
  int accepted_connections() const { return accepted_connections_; }

 private:
  struct Connection {
    net::Fd fd;
    int endpoint = 0;
    std::string in;
  };
  struct Reply {
    net::Micros at_us = 0;
    int fd = -1;
    std::string frame;
  };
  void ServeLoop();
  bool Read(Connection& connection);

  const net::Micros delay_us_;
  net::SteadyClock clock_;
  std::vector<net::Fd> listeners_;
  std::vector<std::string> addrs_;
  std::map<int, Connection> connections_;  // by descriptor; used only by the server thread, like `replies_`
  std::deque<Reply> replies_;
  mutable std::mutex mutex_;
  std::vector<int> shard_requests_;
  std::vector<net::Micros> last_request_us_;
  std::atomic<int> accepted_connections_{0};
  std::atomic<bool> stopping_{false};
  net::Fd epoll_;
  net::Thread server_thread_;
};

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_TEST_FLEET_H_
