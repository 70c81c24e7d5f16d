// log::LineWriter: lines to readers that do not keep up.
#include "log/line_writer.h"

#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "net/socket.h"

using namespace liftrudder;

namespace {

struct Channel {
  net::Fd reader;
  net::Fd writer;
};

Channel OpenPipe() {
  std::array<int, 2> fds{};
  REQUIRE(::pipe(fds.data()) == 0);
  return {net::Fd(fds[0]), net::Fd(fds[1])};
}

Channel OpenSocketPair() {
  std::array<int, 2> fds{};
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, fds.data()) == 0);
  return {net::Fd(fds[0]), net::Fd(fds[1])};
}

std::string ReadAvailable(const net::Fd& fd) {
  ::fcntl(fd.Get(), F_SETFL, O_NONBLOCK);
  std::string text;
  std::array<char, 4096> buffer{};
  for (ssize_t size = 0; (size = ::read(fd.Get(), buffer.data(), buffer.size())) > 0;) {
    text.append(buffer.data(), static_cast<std::size_t>(size));
  }
  return text;
}

// Checks that each line is whole: a time, a level, and one of the texts that were written.
void CheckLinesAreWhole(const std::string& text, const std::string& written) {
  REQUIRE((text.empty() || text.back() == '\n'));
  for (std::size_t start = 0; start < text.size();) {
    const std::size_t end = text.find('\n', start);
    const std::string line = text.substr(start, end - start);
    const std::string content = line.substr(line.find(' ') + 1);
    CHECK((content == "info " + written || content.starts_with("error ")));
    start = end + 1;
  }
}

// More than fits into a pipe or a socket.
constexpr int kManyLines = 20'000;

void CheckNeverWaits(const Channel& channel, log::LineWriter& writer) {
  const std::string long_text(100, 'x');
  for (int i = 0; i < kManyLines; ++i) writer.Write("info", long_text);
  std::string text = ReadAvailable(channel.reader);
  writer.Write("info", long_text);
  text += ReadAvailable(channel.reader);
  CheckLinesAreWhole(text, long_text);
  const std::string notice = " log lines before this one are lost";
  const std::size_t at = text.find(notice);
  REQUIRE(at != std::string::npos);
  const std::size_t number_start = text.rfind(' ', at - 1) + 1;
  const auto lost = std::stoll(text.substr(number_start, at - number_start));
  const auto lines = std::count(text.begin(), text.end(), '\n');
  CHECK(lines - 1 + lost == kManyLines + 1);
  CHECK(text.find(notice, at + 1) == std::string::npos);
}

}  // namespace

TEST_CASE("a line never waits for the reader of a pipe, and the lines that do not fit are counted") {
  const Channel channel = OpenPipe();
  log::LineWriter writer(channel.writer.Get());
  CheckNeverWaits(channel, writer);
  // Other processes may write to the same pipe and rely on its flags.
  CHECK((::fcntl(channel.writer.Get(), F_GETFL) & O_NONBLOCK) == 0);
}

TEST_CASE(
    "a line never waits for the reader of a pipe when the writer could open no description of its own") {
  const Channel channel = OpenPipe();
  rlimit limit{};
  ::getrlimit(RLIMIT_NOFILE, &limit);
  const rlimit none{0, limit.rlim_max};
  ::setrlimit(RLIMIT_NOFILE, &none);
  log::LineWriter writer(channel.writer.Get());
  ::setrlimit(RLIMIT_NOFILE, &limit);
  CheckNeverWaits(channel, writer);
}

TEST_CASE("a line never waits for the reader of a socket, and the lines that do not fit are counted") {
  const Channel channel = OpenSocketPair();
  log::LineWriter writer(channel.writer.Get());
  CheckNeverWaits(channel, writer);
}

TEST_CASE("a line that fits in part is completed before the next one") {
  const Channel channel = OpenPipe();
  log::LineWriter writer(channel.writer.Get());
  const std::string longer_than_the_pipe(std::size_t{1} << 17, 'y');
  writer.Write("info", longer_than_the_pipe);
  std::string text = ReadAvailable(channel.reader);
  while (text.size() < longer_than_the_pipe.size()) {
    writer.Write("info", "next");
    const std::string more = ReadAvailable(channel.reader);
    REQUIRE_FALSE(more.empty());
    text += more;
  }
  writer.Write("info", "next");
  text += ReadAvailable(channel.reader);
  const std::size_t end = text.find('\n');
  CHECK(text.substr(text.find(' ') + 1, end - text.find(' ') - 1) == "info " + longer_than_the_pipe);
  CHECK(text.ends_with("info next\n"));
}
