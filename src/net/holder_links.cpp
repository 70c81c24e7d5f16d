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
constexpr std::size_t kSweepFrom = 48;  // links, before those of holders that are gone are looked for

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
    connection->withdrawn.insert(id);
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
  Micros stop = context_.directory.Find(holder_).stop_sending_us;
  return now >= order.wait_until_us || (stop > 0 && now >= stop);
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
      if (connection->dead) Finish(key, core::Cause::kConnectionLost);
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

std::shared_ptr<Link::Connection> Link::Pick(std::unique_lock<std::mutex>& lock, const std::string& id) {
  std::string addr = context_.directory.Find(holder_).addr;
  Micros limit =
      static_cast<Micros>(kIdleShare * static_cast<double>(context_.limits.idle_close_us));
  for (const auto& connection : connections_) {
    if (connection->dead) continue;
    bool idle = connection->out.empty() && context_.clock.Now() - connection->used_us > limit;
    if (idle || connection->addr != addr) {
      if (connection->out.empty()) Retire(connection);
      continue;
    }
    // An earlier attempt's answer under the same id could be taken for this one's: not on one connection.
    bool ambiguous = connection->withdrawn.contains(id) ||
                     std::ranges::any_of(connection->out, [&](const auto& one) { return one.first == id; });
    if (!ambiguous && static_cast<int>(connection->out.size()) < context_.limits.streams_per_connection)
      return connection;
  }
  return Open(lock, addr);
}

std::shared_ptr<Link::Connection> Link::Open(std::unique_lock<std::mutex>& lock, const std::string& addr) {
  if (context_.connections.fetch_add(1) >= context_.limits.max_connections) {
    context_.connections.fetch_sub(1);
    return nullptr;
  }
  lock.unlock();
  Micros from_us = context_.clock.Now();
  Fd fd = Connect(addr, context_.limits.connect_timeout_us);
  lock.lock();
  if (!fd.Valid() || stopping_) {
    log::Info("holder at {}: no connection after {} us", addr, context_.clock.Now() - from_us);
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

void Link::ReadLoop(const std::shared_ptr<Connection>& connection) {
  std::unique_ptr<AnswerReader> reader = context_.dialect.Reader();
  std::string pending;
  std::vector<HolderAnswer> answers;
  Micros limit =
      static_cast<Micros>(kIdleShare * static_cast<double>(context_.limits.idle_close_us));
  bool going = true;
  while (going) {
    Io got = ReadSome(connection->fd, pending, kSlice);
    std::lock_guard lock(mutex_);
    std::string oldest = connection->out.empty() ? std::string() : connection->out.front().first;
    answers.clear();
    try {
      if (got == Io::kOk) going = reader->Take(pending, oldest, answers) && pending.size() <= kMaxPending;
      if (got == Io::kEnd) reader->End(oldest, answers);
    } catch (const std::exception& error) {
      log::Error("holder connection: {}", error.what());
      going = false;
    }
    for (HolderAnswer& answer : answers) TakeAnswer(*connection, std::move(answer));
    if (got == Io::kEnd || got == Io::kError) going = false;
    bool idle = connection->out.empty() && context_.clock.Now() - connection->used_us > limit;
    if (idle || (connection->dead && connection->out.empty())) going = false;
  }
  std::lock_guard lock(mutex_);
  Lost(connection);
}

void Link::TakeAnswer(Connection& connection, HolderAnswer answer) {
  connection.used_us = context_.clock.Now();
  auto found = std::ranges::find(connection.out, answer.id, &std::pair<std::string, core::AttemptKey>::first);
  if (found == connection.out.end()) {
    connection.withdrawn.erase(answer.id);
    return;
  }
  core::AttemptKey key = found->second;
  connection.out.erase(found);
  auto attempt = live_.find(key);
  if (attempt != live_.end()) attempt->second.progress = core::Progress::kAnswering;
  Finish(key, answer.cause, std::move(answer));
}

// Ends all that is out on it, but what the writer is at: only the writer knows whether the last byte went.
void Link::Lost(const std::shared_ptr<Connection>& connection) {
  Retire(connection);
  context_.connections.fetch_sub(1);
  auto out = std::exchange(connection->out, {});
  for (const auto& [id, key] : out) {
    auto attempt = live_.find(key);
    if (attempt != live_.end() && attempt->second.progress != core::Progress::kPartlyWritten)
      Finish(key, core::Cause::kConnectionLost);
  }
  wake_.notify_one();
}

void HolderLinks::Start(core::AttemptOrder order) {
  auto& link = links_[order.holder];
  if (link == nullptr) {
    Sweep();
    link = std::make_unique<Link>(context_, order.holder);
  }
  link->Start(std::move(order));
}

void HolderLinks::Sweep() {
  if (links_.size() < kSweepFrom) return;
  std::erase_if(links_, [this](const auto& one) {
    return one.second != nullptr && context_.directory.Find(one.first).stop_sending_us > 0 &&
           one.second->Unused();
  });
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
