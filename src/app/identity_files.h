// The files that say who callers are: watched, and read again when told to. A file that cannot be read or is
// wrong changes nothing, and that is said once. One thread.
#ifndef LIFTRUDDER_APP_IDENTITY_FILES_H_
#define LIFTRUDDER_APP_IDENTITY_FILES_H_

#include <memory>
#include <optional>
#include <string>

#include "identity/callers.h"

namespace liftrudder::app {

class IdentityFiles {
 public:
  // `operator_file` has the book in its "identity" member; without one there is nothing, and all may ask.
  // Throws std::runtime_error where it is wrong, or the keys cannot be read: a program that starts without
  // keys turns everybody away.
  static std::unique_ptr<IdentityFiles> Open(const std::string& operator_file, std::string_view text);

  identity::Callers& callers() { return callers_; }
  // Looks whether the key file has changed; to be called at least every kLookUs, so that a withdrawal counts
  // within a second of its file.
  void Look();
  // Reads both files again, whether they look changed or not.
  void Reload();

  static constexpr std::int64_t kLookUs = 250'000;

 private:
  IdentityFiles(std::string operator_file, identity::Book book);
  void TakeKeys();

  // What tells one state of a file from another without reading it; two of the same size within a time
  // stamp's grain differ by their inode, since files are to be put in place by renaming.
  struct Stamp {
    std::int64_t changed_ns = 0, size = -1;
    std::uint64_t inode = 0;
    bool operator==(const Stamp&) const = default;
  };
  Stamp StampOf(const std::string& path) const;

  const std::string operator_file_;
  std::string keys_file_;
  identity::Callers callers_;
  Stamp seen_;
  std::string said_;  // of the last attempt that failed
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_IDENTITY_FILES_H_
