// One link a holder: a queue, a writer that stalls nobody else's, and its connections. What a link speaks on
// them is a Dialect's business.
#ifndef LIFTRUDDER_NET_HOLDER_LINKS_H_
#define LIFTRUDDER_NET_HOLDER_LINKS_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "core/ports.h"
#include "metrics/metrics.h"
#include "net/socket.h"

namespace liftrudder::net {

// One answer read off a connection, by the id it was asked under.
struct HolderAnswer {
  std::string id;
  core::Cause cause = core::Cause::kServed;
  std::vector<double> load;
  std::string value;
};

// What comes off one connection, piece by piece.
class AnswerReader {
 public:
  virtual ~AnswerReader() = default;
  // Takes whole answers off the front of `in`; false when what came cannot be used. `oldest` is the id that
  // has been out longest, for wires whose answers carry none.
  virtual bool Take(std::string& in, const std::string& oldest, std::vector<HolderAnswer>& out) = 0;
  // The holder has ended the connection.
  virtual void End(const std::string&, std::vector<HolderAnswer>&) {}
};

class Dialect {
 public:
  virtual ~Dialect() = default;
  virtual std::string Id(const core::AttemptOrder& order) const = 0;
  virtual std::string Ask(const core::AttemptOrder& order, const std::string& holder, Micros wait_us) const = 0;
  // What gives up an attempt; empty: only closing its connection does.
  virtual std::string GiveUp(const std::string& id) const = 0;
  virtual std::unique_ptr<AnswerReader> Reader() const = 0;
};

struct LinkLimits {
  Micros connect_timeout_us = 250'000;
  Micros idle_close_us = 30'000'000;
  int streams_per_connection = 100;
  int max_connections = 128;  // of all links together
};

using ResultSink = std::function<void(core::AttemptResult)>;

// What the links of one transport share.
struct LinkContext {
  const Dialect& dialect;
  const core::HolderDirectory& directory;
  const core::Clock& clock;
  const LinkLimits limits;
  metrics::Counters& counters;
  const ResultSink sink;
  std::atomic<int> connections{0};
};

class Link {
 public:
  Link(LinkContext& context, core::ReplicaId holder);
  ~Link();

  void Start(core::AttemptOrder order);
  void Withdraw(const core::AttemptKey& key, core::Cause cause);
  void CloseIdle();
  bool Unused();

 private:
  struct Connection {
    Fd fd;
    std::string addr;
    Micros used_us = 0;
    bool dead = false;  // nothing new goes on it
    core::Cause ended_by = core::Cause::kConnectionLost;
    std::deque<std::pair<std::string, core::AttemptKey>> out;
    std::deque<std::string> withdrawn;  // ids given up on it whose answers may still come
    bool given_up = false;              // too many of those: it takes nothing new
    Thread reader;
  };
  struct Attempt {
    core::AttemptOrder order;
    core::Progress progress = core::Progress::kNotConnected;
    std::shared_ptr<Connection> connection;
  };

  void WriteLoop();
  void ReadLoop(const std::shared_ptr<Connection>& connection);
  void WriteOne(std::unique_lock<std::mutex>& lock, const core::AttemptKey& key);
  void WriteGivenUp(std::unique_lock<std::mutex>& lock);
  std::shared_ptr<Connection> Pick(std::unique_lock<std::mutex>& lock, const std::string& id);
  std::shared_ptr<Connection> Open(std::unique_lock<std::mutex>& lock, const std::string& addr);
  bool MayOpenAnother() const;
  void FailWaiting(std::size_t waiting);
  bool Stale(const core::AttemptOrder& order) const;
  void Finish(const core::AttemptKey& key, core::Cause cause, HolderAnswer answer = {});
  void Retire(const std::shared_ptr<Connection>& connection);
  bool TakeAnswer(Connection& connection, HolderAnswer answer);
  void Lost(const std::shared_ptr<Connection>& connection, core::Cause cause);

  LinkContext& context_;
  const core::ReplicaId holder_;
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::deque<core::AttemptKey> queue_;
  std::deque<std::pair<std::shared_ptr<Connection>, std::string>> given_up_;
  std::map<core::AttemptKey, Attempt> live_;  // whoever takes an attempt out of here tells its end
  std::list<std::shared_ptr<Connection>> connections_;
  bool slow_connect_ = false;  // the newest connection took long to come up, or did not
  Thread writer_;
};

// The core's transport over links.
class HolderLinks : public core::HolderTransport {
 public:
  HolderLinks(const Dialect& dialect, const core::HolderDirectory& directory, const core::Clock& clock,
              const LinkLimits& limits, metrics::Counters& counters, ResultSink sink);
  ~HolderLinks();

  void Start(core::AttemptOrder order) override;
  void Withdraw(const core::AttemptKey& key, const core::ReplicaId& holder, core::Cause cause) override;
  void CloseIdle(const core::ReplicaId& holder) override;
  void ForgetGone() override;

 private:
  void BuryLoop();

  LinkContext context_;
  std::map<core::ReplicaId, std::unique_ptr<Link>> links_;  // the core's thread alone
  std::mutex mutex_;
  std::condition_variable wake_;
  bool stopping_ = false;
  std::vector<std::unique_ptr<Link>> gone_;  // to be ended; that waits for their threads
  Thread burier_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_HOLDER_LINKS_H_
