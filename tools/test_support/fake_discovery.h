// A fake discovery on a loopback port: answers with the endpoint list and streams its changes to watches. One
// thread of its own; its functions are for any thread.
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

  // From now on lists are indented, and cut into chunks at any byte.
  void Indent() { indented_ = true; }
  // Several endpoints at once, in one change.
  struct Entry {
    std::string id, addr;
    int cell = 0;
    std::string state = "ready";
  };
  void Tell(const std::vector<Entry>& entries);

  const std::string& addr() const { return addr_; }
  // state: ready, draining or gone (removed). Watches get it at once.
  void Tell(const std::string& id, const std::string& endpoint_addr, int cell, const std::string& state);
  // The full list, as discovery sends it and as a configuration carries a cached one.
  std::string List() const;

 private:
  void Loop();
  std::string Lines(const std::string& servers, bool full) const;
  std::string Chunks(const std::string& list) const;

  net::Fd listener_;
  std::string addr_;
  mutable std::mutex mutex_;
  bool stopping_ = false;
  std::atomic<bool> indented_{false};
  int version_ = 1;
  std::map<std::string, std::string> endpoints_;  // id to its JSON
  std::list<net::Fd> watchers_;
  net::Thread loop_;
};

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_FAKE_DISCOVERY_H_
