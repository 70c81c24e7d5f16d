// The links to holders: for each one a queue and its connections. No call waits for a socket, so one thread
// of their own (reading, connections that come up, bounds in time) and the caller's (writing) do for all of
// them, however many holders there are. What is spoken on a connection is a Dialect's business.
#ifndef LIFTRUDDER_NET_ENDPOINT_CONNECTION_POOL_H_
#define LIFTRUDDER_NET_ENDPOINT_CONNECTION_POOL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "coordinator/interfaces.h"
#include "metrics/operator_figures.h"
#include "metrics/metrics.h"
#include "net/socket.h"

namespace liftrudder::net {

// One answer read off a connection, by the id it was asked under.
struct EndpointResponse {
  std::string id;
  coordinator::Cause cause = coordinator::Cause::kServed;
  std::vector<double> load;
  std::string value;
};

// What comes off one connection, piece by piece.
class ResponseReader {
 public:
  virtual ~ResponseReader() = default;
  // Takes whole answers off the front of `in`; false when what came cannot be used. `oldest` is the id that
  // has been out longest, for wires whose answers carry none.
  virtual bool Take(std::string& in, const std::string& oldest, std::vector<EndpointResponse>& out) = 0;
  // The holder has ended the connection.
  virtual void End(const std::string&, std::vector<EndpointResponse>&) {}
};

class EndpointProtocol {
 public:
  virtual ~EndpointProtocol() = default;
  virtual std::string Id(const coordinator::AttemptRequest& order) const = 0;
  // What asks for all of these at once; more than one only where ConnectionLimits::parts_per_call allows it.
  virtual std::string Ask(std::span<const coordinator::AttemptRequest* const> orders,
                          const std::string& endpoint, Micros now_us) const = 0;
  // What gives up an attempt; empty: only closing its connection does.
  virtual std::string GiveUp(const std::string& id) const = 0;
  virtual std::unique_ptr<ResponseReader> Reader() const = 0;
};

struct ConnectionLimits {
  Micros connect_timeout_us = 250'000;
  Micros idle_close_us = 30'000'000;
  int streams_per_connection = 100;
  int max_requests_per_call = 1;  // in one frame
  int max_connections = 128;      // of all links together
  int endpoints = 0;              // as many are known of
};

using ResultSink = std::function<void(coordinator::AttemptResult)>;

// The core's transport over links. All state is under one lock; it is never held while something is waited
// for.
class EndpointConnectionPool : public coordinator::EndpointTransport {
 public:
  EndpointConnectionPool(const EndpointProtocol& protocol, const coordinator::EndpointResolver& endpoint_registry,
                         const coordinator::Clock& clock, const ConnectionLimits& limits,
                         metrics::Counters& counters, metrics::OperatorFigures& figures, ResultSink sink);
  ~EndpointConnectionPool();

  void Start(coordinator::AttemptRequest order) override;
  void EndRound() override;
  void CancelAttempt(const coordinator::AttemptKey& key, const coordinator::EndpointId& endpoint,
                coordinator::Cause cause) override;
  void RequestCancellation(const coordinator::AttemptKey& key) override;
  void CloseIdle(const coordinator::EndpointId& endpoint) override;
  void ReleaseRemovedEndpoints() override;
  // The list has grown or shrunk, and with it what both sides may hold.
  void Resize(int max_connections, int endpoints);

 private:
  using Number = std::uint64_t;  // a connection's; never given twice, so that late events find nothing

  struct Link {
    coordinator::EndpointId endpoint;
    std::deque<coordinator::AttemptKey> staged;  // of the round that is on
    std::deque<coordinator::AttemptKey> queue;   // not on a connection yet
    std::vector<Number> connections;
    int connecting = 0;         // of these, not up yet
    bool starved = false;       // it is among those that wait for room
    bool slow_connect = false;  // the newest connection took long to come up, or did not
  };
  struct Connection {
    Link* link = nullptr;
    Fd fd;
    std::string addr;
    bool up = false;
    Micros begun_us = 0;  // when its connecting began
    Micros used_us = 0;
    Micros heard_us = 0;
    std::deque<std::pair<std::string, coordinator::AttemptKey>> out;
    std::deque<std::string> withdrawn;  // ids given up on it whose answers may still come
    bool given_up = false;              // too many of those: it takes nothing new
    std::unique_ptr<ResponseReader> reader;
    std::string pending;  // read, and not a whole answer yet
    // What is being written, of which attempts, and until when; then frames that give attempts up. As long as
    // nothing of it is written, the frame is made anew from `writing` before it is tried.
    std::string frame;
    std::size_t written = 0;
    std::vector<coordinator::AttemptKey> writing;
    Micros write_until_us = 0;
    std::deque<std::string> control;
    bool armed = false;  // told when it can be written again
    bool Writes() const { return !frame.empty() || !writing.empty(); }
  };
  struct Attempt {
    coordinator::AttemptRequest order;
    coordinator::Progress progress = coordinator::Progress::kNotConnected;
    Number connection = 0;
    Micros queued_us = 0;
    int turns = 0;            // connections that broke before its first byte
    bool cancellation_requested = false;  // its holder has been told
  };

  // The links' own thread.
  void Loop();
  void Handle(Number number, bool writable);
  Micros Sweep(Micros now);
  void Wake();

  void TakeOut(const coordinator::AttemptKey& key, coordinator::Cause cause);
  // These hold the lock. Those that return a bool say whether the connection is still there.
  void Pump(Link& link);
  void ServeStarved();
  Number Pick(Link& link, const std::string& id);
  bool Ambiguous(const Connection& connection, const std::string& id) const;
  void TakeBatch(Link& link, Number number, Connection& connection);
  bool MayOpenAnother(const Link& link) const;
  enum class Begun { kYes, kNoRoom, kFailed };
  Begun Open(Link& link);
  bool Full() const;
  bool MakeRoom();
  void CameUp(Number number, Connection& connection);
  void ConnectFailed(Number number, Connection& connection);
  void Enter(Number number, Connection& connection, const coordinator::AttemptKey& key, Attempt& attempt);
  bool Flush(Number number, Connection& connection);
  bool Compose(Connection& connection);
  void TakeBack(Connection& connection, const coordinator::AttemptKey& key);
  bool Broken(Number number, Connection& connection);
  bool Receive(Number number, Connection& connection);
  bool TakeAnswer(Connection& connection, EndpointResponse answer);
  void Drop(Number number, Connection& connection, coordinator::Cause cause);
  void Arm(Number number, Connection& connection, bool writes);
  std::optional<coordinator::Cause> Barred(const coordinator::AttemptRequest& order) const;
  bool OutOfUse(const Connection& connection, const std::string& addr, Micros now) const;
  void GiveUp(Number number, Connection& connection, const std::string& id);
  void Finish(const coordinator::AttemptKey& key, coordinator::Cause cause, EndpointResponse answer = {});

  const EndpointProtocol& protocol_;
  const coordinator::EndpointResolver& endpoint_registry_;
  const coordinator::Clock& clock_;
  ConnectionLimits limits_;
  const Micros idle_limit_us_;
  metrics::Counters& counters_;
  metrics::OperatorFigures& figures_;
  const ResultSink sink_;
  std::mutex mutex_;
  bool stopping_ = false;
  Micros asleep_until_us_ = 0;  // the thread's, while it waits
  Micros sweep_us_ = 0;         // when it looks for what is overdue next
  std::map<coordinator::EndpointId, Link> links_;
  std::vector<coordinator::EndpointId> staged_;         // links with something of the round that is on
  std::unordered_map<Number, Connection> connections_;  // bounded by limits_.max_connections
  Number given_ = 0;
  std::deque<coordinator::EndpointId> starved_;      // links that found no room for a connection, in turn
  std::map<coordinator::AttemptKey, Attempt> live_;  // whoever takes an attempt out of here tells its end
  Fd epoll_, waker_;
  Thread thread_;
};

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_ENDPOINT_CONNECTION_POOL_H_
