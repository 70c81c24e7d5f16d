#include "net/holder_links.h"

#include <algorithm>
#include <chrono>
#include <exception>

#include "log/log.h"

namespace liftrudder::net {
namespace {

constexpr Micros kWriteWait = 1'000'000;
constexpr Micros kSlice = 500'000;  // how soon a reader looks whether its connection has stood idle too long
constexpr double kIdleShare = 0.8;  // of the time after which the holder closes: not used from then on
constexpr std::size_t kMaxPending = 256 * 1024;
constexpr Micros kStall = 500'000;  // an answer that has begun and does not go on for so long is spoilt
constexpr std::size_t kMostWithdrawn = 64;  // on one connection, before it is left for another
constexpr double kSpread = 0.75;     // of all connections: up to here each part out gets one of its own
constexpr Micros kSlowConnect = 20'000;

}  // namespace

Link::Link(LinkContext& context, core::ReplicaId holder)
    : context_(context), holder_(holder), writer_([this] { WriteLoop(); }) {}

Link::~Link() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const auto& connection : connections_) Retire(connection);
    wake_.notify_all();
  }
  writer_.Join();
  for (const auto& connection : connections_) connection->reader.Join();
}

void Link::Start(core::AttemptOrder order) {
  std::lock_guard lock(mutex_);
  core::AttemptKey key = order.key;
  live_[key].order = std::move(order);
  queue_.push_back(key);
  wake_.notify_one();
}

// The attempt ends now, whatever its holder or our own writer is at: an attempt's end waits for no socket.
void Link::Withdraw(const core::AttemptKey& key, core::Cause cause) {
  std::lock_guard lock(mutex_);
  auto found = live_.find(key);
  if (found == live_.end()) return;
  if (found->second.progress >= core::Progress::kPartlyWritten) {
    std::string id = context_.dialect.Id(found->second.order);
    std::shared_ptr<Connection> connection = found->second.connection;
    // Answers to these may come late or never: a connection that has met many is replaced, lest they pile up.
    connection->withdrawn.push_back(id);
    connection->given_up = connection->withdrawn.size() >= kMostWithdrawn;
    std::erase_if(connection->out, [&](const auto& one) { return one.second == key; });
    if (context_.dialect.GiveUp(id).empty()) {
      if (connection->out.empty()) Retire(connection);
    } else if (cause == core::Cause::kWithdrawn) {
      given_up_.emplace_back(connection, id);
      wake_.notify_one();
    }
  }
  Finish(key, cause);
}

void Link::CloseIdle() {
  std::lock_guard lock(mutex_);
  for (const auto& connection : connections_) {
    if (connection->out.empty()) Retire(connection);
  }
}

bool Link::Unused() {
  std::lock_guard lock(mutex_);
  return live_.empty() && queue_.empty();
}

void Link::Finish(const core::AttemptKey& key, core::Cause cause, HolderAnswer answer) {
  auto found = live_.find(key);
  if (found == live_.end()) return;
  core::AttemptResult result{key, found->second.progress, cause, std::move(answer.load),
                             std::move(answer.value)};
  live_.erase(found);
  context_.sink(std::move(result));
}

void Link::Retire(const std::shared_ptr<Connection>& connection) {
  connection->dead = true;
  ShutDown(connection->fd);
}

// Looked at before the first byte only: a holder that drains, a client that gave up, a time that is over.
bool Link::Stale(const core::AttemptOrder& order) const {
  Micros now = context_.clock.Now();
  core::HolderAddress holder = context_.directory.Find(holder_);
  bool stopped = holder.id.empty() || (holder.stop_sending_us > 0 && now >= holder.stop_sending_us);
  return stopped || now >= order.wait_until_us;
}

void Link::WriteLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    // Dead connections are buried here, outside the lock: a reader may want it on its way out.
    std::list<std::shared_ptr<Connection>> buried;
    for (auto one = connections_.begin(); one != connections_.end();) {
      auto next = std::next(one);
      if ((*one)->dead) buried.splice(buried.end(), connections_, one);
      one = next;
    }
    if (!buried.empty()) {
      lock.unlock();
      for (const auto& connection : buried) connection->reader.Join();
      buried.clear();
      lock.lock();
      continue;
    }
    if (!given_up_.empty()) {
      WriteGivenUp(lock);
    } else if (!queue_.empty()) {
      core::AttemptKey key = queue_.front();
      queue_.pop_front();
      WriteOne(lock, key);
    } else {
      wake_.wait(lock);
    }
  }
  while (!live_.empty()) Finish(live_.begin()->first, core::Cause::kConnectionLost);
}

void Link::WriteGivenUp(std::unique_lock<std::mutex>& lock) {
  auto [connection, id] = std::move(given_up_.front());
  given_up_.pop_front();
  if (connection->dead) return;
  std::string frame = context_.dialect.GiveUp(id);
  lock.unlock();
  Written written = WriteAll(connection->fd, frame, kWriteWait);
  lock.lock();
  if (written.status != Io::kOk) Retire(connection);
}

void Link::WriteOne(std::unique_lock<std::mutex>& lock, const core::AttemptKey& key) {
  auto found = live_.find(key);
  if (found == live_.end()) return;  // withdrawn while it waited
  core::AttemptOrder order = found->second.order;
  if (Stale(order)) return Finish(key, core::Cause::kStale);
  std::string id = context_.dialect.Id(order);
  // A pooled connection that turns out broken before the first byte has told nobody anything: once more, anew.
  for (int turn = 0; turn < 2; ++turn) {
    std::shared_ptr<Connection> connection = Pick(lock, id);
    found = live_.find(key);
    if (found == live_.end()) return;
    if (connection == nullptr) return Finish(key, core::Cause::kConnectionLost);
    if (Stale(order)) return Finish(key, core::Cause::kStale);
    std::string frame =
        context_.dialect.Ask(order, connection->addr, order.wait_until_us - context_.clock.Now());
    found->second.progress = core::Progress::kPartlyWritten;
    found->second.connection = connection;
    connection->out.emplace_back(id, key);
    connection->used_us = context_.clock.Now();
    lock.unlock();
    Written written = WriteAll(connection->fd, frame, kWriteWait);
    lock.lock();
    found = live_.find(key);
    if (written.status == Io::kOk) {
      if (found == live_.end()) return;  // withdrawn meanwhile, and told so
      found->second.progress = core::Progress::kWhollyWritten;
      // It ended before we got to note that all was written: for the reason that the reader saw.
      if (connection->dead) Finish(key, connection->ended_by);
      return;
    }
    // A frame cut short must not be followed by another: the connection ends, and the others on it with it.
    std::erase_if(connection->out, [&](const auto& one) { return one.second == key; });
    Retire(connection);
    if (found == live_.end()) return;
    if (written.bytes > 0 || written.status == Io::kTimeout) return Finish(key, core::Cause::kConnectionLost);
    found->second.progress = core::Progress::kNotConnected;
    found->second.connection = nullptr;
  }
  Finish(key, core::Cause::kConnectionLost);
}

// Guards the other parts out on a connection from an answer that spoils it: as long as there are connections
// to spare, each part out has one of its own. A usable one is never left for one that is slow to come up.
bool Link::MayOpenAnother() const {
  return !slow_connect_ && context_.connections < kSpread * context_.limits.max_connections;
}

std::shared_ptr<Link::Connection> Link::Pick(std::unique_lock<std::mutex>& lock, const std::string& id) {
  std::string addr = context_.directory.Find(holder_).addr;
  Micros limit =
      static_cast<Micros>(kIdleShare * static_cast<double>(context_.limits.idle_close_us));
  std::shared_ptr<Connection> best;
  for (const auto& connection : connections_) {
    if (connection->dead) continue;
    bool idle = connection->out.empty() && context_.clock.Now() - connection->used_us > limit;
    if (idle || connection->addr != addr || connection->given_up) {
      if (connection->out.empty()) Retire(connection);
      continue;
    }
    // An earlier attempt's answer under the same id could be taken for this one's: not on one connection.
    bool ambiguous = std::ranges::find(connection->withdrawn, id) != connection->withdrawn.end() ||
                     std::ranges::any_of(connection->out, [&](const auto& one) { return one.first == id; });
    if (ambiguous || static_cast<int>(connection->out.size()) >= context_.limits.streams_per_connection)
      continue;
    if (best == nullptr || connection->out.size() < best->out.size()) best = connection;
  }
  if (best != nullptr && (best->out.empty() || !MayOpenAnother())) return best;
  std::shared_ptr<Connection> opened = Open(lock, addr);
  if (opened != nullptr || best == nullptr || best->dead) return opened;
  return best;
}

std::shared_ptr<Link::Connection> Link::Open(std::unique_lock<std::mutex>& lock, const std::string& addr) {
  if (context_.connections.fetch_add(1) >= context_.limits.max_connections) {
    context_.connections.fetch_sub(1);
    return nullptr;
  }
  std::size_t waiting = queue_.size();
  lock.unlock();
  Micros from_us = context_.clock.Now();
  Fd fd = Connect(addr, context_.limits.connect_timeout_us);
  lock.lock();
  Micros took_us = context_.clock.Now() - from_us;
  slow_connect_ = !fd.Valid() || took_us > kSlowConnect;
  if (!fd.Valid() || stopping_) {
    log::Info("holder at {}: no connection after {} us", addr, took_us);
    if (connections_.empty()) FailWaiting(waiting);
    context_.connections.fetch_sub(1);
    context_.counters.connects_failed.Add();
    return nullptr;
  }
  context_.counters.connects.Add();
  auto connection = std::make_shared<Connection>();
  connection->fd = std::move(fd);
  connection->addr = addr;
  connection->used_us = context_.clock.Now();
  connections_.push_back(connection);
  connection->reader = Thread([this, connection] { ReadLoop(connection); });
  return connection;
}

// Guards against waits that add up: what stood in the queue when a connection that did not come up was begun has
// waited as long for it, and is not made to wait for another.
void Link::FailWaiting(std::size_t waiting) {
  for (; waiting > 0 && !queue_.empty(); --waiting) {
    core::AttemptKey key = queue_.front();
    queue_.pop_front();
    Finish(key, core::Cause::kConnectionLost);
  }
}

void Link::ReadLoop(const std::shared_ptr<Connection>& connection) {
  std::unique_ptr<AnswerReader> reader = context_.dialect.Reader();
  std::string pending;
  std::vector<HolderAnswer> answers;
  Micros limit =
      static_cast<Micros>(kIdleShare * static_cast<double>(context_.limits.idle_close_us));
  Micros heard_us = context_.clock.Now();
  core::Cause cause = core::Cause::kConnectionLost;
  bool going = true;
  while (going) {
    Io got = ReadSome(connection->fd, pending, pending.empty() ? kSlice : kStall);
    std::lock_guard lock(mutex_);
    std::string oldest = connection->out.empty() ? std::string() : connection->out.front().first;
    answers.clear();
    bool usable = true;
    try {
      if (got == Io::kOk) usable = reader->Take(pending, oldest, answers) && pending.size() <= kMaxPending;
      if (got == Io::kEnd) reader->End(oldest, answers);
    } catch (const std::exception& error) {
      log::Error("holder connection: {}", error.what());
      usable = false;
    }
    Micros now = context_.clock.Now();
    if (got == Io::kOk) heard_us = now;
    // Guards against spoilt answers: once something came that cannot be used, was asked by nobody, or does not
    // go on, nothing after it on this connection can be trusted, and all that is out there may have run.
    for (HolderAnswer& answer : answers) usable = TakeAnswer(*connection, std::move(answer)) && usable;
    usable = usable && (pending.empty() || now - heard_us < kStall);
    if (!usable) {
      cause = core::Cause::kSpoilt;
      context_.counters.spoilt.Add();
      going = false;
    }
    if (got == Io::kEnd || got == Io::kError) going = false;
    bool idle = connection->out.empty() && now - connection->used_us > limit;
    if (idle || (connection->dead && connection->out.empty())) going = false;
  }
  std::lock_guard lock(mutex_);
  Lost(connection, cause);
}

// False when it answers nothing that was asked on this connection.
bool Link::TakeAnswer(Connection& connection, HolderAnswer answer) {
  connection.used_us = context_.clock.Now();
  auto found = std::ranges::find(connection.out, answer.id, &std::pair<std::string, core::AttemptKey>::first);
  if (found == connection.out.end()) return std::erase(connection.withdrawn, answer.id) > 0;
  core::AttemptKey key = found->second;
  connection.out.erase(found);
  auto attempt = live_.find(key);
  if (attempt != live_.end()) attempt->second.progress = core::Progress::kAnswering;
  Finish(key, answer.cause, std::move(answer));
  return true;
}

// Ends all that is out on it, but what the writer is at: only the writer knows whether the last byte went.
void Link::Lost(const std::shared_ptr<Connection>& connection, core::Cause cause) {
  connection->ended_by = cause;
  Retire(connection);
  context_.connections.fetch_sub(1);
  auto out = std::exchange(connection->out, {});
  for (const auto& [id, key] : out) {
    auto attempt = live_.find(key);
    if (attempt != live_.end() && attempt->second.progress != core::Progress::kPartlyWritten)
      Finish(key, cause);
  }
  wake_.notify_one();
}

HolderLinks::HolderLinks(const Dialect& dialect, const core::HolderDirectory& directory,
                         const core::Clock& clock, const LinkLimits& limits, metrics::Counters& counters,
                         ResultSink sink)
    : context_{dialect, directory, clock, limits, counters, std::move(sink)},
      burier_([this] { BuryLoop(); }) {}

HolderLinks::~HolderLinks() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
    wake_.notify_one();
  }
  burier_.Join();
}

void HolderLinks::Start(core::AttemptOrder order) {
  auto& link = links_[order.holder];
  if (link == nullptr) link = std::make_unique<Link>(context_, order.holder);
  link->Start(std::move(order));
}

// Guards a long day, in which holders are replaced for ever, against a writer and connections for each of them.
void HolderLinks::ForgetGone() {
  std::lock_guard lock(mutex_);
  for (auto one = links_.begin(); one != links_.end();) {
    auto next = std::next(one);
    core::HolderAddress holder = context_.directory.Find(one->first);
    if ((holder.id.empty() || holder.stop_sending_us > 0) && one->second->Unused()) {
      gone_.push_back(std::move(one->second));
      links_.erase(one);
      wake_.notify_one();
    }
    one = next;
  }
}

// A link's end waits for its threads, which may be at a socket: not on the core's thread.
void HolderLinks::BuryLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    if (gone_.empty()) wake_.wait(lock);
    auto buried = std::exchange(gone_, {});
    lock.unlock();
    buried.clear();
    lock.lock();
  }
}

void HolderLinks::Withdraw(const core::AttemptKey& key, const core::ReplicaId& holder, core::Cause cause) {
  auto link = links_.find(holder);
  if (link != links_.end()) link->second->Withdraw(key, cause);
}

void HolderLinks::CloseIdle(const core::ReplicaId& holder) {
  auto link = links_.find(holder);
  if (link != links_.end()) link->second->CloseIdle();
}

}  // namespace liftrudder::net
