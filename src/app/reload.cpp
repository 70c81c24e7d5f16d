#include "app/reload.h"

#include <exception>
#include <utility>

#include "config/config.h"
#include "log/log.h"

namespace liftrudder::app {

Reloader::Reloader(std::string config_path, ReloadTargets targets)
    : config_path_(std::move(config_path)), targets_(targets) {}

void Reloader::Reload() {
  MoveDiscovery();
  if (targets_.identity != nullptr) targets_.identity->Reload();
  if (targets_.tls != nullptr) targets_.tls->Reload();
}

void Reloader::PollFiles() {
  if (targets_.identity != nullptr) targets_.identity->Poll();
  if (targets_.tls != nullptr) targets_.tls->Poll();
}

void Reloader::MoveDiscovery() {
  // The file may be half written or wrong: the coordinator then goes on with what it has.
  try {
    config::Config config = config::Parse(config::ReadFile(config_path_));
    if (targets_.discovery_watch == nullptr || config.discovery.empty()) {
      log::Info("reload: there is no discovery watch to move");
      return;
    }
    log::Info("reload: discovery is at {}", config.discovery);
    targets_.discovery_watch->Move(config.discovery);
  } catch (const std::exception& error) {
    log::Error("reload: {}; the old settings stay", error.what());
  }
}

}  // namespace liftrudder::app
