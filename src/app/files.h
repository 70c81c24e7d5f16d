// Files beside the operator's, watched by their stamps.
#ifndef LIFTRUDDER_APP_FILES_H_
#define LIFTRUDDER_APP_FILES_H_

#include <cstdint>
#include <string>

namespace liftrudder::app {

// How often watched files are looked at: a change counts within a second of its file, with room to read it.
constexpr std::int64_t kLookUs = 250'000;

// Relative to the operator's file, wherever the program was started.
std::string Beside(const std::string& operator_file, const std::string& path);

// What tells one state of a file from another without reading it; two of the same size within a time stamp's
// grain differ by their inode, since files are to be put in place by renaming.
struct FileStamp {
  std::int64_t changed_ns = 0, size = -1;
  std::uint64_t inode = 0;
  bool operator==(const FileStamp&) const = default;
};
FileStamp StampOf(const std::string& path);

}  // namespace liftrudder::app

#endif  // LIFTRUDDER_APP_FILES_H_
