// The files that say who clients are and what they may do: the operator's file with the permission table, and
// the key set that it names. Polled for changes, and read again on reload. A file that cannot be read or is
// wrong changes nothing, and each new reason is logged once. Main thread, but for the authenticator.
#ifndef LIFTRUDDER_APP_IDENTITY_FILES_H_
#define LIFTRUDDER_APP_IDENTITY_FILES_H_

#include <memory>
#include <string>
#include <string_view>

#include "app/watched_files.h"
#include "identity/authenticator.h"

namespace liftrudder::app {

class IdentityFiles {
 public:
  // Null where the operator's file, whose content is `text`, has no identity member: all clients are admitted
  // then. Throws config::ConfigError where it is wrong or the keys cannot be read, since a program that
  // starts without keys would reject everybody.
  static std::unique_ptr<IdentityFiles> Open(const std::string& operator_file, std::string_view text);

  identity::Authenticator& authenticator() { return authenticator_; }
  // Reads the key set again if its file has changed. To be called at least every kPollIntervalUs
  // (watched_files.h), so that a withdrawn key is refused within a second.
  void Poll();
  // Reads both files again, changed or not.
  void Reload();

 private:
  IdentityFiles(std::string operator_file, identity::PermissionTable permission_table);
  void ReadKeys();
  void ReadPermissions();  // throws config::ConfigError

  const std::string operator_file_;
  std::string keys_file_;
  identity::Authenticator authenticator_;
  FileStamp last_stamp_;    // of keys_file_
  std::string last_error_;  // of reading the keys, logged already; empty: they were read
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_IDENTITY_FILES_H_
