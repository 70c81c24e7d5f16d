#include "app/watched_files.h"

#include <sys/stat.h>

#include <filesystem>

namespace liftrudder::app {
namespace {

constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

}  // namespace

std::string ResolvePath(const std::string& operator_file, const std::string& path) {
  return (std::filesystem::path(operator_file).parent_path() / path).string();
}

FileStamp ReadFileStamp(const std::string& path) {
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) return {};
  return {status.st_mtim.tv_sec * kNanosPerSecond + status.st_mtim.tv_nsec, status.st_size, status.st_ino};
}

}  // namespace liftrudder::app
