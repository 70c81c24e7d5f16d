#include "app/reload.h"

#include <exception>
#include <utility>

#include "config/config.h"
#include "log/log.h"

namespace liftrudder::app {

Reloader::Reloader(std::string config_path, ReloadTargets targets)
    : config_path_(std::move(config_path)), targets_(targets) {}

void Reloader::Reload() {
  if (targets_.credential_watcher != nullptr) targets_.credential_watcher->RequestReload();
  discovery_address_requested_ = true;
  last_error_.clear();
  ReadDiscoveryAddress();
}

void Reloader::Retry() {
  if (discovery_address_requested_) ReadDiscoveryAddress();
}

void Reloader::ReadDiscoveryAddress() {
  // The file may be incomplete or invalid: the coordinator then keeps its current discovery address.
  std::string problem;
  try {
    const std::string text = config::ReadFile(config_path_);
    discovery_address_requested_ = false;
    ApplyDiscoveryAddress(text);
  } catch (const std::exception& error) {
    problem = error.what();
  }
  if (!problem.empty() && problem != last_error_) {
    log::Error("reload: {}; keeping the current discovery address", problem);
  }
  last_error_ = problem;
}

void Reloader::ApplyDiscoveryAddress(std::string_view text) {
  const config::Config config = config::ParseConfig(text);
  if (targets_.discovery_watch == nullptr || config.discovery_address.empty()) {
    log::Info(
        "reload: keeping the discovery address: there is no discovery watch, or the file names no address");
    return;
  }
  log::Info("reload: discovery address is {}", config.discovery_address);
  targets_.discovery_watch->SetAddress(config.discovery_address);
}

}  // namespace liftrudder::app
