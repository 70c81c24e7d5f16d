#include "app/reload.h"

#include <exception>
#include <utility>

#include "config/config.h"
#include "log/log.h"

namespace liftrudder::app {
namespace {

constexpr coordinator::Micros kMicrosPerMilli = 1000;

}  // namespace

Reloader::Reloader(std::string config_path, ReloadTargets targets, const coordinator::Clock& clock,
                   metrics::Counters& counters)
    : config_path_(std::move(config_path)), targets_(targets), clock_(clock), counters_(counters) {
  CountCheck();  // the files were read at start-up
}

void Reloader::Reload() {
  ReloadDiscoveryAddress();
  if (targets_.identity != nullptr) targets_.identity->Reload();
  if (targets_.tls != nullptr) targets_.tls->Reload();
  CountCheck();
}

void Reloader::PollFiles() {
  if (targets_.identity != nullptr) targets_.identity->Poll();
  if (targets_.tls != nullptr) targets_.tls->Poll();
  CountCheck();
}

void Reloader::CountCheck() {
  if (!HasWatchedFiles()) return;
  counters_.credential_checks.Add();
  counters_.credentials_checked_ms.Set(clock_.Now() / kMicrosPerMilli);
}

void Reloader::LogWatchedFiles() const {
  if (!HasWatchedFiles()) return;
  const std::int64_t age_ms = clock_.Now() / kMicrosPerMilli - counters_.credentials_checked_ms.Value();
  const std::string keys =
      targets_.identity == nullptr ? "none" : identity::Describe(*targets_.identity->authenticator().keys());
  log::Info("audit: keys, permissions and certificates were checked {} times, last {} ms ago; keys: {}",
            counters_.credential_checks.Value(), age_ms, keys);
}

void Reloader::ReloadDiscoveryAddress() {
  // The file may be incomplete or invalid: the coordinator then keeps its current discovery address.
  try {
    config::Config config = config::ParseConfig(config::ReadFile(config_path_));
    if (targets_.discovery_watch == nullptr || config.discovery_address.empty()) {
      log::Info(
          "reload: keeping the discovery address: there is no discovery watch, or the file names no address");
      return;
    }
    log::Info("reload: discovery address is {}", config.discovery_address);
    targets_.discovery_watch->SetAddress(config.discovery_address);
  } catch (const std::exception& error) {
    log::Error("reload: {}; keeping the current discovery address", error.what());
  }
}

}  // namespace liftrudder::app
