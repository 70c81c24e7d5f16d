// The files that identify clients and their permissions: the operator's file with the permission table, and
// the key set that it names, which is polled for changes. Both are read again on reload. A file that is
// unreadable or invalid changes nothing; while it stays so for the same reason, the error is logged once. A
// file that could not be read is tried again at each poll. One thread at a time, except for the
// authenticator.
#ifndef LIFTRUDDER_APP_IDENTITY_FILES_H_
#define LIFTRUDDER_APP_IDENTITY_FILES_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "app/watched_files.h"
#include "identity/authenticator.h"

namespace liftrudder::app {

class IdentityFiles {
 public:
  // Null when the operator's file, whose content is `text`, has no identity member; all clients are admitted
  // then. Throws config::ConfigError when the member is invalid or the keys cannot be read, since a
  // coordinator without keys would reject every client.
  static std::unique_ptr<IdentityFiles> Open(const std::string& operator_file, std::string_view text);

  identity::Authenticator& authenticator() { return authenticator_; }
  // Reads the key set again if its file has changed, and whatever could not be read before.
  void Poll();
  // Reads both files again, changed or not.
  void Reload();

 private:
  IdentityFiles(std::string operator_file, identity::PermissionTable permission_table);
  void ReadKeys();
  void ReadPermissions();
  void ReplacePermissions(std::string_view text);  // throws config::ConfigError

  const std::string operator_file_;
  std::string keys_file_;
  identity::Authenticator authenticator_;
  std::optional<FileStamp> last_stamp_;  // of keys_file_ when it was last read; none if that failed
  bool permissions_requested_ = false;   // by a reload that could not read the operator's file yet
  std::string last_error_;               // from reading the keys, already logged; empty on success
  std::string last_permissions_error_;   // the same for the permissions
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_IDENTITY_FILES_H_
