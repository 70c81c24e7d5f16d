// A fake discovery on a loopback port: returns the endpoint list and streams its changes to watches. Runs one
// thread; its functions are thread-safe.
#ifndef LIFTRUDDER_TOOLS_TEST_SUPPORT_FAKE_DISCOVERY_H_
#define LIFTRUDDER_TOOLS_TEST_SUPPORT_FAKE_DISCOVERY_H_

#include <atomic>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "net/socket.h"

namespace liftrudder::test_support {

class FakeDiscovery {
 public:
  FakeDiscovery();
  ~FakeDiscovery();

  // From now on lists are indented, and chunk boundaries may be at any byte.
  void EnableIndentation() { indented_ = true; }
  // One endpoint of a change.
  struct Entry {
    std::string id, addr;
    int cell = 0;
    std::string state = "ready";
  };
  // Changes several endpoints at once and sends the change to all watches as one list.
  void UpdateEndpoints(const std::vector<Entry>& entries);

  const std::string& addr() const { return addr_; }
  // Changes one endpoint and sends the change to all watches. `state`: ready, draining or gone (removed).
  void UpdateEndpoint(const std::string& id, const std::string& endpoint_addr, int cell,
                      const std::string& state);
  // The full list, in the format that discovery sends and that a configuration holds as the cached list.
  std::string List() const;

 private:
  void ServeLoop();
  std::string FormatList(const std::string& servers, bool full) const;
  std::string FormatChunks(const std::string& list) const;

  net::Fd listener_;
  std::string addr_;
  mutable std::mutex mutex_;
  bool stopping_ = false;
  std::atomic<bool> indented_{false};
  int version_ = 1;
  std::map<std::string, std::string> endpoints_;  // JSON by id
  std::list<net::Fd> watchers_;
  net::Thread server_thread_;
};

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_FAKE_DISCOVERY_H_
