// The running program while the reader of its log does not read, or is gone: callers are served and rejected,
// changed keys take effect, and the program ends on SIGTERM.
#define CATCH_CONFIG_MAIN
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "support/search_configuration.h"
#include "support/token_signer.h"
#include "test_support/coordinator_process.h"
#include "test_support/temporary_directory.h"

using namespace liftrudder;
using tests::Json;

namespace {

constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kMaxAttempts = 200;

// The program with its log in a pipe.
class Program {
 public:
  Program() : keys_{tests::Signer(false), tests::Signer(true)} {
    REQUIRE(::pipe2(log_pipe_.data(), O_CLOEXEC) == 0);
    WriteKeys({"active", "active"});
  }
  ~Program() {
    process_.reset();
    CloseLogReader();
    ::close(log_pipe_[1]);
  }
  Program(const Program&) = delete;

  void Start() {
    Json configuration = tests::SearchConfiguration("127.0.0.1:1");
    configuration["identity"]["tenants"]["north"]["pages"] = true;
    process_.emplace(LIFTRUDDER_PROGRAM, directory_.path(), configuration.dump(),
                     std::vector<std::string>{"--opensearch", "$CONFIG"}, -1, log_pipe_[1]);
    const std::string mark = " listens on ";
    std::string log_text;
    std::array<char, 4096> buffer{};
    while (log_text.find(mark) == std::string::npos || log_text.back() != '\n') {
      const ssize_t size = ::read(log_pipe_[0], buffer.data(), buffer.size());
      REQUIRE(size > 0);
      log_text.append(buffer.data(), static_cast<std::size_t>(size));
    }
    const std::size_t start = log_text.find(mark) + mark.size();
    address_ = log_text.substr(start, log_text.find('\n', start) - start);
  }
  // The program shares the pipe's flags, so they are put back.
  void FillLog() const {
    const int flags = ::fcntl(log_pipe_[1], F_GETFL);
    ::fcntl(log_pipe_[1], F_SETFL, flags | O_NONBLOCK);
    const std::string filler(4096, 'x');
    while (::write(log_pipe_[1], filler.data(), filler.size()) > 0) {
    }
    ::fcntl(log_pipe_[1], F_SETFL, flags);
  }
  void CloseLogReader() {
    if (log_pipe_[0] >= 0) ::close(log_pipe_[0]);
    log_pipe_[0] = -1;
  }
  void WriteKeys(const std::array<const char*, 2>& states) const {
    Json keys = Json::array();
    for (std::size_t i = 0; i < keys_.size(); ++i) {
      keys.push_back(keys_[i].Jwk(fmt::format("k{}", i)));
      keys.back()["state"] = states[i];
    }
    std::ofstream(directory_.path() + "/keys.new") << Json{{"keys", keys}};
    std::filesystem::rename(directory_.path() + "/keys.new", directory_.path() + "/keys.json");
  }
  // The status of a request with a token of that key.
  int Request(std::size_t key) const {
    const std::string token = keys_[key].Token(fmt::format("k{}", key), tests::Claims(600));
    return test_support::Fetch(address_,
                               fmt::format("GET /-/metrics HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer "
                                           "{}\r\n\r\n",
                                           token))
        .status;
  }
  // Whether requests with that key's tokens get this status in the end.
  bool BecomesStatus(std::size_t key, int status) const {
    for (int i = 0; i < kMaxAttempts; ++i) {
      const int received = Request(key);
      if (received == status) return true;
      if (received == 0) return false;
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }
  test_support::CoordinatorProcess& process() { return *process_; }

 private:
  test_support::TemporaryDirectory directory_;
  std::array<tests::Signer, 2> keys_;
  std::array<int, 2> log_pipe_{-1, -1};
  std::string address_;
  std::optional<test_support::CoordinatorProcess> process_;
};

// More than the rate at which rejections are logged, so that the callers' threads log too.
constexpr int kRejectedRequests = 30;

}  // namespace

// Guards against a full log pipe that holds back callers, changes of keys and the shutdown.
TEST_CASE("while nobody reads the log, callers are answered, keys change, and SIGTERM ends the program") {
  Program program;
  program.Start();
  program.FillLog();
  REQUIRE(program.Request(0) == kOk);
  program.process().Signal(SIGUSR1);
  program.WriteKeys({"withdrawn", "active"});
  REQUIRE(program.BecomesStatus(0, kUnauthorized));
  for (int i = 0; i < kRejectedRequests; ++i) REQUIRE(program.Request(0) == kUnauthorized);
  program.WriteKeys({"active", "withdrawn"});
  REQUIRE(program.BecomesStatus(1, kUnauthorized));
  CHECK(program.Request(0) == kOk);
  CHECK(program.process().Stop() >= 0);
}

// Guards against a log whose reader is gone and that ends the program by SIGPIPE, at whatever line comes
// next.
TEST_CASE(
    "when the reader of the log is gone, callers are answered, keys change, and SIGTERM ends the program") {
  Program program;
  program.Start();
  REQUIRE(program.Request(0) == kOk);
  program.CloseLogReader();
  program.process().Signal(SIGUSR1);
  program.WriteKeys({"withdrawn", "active"});
  REQUIRE(program.BecomesStatus(0, kUnauthorized));
  CHECK(program.Request(1) == kOk);
  CHECK(program.process().Stop() >= 0);
}
