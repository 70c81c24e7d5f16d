#include "app/credential_watcher.h"

#include <chrono>
#include <exception>
#include <string>
#include <utility>

#include "app/startup_error.h"
#include "app/watched_files.h"
#include "log/log.h"

namespace liftrudder::app {
namespace {

constexpr coordinator::Micros kMicrosPerMilli = 1000;

}  // namespace

CredentialWatcher::CredentialWatcher(CredentialFiles files, const coordinator::Clock& clock,
                                     metrics::Counters& counters)
    : files_(files), clock_(clock), counters_(counters) {
  CountCheck();  // the files were read when they were opened
  thread_ = net::Thread([this] { Run(); });
  if (!thread_.Started()) throw StartupError("cannot start the thread that checks keys and certificates");
}

CredentialWatcher::~CredentialWatcher() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_one();
  thread_.Join();
}

void CredentialWatcher::RequestReload() {
  {
    std::lock_guard lock(mutex_);
    reload_requested_ = true;
  }
  wake_.notify_one();
}

void CredentialWatcher::LogState() const {
  const std::int64_t age_ms = clock_.Now() / kMicrosPerMilli - counters_.credentials_checked_ms.Value();
  const std::string keys =
      files_.identity == nullptr ? "none" : identity::Describe(*files_.identity->authenticator().keys());
  log::Info("audit: keys, permissions and certificates were checked {} times, last {} ms ago; keys: {}",
            counters_.credential_checks.Value(), age_ms, keys);
}

void CredentialWatcher::Run() {
  bool complete = true;
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const bool reload = std::exchange(reload_requested_, false) || !complete;
    lock.unlock();
    complete = Check(reload);
    lock.lock();
    wake_.wait_for(lock, std::chrono::microseconds(kPollIntervalUs),
                   [this] { return stopping_ || reload_requested_; });
  }
}

bool CredentialWatcher::Check(bool reload) {
  try {
    if (files_.identity != nullptr) reload ? files_.identity->Reload() : files_.identity->Poll();
    if (files_.tls != nullptr) reload ? files_.tls->Reload() : files_.tls->Poll();
    CountCheck();
    return true;
  } catch (const std::exception& error) {
    log::Error("check of keys and certificates: {}; reading all of them again at the next check",
               error.what());
    return false;
  }
}

void CredentialWatcher::CountCheck() {
  counters_.credential_checks.Add();
  counters_.credentials_checked_ms.Set(clock_.Now() / kMicrosPerMilli);
}

}  // namespace liftrudder::app
