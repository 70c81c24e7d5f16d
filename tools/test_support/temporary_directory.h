// A new directory in the system's temporary directory, removed with its contents by the destructor.
#ifndef LIFTRUDDER_TOOLS_TEST_SUPPORT_TEMPORARY_DIRECTORY_H_
#define LIFTRUDDER_TOOLS_TEST_SUPPORT_TEMPORARY_DIRECTORY_H_

#include <filesystem>
#include <random>
#include <string>

namespace liftrudder::test_support {

class TemporaryDirectory {
 public:
  TemporaryDirectory() {
    std::random_device random;
    do {
      path_ = (std::filesystem::temp_directory_path() / ("liftrudder-" + std::to_string(random()))).string();
    } while (!std::filesystem::create_directory(path_));
  }
  ~TemporaryDirectory() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace liftrudder::test_support

#endif  // LIFTRUDDER_TOOLS_TEST_SUPPORT_TEMPORARY_DIRECTORY_H_
