// Files that lie beside the operator's file, and how a change of one is noticed without reading it. No state,
// no threads of its own.
#ifndef LIFTRUDDER_APP_WATCHED_FILES_H_
#define LIFTRUDDER_APP_WATCHED_FILES_H_

#include <cstdint>
#include <string>

namespace liftrudder::app {

// How often watched files are polled. A change takes effect within a second, with time left to read the file.
constexpr std::int64_t kPollIntervalUs = 250'000;

// `path` resolved against the operator file's folder, wherever the program was started.
std::string Beside(const std::string& operator_file, const std::string& path);

// Tells two versions of a file apart. Two of the same size within one tick of the file system's clock still
// differ by their inode, since files are to be put in place by renaming.
struct FileStamp {
  std::int64_t modified_ns = 0;
  std::int64_t size_bytes = -1;  // -1: there is no such file
  std::uint64_t inode = 0;
  bool operator==(const FileStamp&) const = default;
};
FileStamp StampOf(const std::string& path);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_WATCHED_FILES_H_
