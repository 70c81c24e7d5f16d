// The TLS files that the operator's file names: read at start-up, polled for changes, read again on reload.
// Files that are unreadable or invalid change nothing; while they remain unusable for the same reason, the
// error is logged once. A file that could not be read is tried again at each poll. One thread at a time,
// except for reloadable_context(), which is for any thread.
#ifndef LIFTRUDDER_APP_TLS_FILES_H_
#define LIFTRUDDER_APP_TLS_FILES_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "app/watched_files.h"
#include "net/tls.h"

namespace liftrudder::app {

class TlsFiles {
 public:
  // Null when the operator's file, whose content is `text`, has no TLS member. Throws config::ConfigError for
  // invalid files. `clock` outlives the object.
  static std::unique_ptr<TlsFiles> Open(const std::string& operator_file, std::string_view text,
                                        const coordinator::Clock& clock);

  const net::ReloadableTlsContext& reloadable_context() const { return reloadable_context_; }
  // Reads the files again if one of them has changed, and whatever could not be read before.
  void Poll();
  // Reads the operator's file again, then the files that it names.
  void Reload();

 private:
  struct KeyPairPaths {
    std::string certificate;
    std::string key;
  };
  struct Paths {
    std::vector<KeyPairPaths> key_pairs;
    std::string client_issuers;  // empty: clients are not asked for certificates
    std::string revocations;     // empty: no revocation list
    bool client_certificate_required = false;
  };
  struct PathStamp {
    std::string path;
    FileStamp stamp;
    bool operator==(const PathStamp&) const = default;
  };

  TlsFiles(std::string operator_file, const coordinator::Clock& clock)
      : operator_file_(std::move(operator_file)), clock_(clock) {}
  // These throw config::ConfigError.
  Paths ReadPaths(std::string_view tls_member) const;
  void ReadMaterial();

  void ReadPathsAgain();
  // Logs a problem unless it is `last`, which it replaces.
  static void LogOnce(const std::string& problem, const char* consequence, std::string& last);
  std::vector<PathStamp> Stamps() const;

  const std::string operator_file_;
  const coordinator::Clock& clock_;
  Paths paths_;
  std::optional<std::vector<PathStamp>> last_stamps_;  // when the files were last read; none if that failed
  bool paths_requested_ = false;  // by a reload that could not read the operator's file yet
  net::ReloadableTlsContext reloadable_context_;
  std::string last_error_;        // already logged; empty on success
  std::string last_paths_error_;  // the same for the operator's file
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_TLS_FILES_H_
