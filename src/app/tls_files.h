// The files of TLS that an operator's file names: read at the start, watched, read again when told to. Files
// that cannot be read or do not fit change nothing, and that is said once. One thread but for source().
#ifndef LIFTRUDDER_APP_TLS_FILES_H_
#define LIFTRUDDER_APP_TLS_FILES_H_

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "app/files.h"
#include "net/tls.h"

namespace liftrudder::app {

class TlsFiles {
 public:
  // Null where the operator's file has no member "tls". Throws std::runtime_error saying what is wrong.
  static std::unique_ptr<TlsFiles> Open(const std::string& operator_file, std::string_view text,
                                        const coordinator::Clock& clock);

  const net::TlsSource& source() const { return source_; }
  void Look();
  void Reload();

 private:
  struct Names {
    std::vector<std::pair<std::string, std::string>> pairs;  // certificate, key
    std::string issuers, revoked;
    bool required = false;
  };

  TlsFiles(std::string operator_file, const coordinator::Clock& clock)
      : operator_file_(std::move(operator_file)), clock_(clock) {}
  Names ReadNames(std::string_view text) const;
  std::vector<std::pair<std::string, FileStamp>> Stamps() const;
  void Take();  // throws

  const std::string operator_file_;
  const coordinator::Clock& clock_;
  Names names_;
  std::vector<std::pair<std::string, FileStamp>> seen_;
  net::TlsSource source_;
  std::string said_;  // of the last attempt that failed
};

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_TLS_FILES_H_
