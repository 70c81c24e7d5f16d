// The files that say who callers are: watched, and read again when told to. A file that cannot be read or is
// wrong changes nothing, and that is said once. One thread.
#ifndef LIFTRUDDER_APP_IDENTITY_FILES_H_
#define LIFTRUDDER_APP_IDENTITY_FILES_H_

#include <memory>
#include <optional>
#include <string>

#include "app/files.h"
#include "identity/authenticator.h"

namespace liftrudder::app {

class IdentityFiles {
 public:
  // `operator_file` has the book in its "identity" member; without one there is nothing, and all may ask.
  // Throws std::runtime_error where it is wrong, or the keys cannot be read: a program that starts without
  // keys turns everybody away.
  static std::unique_ptr<IdentityFiles> Open(const std::string& operator_file, std::string_view text);

  identity::Authenticator& authenticator() { return authenticator_; }
  // Looks whether the key file has changed; to be called at least every kLookUs (files.h), so that a
  // withdrawal counts within a second of its file.
  void Look();
  // Reads both files again, whether they look changed or not.
  void Reload();

 private:
  IdentityFiles(std::string operator_file, identity::PermissionTable permission_table);
  void TakeKeys();

  const std::string operator_file_;
  std::string keys_file_;
  identity::Authenticator authenticator_;
  FileStamp seen_;
  std::string said_;  // of the last attempt that failed
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_IDENTITY_FILES_H_
