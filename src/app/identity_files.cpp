#include "app/identity_files.h"

#include <stdexcept>
#include <vector>

#include "config/config.h"
#include "log/log.h"
#include "net/json.h"

namespace liftrudder::app {
namespace {

void Say(const std::vector<std::string>& changes) {
  for (const std::string& change : changes) log::Info("audit: {}", change);
}

}  // namespace

std::unique_ptr<IdentityFiles> IdentityFiles::Open(const std::string& operator_file, std::string_view text) {
  std::string_view member = net::json::Get(text, "identity");
  if (member.empty()) return nullptr;
  auto read = identity::PermissionTable::Read(member);
  if (const auto* wrong = std::get_if<std::string>(&read)) throw std::runtime_error(*wrong);
  std::unique_ptr<IdentityFiles> out(
      new IdentityFiles(operator_file, std::get<identity::PermissionTable>(std::move(read))));
  out->TakeKeys();
  if (!out->said_.empty()) throw std::runtime_error(out->said_);
  return out;
}

IdentityFiles::IdentityFiles(std::string operator_file, identity::PermissionTable permission_table)
    : operator_file_(std::move(operator_file)),
      keys_file_(Beside(operator_file_, permission_table.keys_file)),
      authenticator_(std::move(permission_table)) {}

void IdentityFiles::Look() {
  if (StampOf(keys_file_) != seen_) TakeKeys();
}

void IdentityFiles::TakeKeys() {
  // Taken before the file is read: a change while it is read is seen at the next look.
  seen_ = StampOf(keys_file_);
  std::vector<std::string> changes;
  std::string wrong;
  try {
    wrong = authenticator_.TakeKeys(config::ReadFile(keys_file_), changes).value_or("");
  } catch (const std::runtime_error& error) {
    wrong = error.what();
  }
  if (!wrong.empty()) wrong = "keys in " + keys_file_ + ": " + wrong;
  if (!wrong.empty() && wrong != said_) log::Error("{}; the keys so far stay", wrong);
  said_ = wrong;
  Say(changes);
}

void IdentityFiles::Reload() {
  try {
    auto read = identity::PermissionTable::Read(net::json::Get(config::ReadFile(operator_file_), "identity"));
    if (const auto* wrong = std::get_if<std::string>(&read)) throw std::runtime_error(*wrong);
    auto& permission_table = std::get<identity::PermissionTable>(read);
    std::string keys_file = Beside(operator_file_, permission_table.keys_file);
    std::vector<std::string> changes;
    if (auto wrong = authenticator_.TakePermissions(std::move(permission_table), changes))
      throw std::runtime_error("identity: " + *wrong);
    keys_file_ = keys_file;
    Say(changes);
  } catch (const std::runtime_error& error) {
    log::Error("{}; the rights so far stay", error.what());
  }
  TakeKeys();
}

}  // namespace liftrudder::app
