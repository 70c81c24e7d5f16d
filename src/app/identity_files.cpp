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
  auto table = identity::PermissionTable::Parse(member);
  if (!table) throw std::runtime_error(table.error().Message());
  std::unique_ptr<IdentityFiles> out(new IdentityFiles(operator_file, std::move(*table)));
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
    auto replaced = authenticator_.ReplaceKeys(config::ReadFile(keys_file_));
    if (replaced) {
      changes = std::move(*replaced);
    } else {
      wrong = replaced.error().Message();
    }
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
    std::string text = config::ReadFile(operator_file_);
    auto table = identity::PermissionTable::Parse(net::json::Get(text, "identity"));
    if (!table) throw std::runtime_error(table.error().Message());
    std::string keys_file = Beside(operator_file_, table->keys_file);
    auto changes = authenticator_.ReplacePermissions(std::move(*table));
    if (!changes) throw std::runtime_error(changes.error().Message());
    keys_file_ = keys_file;
    Say(*changes);
  } catch (const std::runtime_error& error) {
    log::Error("{}; the permissions so far stay", error.what());
  }
  TakeKeys();
}

}  // namespace liftrudder::app
