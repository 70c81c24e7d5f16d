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
  ReloadDiscoveryAddress();
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
