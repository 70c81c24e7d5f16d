#include "app/files.h"

#include <sys/stat.h>

#include <filesystem>

namespace liftrudder::app {

std::string Beside(const std::string& operator_file, const std::string& path) {
  return (std::filesystem::path(operator_file).parent_path() / path).string();
}

FileStamp StampOf(const std::string& path) {
  struct stat at {};
  if (::stat(path.c_str(), &at) != 0) return {};
  return {at.st_mtim.tv_sec * 1'000'000'000 + at.st_mtim.tv_nsec, at.st_size, at.st_ino};
}

}  // namespace liftrudder::app
