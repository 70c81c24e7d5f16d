#include "app/identity_files.h"

#include <stdexcept>
#include <utility>
#include <vector>

#include "app/wire_names.h"
#include "config/config.h"
#include "log/log.h"
#include "net/json.h"

namespace liftrudder::app {
namespace {

void LogChanges(const std::vector<std::string>& changes) {
  for (const std::string& change : changes) log::Info("audit: {}", change);
}

identity::PermissionTable ParsePermissions(std::string_view identity_member) {
  auto table = identity::PermissionTable::Parse(identity_member);
  if (!table) throw config::ConfigError(table.error().Message());
  return std::move(*table);
}

}  // namespace

std::unique_ptr<IdentityFiles> IdentityFiles::Open(const std::string& operator_file, std::string_view text) {
  std::string_view member = net::json::FindMember(text, wire::kIdentityMember);
  if (member.empty()) return nullptr;
  std::unique_ptr<IdentityFiles> files(new IdentityFiles(operator_file, ParsePermissions(member)));
  files->ReadKeys();
  if (!files->last_error_.empty()) throw config::ConfigError(files->last_error_);
  return files;
}

IdentityFiles::IdentityFiles(std::string operator_file, identity::PermissionTable permission_table)
    : operator_file_(std::move(operator_file)),
      keys_file_(ResolvePath(operator_file_, permission_table.keys_file)),
      authenticator_(std::move(permission_table)) {}

void IdentityFiles::Poll() {
  if (permissions_requested_) ReadPermissions();
  if (ReadFileStamp(keys_file_) != last_stamp_) ReadKeys();
}

void IdentityFiles::Reload() {
  permissions_requested_ = true;
  last_permissions_error_.clear();
  ReadPermissions();
  ReadKeys();
}

void IdentityFiles::ReadKeys() {
  // Stamped before it is read, so that the next poll notices a change during the read.
  const FileStamp stamp = ReadFileStamp(keys_file_);
  last_stamp_.reset();
  std::vector<std::string> changes;
  std::string problem;
  try {
    const std::string text = config::ReadFile(keys_file_);
    last_stamp_ = stamp;
    auto replaced = authenticator_.ReplaceKeys(text);
    if (replaced) {
      changes = std::move(*replaced);
    } else {
      problem = replaced.error().Message();
    }
  } catch (const std::runtime_error& error) {
    problem = error.what();
  }
  if (!problem.empty()) problem = "keys in " + keys_file_ + ": " + problem;
  if (!problem.empty() && problem != last_error_) log::Error("{}; keeping the current keys", problem);
  last_error_ = problem;
  LogChanges(changes);
}

void IdentityFiles::ReadPermissions() {
  std::string problem;
  try {
    const std::string text = config::ReadFile(operator_file_);
    permissions_requested_ = false;
    ReplacePermissions(text);
  } catch (const std::runtime_error& error) {
    problem = error.what();
  }
  if (!problem.empty() && problem != last_permissions_error_) {
    log::Error("{}; keeping the current permissions", problem);
  }
  last_permissions_error_ = problem;
}

void IdentityFiles::ReplacePermissions(std::string_view text) {
  identity::PermissionTable table = ParsePermissions(net::json::FindMember(text, wire::kIdentityMember));
  std::string keys_file = ResolvePath(operator_file_, table.keys_file);
  auto changes = authenticator_.ReplacePermissions(std::move(table));
  if (!changes) throw config::ConfigError(changes.error().Message());
  keys_file_ = std::move(keys_file);
  LogChanges(*changes);
}

}  // namespace liftrudder::app
