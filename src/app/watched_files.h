// Resolves paths in the operator's file, and detects changes of files without reading them. Functions without
// state; any thread.
#ifndef LIFTRUDDER_APP_WATCHED_FILES_H_
#define LIFTRUDDER_APP_WATCHED_FILES_H_

#include <cstdint>
#include <string>

namespace liftrudder::app {

// How often watched files are checked. Changes must take effect within a second, reading the file included.
constexpr std::int64_t kPollIntervalUs = 250'000;

// Resolves `path` against the directory of the operator's file, whatever the working directory is.
std::string ResolvePath(const std::string& operator_file, const std::string& path);

// Distinguishes two versions of a file. Versions of the same size, written within one tick of the file
// system's clock, still differ by inode, since files are to be replaced by renaming.
struct FileStamp {
  std::int64_t modified_ns = 0;
  std::int64_t size_bytes = -1;  // -1: there is no such file
  std::uint64_t inode = 0;
  bool operator==(const FileStamp&) const = default;
};
FileStamp ReadFileStamp(const std::string& path);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_WATCHED_FILES_H_
