#include "net/endpoint_connection_pool.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <exception>

#include "log/log.h"

namespace liftrudder::net {
namespace {

constexpr Micros kWriteWait = 1'000'000;
constexpr Micros kSlice = 100'000;  // how often the thread looks for what is overdue at least
constexpr double kIdleShare = 0.8;  // of the time after which the holder closes: not used from then on
constexpr std::size_t kMaxPending = 256 * 1024;
constexpr std::size_t kMostCallText =
    64 * 1024;                      // as much as a query's body may hold: parts of one frame together
constexpr Micros kStall = 500'000;  // an answer that has begun and does not go on for so long is spoilt
constexpr std::size_t kMostWithdrawn = 64;  // on one connection, before it is left for another
constexpr double kSpread = 0.75;    // of the connections beyond those: up to here each part out has its own
constexpr double kReplaced = 1.25;  // connections a holder: one, and a quarter for those that replace others
constexpr Micros kSlowConnect = 20'000;
constexpr int kTurns = 2;            // connections that may break before an attempt's first byte
constexpr int kAtOnce = 64;          // events in one turn
constexpr int kReadsAtOnce = 32;     // of one connection in one turn, 8 KiB each at most
constexpr std::uint64_t kWaker = 0;  // no connection's number

}  // namespace

EndpointConnectionPool::EndpointConnectionPool(const EndpointProtocol& protocol,
                                               const coordinator::EndpointResolver& endpoint_registry,
                                               const coordinator::Clock& clock,
                                               const ConnectionLimits& limits, metrics::Counters& counters,
                                               metrics::Figures& figures, ResultSink sink)
    : protocol_(protocol),
      endpoint_registry_(endpoint_registry),
      clock_(clock),
      limits_(limits),
      idle_limit_us_(static_cast<Micros>(kIdleShare * static_cast<double>(limits.idle_close_us))),
      counters_(counters),
      figures_(figures),
      sink_(std::move(sink)),
      epoll_(::epoll_create1(EPOLL_CLOEXEC)),
      waker_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  epoll_event event{EPOLLIN, {}};
  event.data.u64 = kWaker;
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, waker_.Get(), &event);
  thread_ = Thread([this] { Loop(); });
}

EndpointConnectionPool::~EndpointConnectionPool() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    Wake();
  }
  thread_.Join();
  while (!live_.empty()) Finish(live_.begin()->first, coordinator::Cause::kConnectionLost);
}

// ---- what the core asks for ----

void EndpointConnectionPool::Start(coordinator::AttemptRequest order) {
  std::lock_guard lock(mutex_);
  Link& link = links_[order.endpoint];
  link.endpoint = order.endpoint;
  coordinator::AttemptKey key = order.key;
  Attempt& attempt = live_[key];
  attempt.order = std::move(order);
  attempt.queued_us = clock_.Now();
  if (link.staged.empty()) staged_.push_back(link.endpoint);
  link.staged.push_back(key);
}

void EndpointConnectionPool::EndRound() {
  std::lock_guard lock(mutex_);
  for (const coordinator::EndpointId& endpoint : std::exchange(staged_, {})) {
    Link& link = links_.at(endpoint);
    for (const coordinator::AttemptKey& key : std::exchange(link.staged, {})) link.queue.push_back(key);
    Pump(link);
  }
}

// The attempt ends now, whatever its holder is at: an attempt's end waits for no socket.
void EndpointConnectionPool::CancelAttempt(const coordinator::AttemptKey& key, const coordinator::EndpointId&,
                                      coordinator::Cause cause) {
  std::lock_guard lock(mutex_);
  TakeOut(key, cause);
}

void EndpointConnectionPool::TakeOut(const coordinator::AttemptKey& key, coordinator::Cause cause) {
  auto found = live_.find(key);
  if (found == live_.end()) return;
  auto place = connections_.find(found->second.connection);
  if (place != connections_.end() && place->second.written == 0 &&
      std::ranges::find(place->second.writing, key) != place->second.writing.end())
    TakeBack(place->second, key);
  if (found->second.progress >= coordinator::Progress::kPartlyWritten && place != connections_.end()) {
    Connection& connection = place->second;
    Link& link = *connection.link;
    std::string id = protocol_.Id(found->second.order);
    // Answers to these may come late or never: a connection that has met many is replaced, lest they pile up.
    connection.withdrawn.push_back(id);
    connection.given_up = connection.withdrawn.size() >= kMostWithdrawn;
    std::erase_if(connection.out, [&](const auto& one) { return one.second == key; });
    if (protocol_.GiveUp(id).empty()) {
      if (connection.out.empty()) Drop(place->first, connection, coordinator::Cause::kConnectionLost);
    } else if (cause == coordinator::Cause::kCancelled && !found->second.cancellation_requested) {
      GiveUp(place->first, connection, id);
    }
    Pump(link);
  }
  Finish(key, cause);
  ServeStarved();
}

// Nothing is known of a holder that does not read, and a word sent to it may never come: the attempt goes on
// until it is answered, its connection ends or its time is over. Before its first byte it is as if never
// sent.
void EndpointConnectionPool::RequestCancellation(const coordinator::AttemptKey& key) {
  std::lock_guard lock(mutex_);
  auto found = live_.find(key);
  if (found == live_.end() || found->second.cancellation_requested) return;
  Attempt& attempt = found->second;
  auto place = connections_.find(attempt.connection);
  bool begun = place != connections_.end() &&
               (place->second.written > 0 ||
                std::ranges::find(place->second.writing, key) == place->second.writing.end());
  if (!begun) return TakeOut(key, coordinator::Cause::kCancelled);
  attempt.cancellation_requested = true;
  std::string id = protocol_.Id(attempt.order);
  if (!protocol_.GiveUp(id).empty()) GiveUp(place->first, place->second, id);
}

// Behind a frame that is being written. It may end the connection.
void EndpointConnectionPool::GiveUp(Number number, Connection& connection, const std::string& id) {
  connection.control.push_back(protocol_.GiveUp(id));
  if (!connection.Writes()) Flush(number, connection);
}

void EndpointConnectionPool::CloseIdle(const coordinator::EndpointId& endpoint) {
  std::lock_guard lock(mutex_);
  auto link = links_.find(endpoint);
  if (link == links_.end()) return;
  for (Number number : std::vector<Number>(link->second.connections)) {
    Connection& connection = connections_.at(number);
    if (connection.up && connection.out.empty())
      Drop(number, connection, coordinator::Cause::kConnectionLost);
  }
}

void EndpointConnectionPool::Resize(int max_connections, int endpoints) {
  std::lock_guard lock(mutex_);
  limits_.max_connections = max_connections;
  limits_.endpoints = endpoints;
  ServeStarved();
}

// Guards a long day, in which holders are replaced for ever, against connections for each of them.
void EndpointConnectionPool::ReleaseRemovedEndpoints() {
  std::lock_guard lock(mutex_);
  for (auto one = links_.begin(); one != links_.end();) {
    auto next = std::next(one);
    Link& link = one->second;
    coordinator::EndpointAddress endpoint = endpoint_registry_.Find(one->first);
    bool unused = std::ranges::all_of(link.connections,
                                      [&](Number number) { return connections_.at(number).out.empty(); });
    std::erase_if(link.queue, [&](const coordinator::AttemptKey& key) { return !live_.contains(key); });
    if ((endpoint.id.empty() || endpoint.drain_deadline_us > 0) && unused && link.queue.empty() &&
        link.staged.empty()) {
      for (Number number : std::vector<Number>(link.connections))
        Drop(number, connections_.at(number), coordinator::Cause::kConnectionLost);
      links_.erase(one);
    }
    one = next;
  }
}

// ---- the links' own thread ----

void EndpointConnectionPool::Wake() {
  std::uint64_t one = 1;
  [[maybe_unused]] ssize_t written = ::write(waker_.Get(), &one, sizeof one);
}

void EndpointConnectionPool::Loop() {
  epoll_event events[kAtOnce];
  Micros wait_us = kSlice;
  while (true) {
    int got = ::epoll_wait(epoll_.Get(), events, kAtOnce, static_cast<int>((wait_us + 999) / 1000));
    std::lock_guard lock(mutex_);
    if (stopping_) return;
    asleep_until_us_ = 0;
    for (int i = 0; i < got; ++i) {
      if (events[i].data.u64 == kWaker) {
        std::uint64_t count = 0;
        [[maybe_unused]] ssize_t taken = ::read(waker_.Get(), &count, sizeof count);
      } else {
        Handle(events[i].data.u64, (events[i].events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) != 0);
      }
    }
    ServeStarved();
    Micros now = clock_.Now();
    if (now >= sweep_us_) {
      sweep_us_ = now + kSlice;
      Micros due = Sweep(now);
      sweep_us_ = std::min(sweep_us_, due);  // it may have begun connections
    }
    wait_us = std::clamp<Micros>(sweep_us_ - now, 1, kSlice);
    asleep_until_us_ = now + wait_us;
  }
}

void EndpointConnectionPool::Handle(Number number, bool writable) {
  auto found = connections_.find(number);
  if (found == connections_.end()) return;  // ended earlier in this turn
  Connection& connection = found->second;
  Link& link = *connection.link;
  if (connection.up) {
    bool there = !writable || Flush(number, connection);
    if (there) Receive(number, connection);
  } else if (ConnectError(connection.fd) != 0) {
    ConnectFailed(number, connection);
  } else {
    CameUp(number, connection);
  }
  Pump(link);
}

// Ends what is overdue; when it wants to look again.
Micros EndpointConnectionPool::Sweep(Micros now) {
  Micros due = now + kSlice;
  std::vector<Number> numbers;
  for (const auto& [number, connection] : connections_) {
    bool idle = connection.up && connection.out.empty() && now - connection.used_us > idle_limit_us_;
    bool busy = !connection.up || !connection.pending.empty() || connection.Writes();
    if (idle || busy) numbers.push_back(number);
  }
  for (Number number : numbers) {
    auto found = connections_.find(number);
    if (found == connections_.end()) continue;
    Connection& connection = found->second;
    Link& link = *connection.link;
    Micros age = now - connection.begun_us;
    if (!connection.up && age >= limits_.connect_timeout_us) {
      ConnectFailed(number, connection);
    } else if (!connection.up) {
      link.slow_connect = link.slow_connect || age >= kSlowConnect;
      due = std::min(due,
                     connection.begun_us + (age >= kSlowConnect ? limits_.connect_timeout_us : kSlowConnect));
    } else if (!connection.pending.empty() && now - connection.heard_us >= kStall) {
      counters_.spoilt.Add();
      Drop(number, connection, coordinator::Cause::kInvalidResponse);
    } else if (connection.Writes() && now >= connection.write_until_us) {
      Drop(number, connection,
           coordinator::Cause::kConnectionLost);  // a frame cut short is followed by no other
    } else if (connection.out.empty() && now - connection.used_us > idle_limit_us_) {
      Drop(number, connection, coordinator::Cause::kConnectionLost);
    }
    Pump(link);
  }
  return due;
}

// ---- connections ----

// Puts what waits on connections, as far as there are any; the rest waits for one that is coming up.
void EndpointConnectionPool::Pump(Link& link) {
  while (!link.queue.empty()) {
    coordinator::AttemptKey key = link.queue.front();
    auto found = live_.find(key);
    if (found == live_.end()) {  // withdrawn while it waited
      link.queue.pop_front();
      continue;
    }
    if (auto barred = Barred(found->second.order)) {
      link.queue.pop_front();
      Finish(key, *barred);
      continue;
    }
    Number number = Pick(link, protocol_.Id(found->second.order));
    if (number != 0) {
      TakeBatch(link, number, connections_.at(number));
    } else if (link.connecting > 0) {
      return;
    } else {
      Begun begun = Open(link);
      if (begun == Begun::kNoRoom && !std::exchange(link.starved, true)) starved_.push_back(link.endpoint);
      if (begun != Begun::kFailed) return;
      link.queue.pop_front();
      Finish(key, coordinator::Cause::kConnectionLost);
    }
  }
}

// The first of the queue and those behind it that may share its call, which costs the holder work beside that
// of its parts.
void EndpointConnectionPool::TakeBatch(Link& link, Number number, Connection& connection) {
  std::size_t text = 0;
  auto room =
      std::min<std::size_t>(static_cast<std::size_t>(std::max(1, limits_.max_requests_per_call)),
                            static_cast<std::size_t>(limits_.streams_per_connection) - connection.out.size());
  while (!link.queue.empty() && connection.writing.size() < room) {
    coordinator::AttemptKey key = link.queue.front();
    auto found = live_.find(key);
    if (found == live_.end()) {
      link.queue.pop_front();
      continue;
    }
    const coordinator::AttemptRequest& order = found->second.order;
    text += order.payload->statement.size();
    bool first = connection.writing.empty();
    if (!first && (text > kMostCallText || Ambiguous(connection, protocol_.Id(order)))) break;
    link.queue.pop_front();
    Enter(number, connection, key, found->second);
  }
  Flush(number, connection);
}

// An earlier attempt's answer under the same id could be taken for this one's: not on one connection.
bool EndpointConnectionPool::Ambiguous(const Connection& connection, const std::string& id) const {
  return std::ranges::find(connection.withdrawn, id) != connection.withdrawn.end() ||
         std::ranges::any_of(connection.out, [&](const auto& one) { return one.first == id; });
}

// Guards against our own cap told as a holder's failure: what finds no room waits for it, those first that
// have waited longest, as long as its query does.
void EndpointConnectionPool::ServeStarved() {
  while (!starved_.empty()) {
    auto link = links_.find(starved_.front());
    bool waits = link != links_.end() && !link->second.queue.empty();
    if (waits && Full() && !MakeRoom()) return;
    starved_.pop_front();
    if (link != links_.end()) link->second.starved = false;
    if (waits) Pump(link->second);
  }
}

// Not for anything new: idle too long, to an address that is not the holder's any more, or given up.
bool EndpointConnectionPool::OutOfUse(const Connection& connection, const std::string& addr,
                                      Micros now) const {
  bool idle = connection.out.empty() && now - connection.used_us > idle_limit_us_;
  return idle || connection.addr != addr || connection.given_up;
}

// Guards the other parts out on a connection from an answer that spoils it: as long as there are connections
// to spare beside one for each holder, each part out has one of its own: a second one for this holder must
// not keep another without any. A usable one is never left for one that is slow to come up.
bool EndpointConnectionPool::MayOpenAnother(const Link& link) const {
  double endpoints = std::max<double>(limits_.endpoints, static_cast<double>(links_.size()));
  double spare = std::max(0.0, limits_.max_connections - kReplaced * endpoints);
  auto more = static_cast<double>(connections_.size()) - static_cast<double>(links_.size());
  auto calls = (static_cast<int>(link.queue.size()) + limits_.max_requests_per_call - 1) /
               limits_.max_requests_per_call;
  return !link.slow_connect && more < kSpread * spare && !Full() && link.connecting < calls;
}

EndpointConnectionPool::Number EndpointConnectionPool::Pick(Link& link, const std::string& id) {
  std::string addr = endpoint_registry_.Find(link.endpoint).addr;
  Micros now = clock_.Now();
  Number best = 0;
  std::size_t least = 0;
  for (Number number : std::vector<Number>(link.connections)) {
    Connection& connection = connections_.at(number);
    if (!connection.up) continue;
    if (OutOfUse(connection, addr, now)) {
      if (connection.out.empty()) Drop(number, connection, coordinator::Cause::kConnectionLost);
      continue;
    }
    bool full = static_cast<int>(connection.out.size()) >= limits_.streams_per_connection;
    if (Ambiguous(connection, id) || full || connection.Writes()) continue;
    if (best == 0 || connection.out.size() < least) best = number, least = connection.out.size();
  }
  if (best != 0 && least == 0) return best;
  if (MayOpenAnother(link)) Open(link);
  return link.connecting > 0 && !link.slow_connect ? 0 : best;
}

bool EndpointConnectionPool::Full() const {
  return static_cast<int>(connections_.size()) >= limits_.max_connections;
}

EndpointConnectionPool::Begun EndpointConnectionPool::Open(Link& link) {
  if (Full() && !MakeRoom()) return Begun::kNoRoom;
  std::string addr = endpoint_registry_.Find(link.endpoint).addr;
  Fd fd = BeginConnect(addr);
  // Descriptors are out although the share of them is not: the other side still holds some of ours.
  if (!fd.Valid() && OutOfDescriptors() && MakeRoom()) fd = BeginConnect(addr);
  if (!fd.Valid() && OutOfDescriptors()) return Begun::kNoRoom;
  if (!fd.Valid()) {
    counters_.connects_failed.Add();
    return Begun::kFailed;
  }
  Number number = ++given_;
  Connection& connection = connections_[number];
  connection.link = &link;
  connection.fd = std::move(fd);
  connection.addr = addr;
  connection.begun_us = clock_.Now();
  connection.reader = protocol_.Reader();
  link.connections.push_back(number);
  ++link.connecting;
  epoll_event event{EPOLLIN | EPOLLOUT, {}};
  event.data.u64 = number;
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, connection.fd.Get(), &event);
  sweep_us_ = std::min(sweep_us_, connection.begun_us + kSlowConnect);
  if (asleep_until_us_ > sweep_us_) Wake();
  return Begun::kYes;
}

// At the cap an idle connection makes room: the one unused longest, since its holder may be one seldom met.
// But where the list is longer than the cap a wide query goes over all holders in turn, and that one is just
// what the next query wants first: taken each time, all would be opened anew for each query. There the one
// used last makes room, and most of the others stay.
bool EndpointConnectionPool::MakeRoom() {
  bool newest = limits_.endpoints > limits_.max_connections;
  auto worst = connections_.end();
  for (auto one = connections_.begin(); one != connections_.end(); ++one) {
    if (!one->second.up || !one->second.out.empty()) continue;
    if (worst == connections_.end() || (one->second.used_us < worst->second.used_us) != newest) worst = one;
  }
  if (worst == connections_.end()) return false;
  Drop(worst->first, worst->second, coordinator::Cause::kConnectionLost);
  return true;
}

void EndpointConnectionPool::CameUp(Number number, Connection& connection) {
  connection.up = true;
  connection.used_us = connection.heard_us = clock_.Now();
  --connection.link->connecting;
  connection.link->slow_connect = connection.used_us - connection.begun_us > kSlowConnect;
  counters_.connects.Add();
  Arm(number, connection, false);
}

// Guards against waits that add up: what stood in the queue when a connection that did not come up was begun
// has waited as long for it, and is not made to wait for another.
void EndpointConnectionPool::ConnectFailed(Number number, Connection& connection) {
  Link& link = *connection.link;
  Micros begun_us = connection.begun_us;
  log::Info("holder at {}: no connection after {} us", connection.addr, clock_.Now() - begun_us);
  counters_.connects_failed.Add();
  link.slow_connect = true;
  Drop(number, connection, coordinator::Cause::kConnectionLost);
  if (static_cast<int>(link.connections.size()) > link.connecting) return;
  for (coordinator::AttemptKey key : std::exchange(link.queue, {})) {
    auto found = live_.find(key);
    if (found != live_.end() && found->second.queued_us > begun_us) {
      link.queue.push_back(key);
    } else {
      Finish(key, coordinator::Cause::kConnectionLost);
    }
  }
}

void EndpointConnectionPool::Arm(Number number, Connection& connection, bool writes) {
  connection.armed = writes;
  epoll_event event{EPOLLIN | (writes ? EPOLLOUT : 0u), {}};
  event.data.u64 = number;
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_MOD, connection.fd.Get(), &event);
}

// Ends it and all that is out on it.
void EndpointConnectionPool::Drop(Number number, Connection& connection, coordinator::Cause cause) {
  Link& link = *connection.link;
  link.connecting -= connection.up ? 0 : 1;
  std::erase(link.connections, number);
  auto out = std::move(connection.out);
  connections_.erase(number);  // closes its descriptor, which takes it out of the poll
  for (const auto& [id, key] : out) Finish(key, cause);
}

// ---- frames out ----

// Looked at before the first byte only: a client that has left, a holder that drains, a time that is over.
std::optional<coordinator::Cause> EndpointConnectionPool::Barred(
    const coordinator::AttemptRequest& order) const {
  if (order.payload->client != nullptr && order.payload->client->Disconnected()) return coordinator::Cause::kClientDisconnected;
  Micros now = clock_.Now();
  coordinator::EndpointAddress endpoint = endpoint_registry_.Find(order.endpoint);
  bool stopped = endpoint.id.empty() || (endpoint.drain_deadline_us > 0 && now >= endpoint.drain_deadline_us);
  if (stopped || now >= order.attempt_deadline_us) return coordinator::Cause::kStale;
  return std::nullopt;
}

// Into the frame that is written next on it.
void EndpointConnectionPool::Enter(Number number, Connection& connection, const coordinator::AttemptKey& key,
                                   Attempt& attempt) {
  Micros now = clock_.Now();
  connection.written = 0;
  connection.writing.push_back(key);
  connection.write_until_us = now + kWriteWait;
  connection.used_us = now;
  connection.out.emplace_back(protocol_.Id(attempt.order), key);
  attempt.progress = coordinator::Progress::kPartlyWritten;
  attempt.connection = number;
}

bool EndpointConnectionPool::Flush(Number number, Connection& connection) {
  while (connection.Writes() || !connection.control.empty()) {
    if (!connection.Writes()) {
      connection.frame = std::move(connection.control.front());
      connection.control.pop_front();
      connection.written = 0;
      connection.write_until_us = clock_.Now() + kWriteWait;
    }
    if (!connection.writing.empty() && connection.written == 0 && !Compose(connection)) continue;
    std::size_t sent = 0;
    Io got = WriteNow(connection.fd, std::string_view(connection.frame).substr(connection.written), sent);
    connection.written += sent;
    if (got == Io::kError) return Broken(number, connection);
    if (got == Io::kTimeout) {
      if (!connection.armed) Arm(number, connection, true);
      return true;
    }
    if (connection.written < connection.frame.size()) continue;
    connection.frame.clear();
    for (const coordinator::AttemptKey& key : std::exchange(connection.writing, {})) {
      auto found = live_.find(key);
      if (found == live_.end()) continue;
      found->second.progress = coordinator::Progress::kWhollyWritten;
      if (auto* group = figures_.Of(found->second.order.class_index)) group->sends.Add();
    }
  }
  if (connection.armed) Arm(number, connection, false);
  return true;
}

// Guards the first byte of a frame, also of one that had to wait for room: by now a client may have left, a
// time be over or the holder drain. The frame is made of what may still go; false when nothing may.
bool EndpointConnectionPool::Compose(Connection& connection) {
  std::vector<const coordinator::AttemptRequest*> orders;
  for (const coordinator::AttemptKey& key : std::vector<coordinator::AttemptKey>(connection.writing)) {
    auto found = live_.find(key);
    std::optional<coordinator::Cause> barred = coordinator::Cause::kStale;
    if (found != live_.end()) barred = Barred(found->second.order);
    if (!barred) {
      orders.push_back(&found->second.order);
      continue;
    }
    TakeBack(connection, key);
    Finish(key, *barred);
  }
  if (!orders.empty()) connection.frame = protocol_.Ask(orders, connection.addr, clock_.Now());
  return !orders.empty();
}

// Nothing of the frame has been written: the attempt is as if it had never been on this connection.
void EndpointConnectionPool::TakeBack(Connection& connection, const coordinator::AttemptKey& key) {
  std::erase_if(connection.out, [&](const auto& one) { return one.second == key; });
  std::erase(connection.writing, key);
  if (connection.writing.empty()) connection.frame.clear();
  auto found = live_.find(key);
  if (found == live_.end()) return;
  found->second.progress = coordinator::Progress::kNotConnected;
  found->second.connection = 0;
}

// It took no more. One that turns out broken before an attempt's first byte has told nobody anything of it:
// that goes to another. Answers that came before the end still count; a frame cut short ends with the
// connection.
bool EndpointConnectionPool::Broken(Number number, Connection& connection) {
  std::vector<coordinator::AttemptKey> writing = std::exchange(connection.writing, {});
  for (auto key = writing.rbegin(); connection.written == 0 && key != writing.rend(); ++key) {
    auto found = live_.find(*key);
    if (found == live_.end() || ++found->second.turns >= kTurns) continue;
    connection.link->queue.push_front(*key);
    TakeBack(connection, *key);
  }
  connection.frame.clear();
  connection.control.clear();
  if (Receive(number, connection)) Drop(number, connection, coordinator::Cause::kConnectionLost);
  return false;
}

// ---- answers in ----

bool EndpointConnectionPool::Receive(Number number, Connection& connection) {
  std::vector<EndpointResponse> answers;
  Io got = Io::kOk;
  // One that never stops sending must not keep the others waiting: the poll comes back to it.
  for (int turn = 0; got == Io::kOk; ++turn) {
    if (turn == kReadsAtOnce) return true;
    std::size_t before = connection.pending.size();
    got = ReadNow(connection.fd, connection.pending);
    if (got == Io::kTimeout) return true;
    // Less than was asked for: that was all, and asking again would only be told so.
    bool all = got == Io::kOk && connection.pending.size() - before < kReadBytes;
    std::string oldest = connection.out.empty() ? std::string() : connection.out.front().first;
    answers.clear();
    bool usable = true;
    try {
      if (got == Io::kOk)
        usable = connection.reader->Take(connection.pending, oldest, answers) &&
                 connection.pending.size() <= kMaxPending;
      if (got == Io::kEnd) connection.reader->End(oldest, answers);
    } catch (const std::exception& error) {
      log::Error("holder connection: {}", error.what());
      usable = false;
    }
    if (got == Io::kOk) connection.heard_us = clock_.Now();
    // Guards against spoilt answers: once something came that cannot be used, was asked by nobody, or does
    // not go on, nothing after it on this connection can be trusted, and all that is out there may have run.
    for (EndpointResponse& answer : answers) usable = TakeAnswer(connection, std::move(answer)) && usable;
    if (!usable) {
      counters_.spoilt.Add();
      Drop(number, connection, coordinator::Cause::kInvalidResponse);
      return false;
    }
    if (all) return true;
  }
  Drop(number, connection, coordinator::Cause::kConnectionLost);
  return false;
}

// False when it answers nothing that was asked on this connection.
bool EndpointConnectionPool::TakeAnswer(Connection& connection, EndpointResponse answer) {
  connection.used_us = clock_.Now();
  auto found =
      std::ranges::find(connection.out, answer.id, &std::pair<std::string, coordinator::AttemptKey>::first);
  if (found == connection.out.end()) return std::erase(connection.withdrawn, answer.id) > 0;
  coordinator::AttemptKey key = found->second;
  connection.out.erase(found);
  auto attempt = live_.find(key);
  if (attempt != live_.end()) attempt->second.progress = coordinator::Progress::kAnswering;
  Finish(key, answer.cause, std::move(answer));
  return true;
}

void EndpointConnectionPool::Finish(const coordinator::AttemptKey& key, coordinator::Cause cause,
                                    EndpointResponse answer) {
  auto found = live_.find(key);
  if (found == live_.end()) return;
  coordinator::AttemptResult result{key, found->second.progress, cause, std::move(answer.load),
                                    std::move(answer.value)};
  live_.erase(found);
  sink_(std::move(result));
}

}  // namespace liftrudder::net
