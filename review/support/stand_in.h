// Helpers shared by the cases of this review: a record of what happened, loopback sockets, the program under
// test as a child process, a minimal HTTP/1.1 peer and a stand-in for discovery. Independent of the project's
// own sources.
#ifndef LIFTRUDDER_REVIEW_SUPPORT_STAND_IN_H_
#define LIFTRUDDER_REVIEW_SUPPORT_STAND_IN_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// ---- Time and the record ----

// Milliseconds on the monotonic clock.
inline std::int64_t NowMs() {
  auto now = std::chrono::steady_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

inline void SleepMs(std::int64_t span_ms) {
  if (span_ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(span_ms));
}

inline void SleepUntilMs(std::int64_t at_ms) { SleepMs(at_ms - NowMs()); }

// The file record.txt: one line for each event, with the milliseconds since the start. Thread-safe.
class Record {
 public:
  static Record& Instance() {
    static Record record;
    return record;
  }

  void Open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
    start_ms_ = NowMs();
    if (file_ == nullptr) std::exit(kCannotRun);
  }

  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%6lld ms  ", static_cast<long long>(NowMs() - start_ms_));
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  std::int64_t start_ms_ = 0;
};

#define RECORD(...) ::review::Record::Instance().Line(__VA_ARGS__)

// False when the case has to run without its disruption.
inline bool TroubleWanted() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// Ends the whole program, including its detached threads, without running destructors that would wait.
[[noreturn]] inline void Finish(int code, const char* verdict) {
  RECORD("%s", verdict);
  std::printf("%s\n", verdict);
  std::fflush(stdout);
  std::_Exit(code);
}

// ---- Sockets ----

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Listens on a free loopback port.
inline int Listen(int backlog = 128) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, backlog) != 0) {
    Finish(kCannotRun, "cannot listen on a loopback port");
  }
  return fd;
}

inline int PortOf(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline std::string AddressOf(int fd) { return "127.0.0.1:" + std::to_string(PortOf(fd)); }

// Returns -1 when the connection is refused.
inline int Connect(int port) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(port);
  int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) return fd;
  ::close(fd);
  return -1;
}

inline bool WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Appends what arrives within `wait_ms`. Returns false when the connection has ended or nothing arrived.
inline bool ReadSome(int fd, std::string& in, std::int64_t wait_ms) {
  pollfd polled{fd, POLLIN, 0};
  if (::poll(&polled, 1, static_cast<int>(std::max<std::int64_t>(0, wait_ms))) <= 0) return false;
  char buffer[16384];
  ssize_t got = ::recv(fd, buffer, sizeof buffer, 0);
  if (got <= 0) return false;
  in.append(buffer, static_cast<std::size_t>(got));
  return true;
}

// ---- HTTP ----

struct HttpMessage {
  std::string start_line;
  std::string head;  // including the start line
  std::string body;
  int status = 0;  // of a response
};

// Removes one message with a Content-Length (or without a body) from the front of `in`.
inline std::optional<HttpMessage> TakeHttp(std::string& in) {
  std::size_t head_end = in.find("\r\n\r\n");
  if (head_end == std::string::npos) return std::nullopt;
  HttpMessage message;
  message.head = in.substr(0, head_end + 2);
  message.start_line = message.head.substr(0, message.head.find("\r\n"));
  std::size_t length = 0;
  for (const char* name : {"Content-Length: ", "content-length: "}) {
    std::size_t at = message.head.find(name);
    if (at != std::string::npos)
      length = std::strtoul(message.head.c_str() + at + std::strlen(name), nullptr, 10);
  }
  if (in.size() < head_end + 4 + length) return std::nullopt;
  message.body = in.substr(head_end + 4, length);
  in.erase(0, head_end + 4 + length);
  if (message.start_line.starts_with("HTTP/1.1 ")) message.status = std::atoi(message.start_line.c_str() + 9);
  return message;
}

// A client's connection. Not thread-safe.
class HttpClient {
 public:
  explicit HttpClient(int port) : port_(port) {}
  ~HttpClient() { Close(); }
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  bool Open() {
    if (fd_ < 0) fd_ = Connect(port_);
    return fd_ >= 0;
  }
  bool Send(std::string_view bytes) { return Open() && WriteAll(fd_, bytes); }
  // The next response; status 0 when none arrives completely within `wait_ms`.
  HttpMessage Receive(std::int64_t wait_ms) {
    std::int64_t until_ms = NowMs() + wait_ms;
    while (true) {
      if (auto message = TakeHttp(in_)) {
        if (message->head.find("Connection: close") != std::string::npos) Close();
        return *message;
      }
      if (fd_ < 0 || !ReadSome(fd_, in_, until_ms - NowMs())) break;
    }
    Close();
    return {};
  }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
    in_.clear();
  }

 private:
  int port_;
  int fd_ = -1;
  std::string in_;
};

// Accepts connections on `listener` and runs `serve` on a detached thread for each.
inline void ServeConnections(int listener, std::function<void(int)> serve) {
  std::thread([listener, serve = std::move(serve)] {
    while (true) {
      int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) return;
      int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([fd, serve] {
        serve(fd);
        ::close(fd);
      }).detach();
    }
  }).detach();
}

// ---- Discovery ----

struct ListedServer {
  std::string id;
  std::string address;
  int cell = 0;
};

// Serves the whole list and watches on it as the protocol page says; the list never changes.
class Discovery {
 public:
  explicit Discovery(const std::vector<ListedServer>& servers) : listener_(Listen()) {
    std::string entries;
    for (const ListedServer& server : servers) {
      if (!entries.empty()) entries += ",";
      entries += R"({"id":")" + server.id + R"(","addr":")" + server.address +
                 R"(","zone":"akl-dc1","kind":"std-2c","cell":)" + std::to_string(server.cell) +
                 R"(,"state":"ready","weight":1.0,"started_ms":0})";
    }
    list_ = R"({"version":1,"full":true,"servers":[)" + entries + "]}";
    ServeConnections(listener_, [this](int fd) { Serve(fd); });
  }

  std::string address() const { return AddressOf(listener_); }
  const std::string& list() const { return list_; }

 private:
  static std::string Chunk(const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
  }

  void Serve(int fd) const {
    std::string in;
    std::optional<HttpMessage> request;
    while (!(request = TakeHttp(in))) {
      if (!ReadSome(fd, in, 10'000)) return;
    }
    if (request->start_line.find("watch=1") == std::string::npos) {
      WriteAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list_.size()) + "\r\n\r\n" + list_);
      return;
    }
    if (!WriteAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(list_ + "\n"))) return;
    while (WriteAll(fd, Chunk("\n"))) SleepMs(2000);
  }

  int listener_;
  std::string list_;
};

// ---- The program under test ----

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

inline void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary);
  file << text;
  file.close();
  if (!file) Finish(kCannotRun, "cannot write a file in the temporary folder");
}

inline std::string RequiredEnvironment(const char* name) {
  const char* value = std::getenv(name);
  if (value == nullptr) Finish(kCannotRun, "an environment variable of run.sh is missing");
  return value;
}

// The temporary folder that run.sh made.
inline std::string TemporaryFolder() { return RequiredEnvironment("REVIEW_TMP"); }

// The coordinator, started with the `run` command of the deploy file. Killed when this process ends.
class Coordinator {
 public:
  // `arguments` follow the command; `config` is the path of its configuration file.
  Coordinator(const std::string& config, const std::string& arguments) {
    static int starts = 0;
    log_ = TemporaryFolder() + "/coordinator-" + std::to_string(++starts) + ".log";
    std::string command = RequiredEnvironment("REVIEW_RUN") + arguments;
    pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0) Finish(kCannotRun, "cannot start the program");
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (::getppid() != parent) ::_exit(127);
      int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      ::dup2(log, STDOUT_FILENO);
      ::dup2(log, STDERR_FILENO);
      ::setenv("BALANCER_CONFIG", config.c_str(), 1);
      ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
      ::_exit(127);
    }
    RECORD("started the program with the deploy file's command%s",
           arguments.empty() ? "" : " and --opensearch with its configuration file");
    AwaitListener();
  }

  int port() const { return port_; }
  pid_t pid() const { return pid_; }
  std::string log() const { return ReadFile(log_); }
  void Signal(int signal, const char* name) const {
    RECORD("sent %s to the program", name);
    ::kill(pid_, signal);
  }
  // Returns the wait status when the program has ended within `wait_ms`.
  std::optional<int> AwaitEnd(std::int64_t wait_ms) const {
    std::int64_t until_ms = NowMs() + wait_ms;
    do {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) return status;
      SleepMs(10);
    } while (NowMs() < until_ms);
    return std::nullopt;
  }
  void Kill() const {
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
  }
  // Waits until GET /-/ready answers 200.
  void AwaitReady() const {
    for (std::int64_t until_ms = NowMs() + 20'000; NowMs() < until_ms; SleepMs(20)) {
      HttpClient client(port_);
      client.Send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
      if (client.Receive(1000).status == 200) return;
    }
    Finish(kCannotRun, "the program is not ready after 20 s");
  }

 private:
  void AwaitListener() {
    const std::string mark = "listens on 127.0.0.1:";
    for (std::int64_t until_ms = NowMs() + 20'000; NowMs() < until_ms; SleepMs(10)) {
      std::string text = log();
      std::size_t at = text.find(mark);
      if (at == std::string::npos || text.find('\n', at) == std::string::npos) continue;
      port_ = std::atoi(text.c_str() + at + mark.size());
      return;
    }
    std::fputs(log().c_str(), stderr);
    Finish(kCannotRun, "the program does not listen after 20 s");
  }

  std::string log_;
  pid_t pid_ = -1;
  int port_ = 0;
};

// ---- Settings of a small deployment ----

struct DeploymentSettings {
  std::string opensearch;  // the member "opensearch" with its comma, or empty
  std::string identity;    // the member "identity" with its comma, or empty
  std::string discovery;   // address
  std::string known = R"({"version":0,"full":true,"servers":[]})";
  std::int64_t repeat_window_us = 5'000'000;  // of book-lesson
  int cells = 3;
  int slices = 3;
};

// The settings of the project's deploy/opensearch.json with fewer cells and slices.
inline std::string ConfigText(const DeploymentSettings& settings) {
  std::string grades =
      R"([{"aimUs":2000000,"dedupScope":"all","effect":"idempotent","giveUpUs":4000000,"lateShare":0.3,)"
      R"("name":"teacher-search","repeatWindowUs":5000000,"stream":false,"value":5.0},)"
      R"({"aimUs":3000000,"dedupScope":"all","effect":"idempotent","giveUpUs":10000000,"lateShare":0.1,)"
      R"("name":"term-report","repeatWindowUs":5000000,"stream":false,"value":3.0},)"
      R"({"aimUs":2000000,"dedupScope":"all","effect":"deduplicated","giveUpUs":5000000,"lateShare":0.0,)"
      R"("name":"book-lesson","repeatWindowUs":)" +
      std::to_string(settings.repeat_window_us) + R"(,"stream":false,"value":1.0}])";
  return R"({"name":"n1","listen":"127.0.0.1:0","discovery":")" + settings.discovery +
         R"(","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},)" +
         settings.opensearch + settings.identity + R"("known":)" + settings.known +
         R"(,"settings":{"az":0,"bounds":{"attemptsCap":3,"cancelling":true,"connectTimeoutUs":250000,)"
         R"("cpuUsPerRequest":0.0,"cpuUsPerS":581105,"idleCloseUs":30000000,"maxOpen":177,)"
         R"("maxRetryAfterUs":500000,"mayTell":false,"probes":true,"retryAfter":true,"secondCopies":true,)"
         R"("streamsPerConn":100},"clientHabits":{"marksRetry":false},"dcs":["akl-dc1"],"family":"fanout",)"
         R"("familyInfo":{"cells":)" +
         std::to_string(settings.cells) +
         R"(,"classFetch":[0,0,0],"classFloor":[0.4,1.0,1.0],"incompleteWorth":[0.95,0.9,0.9],"perCall":1,)"
         R"("perCallWorkUs":0,"reach":3,"slices":)" +
         std::to_string(settings.slices) +
         R"(,"warmKeys":false,"wholeAt":[1.0,1.0,1.0]},"goal":{"whole":0.5,"worstClass":0.2,)"
         R"("worstTenant":0.0,"worstWindow":0.3},"grades":)" +
         grades +
         R"(,"groupSize":2,"kinds":["std-2c","slow-2c"],"layer":0,)"
         R"("loadInfo":{"how":"inline","names":["q","rif"]},"ordinal":0,"overShareWorth":0.1,)"
         R"("prices":{},"projects":[],"registryMode":"automatic","resolutionUs":5000,)"
         R"("rules":{"askWithinUs":10000000,"coldUs":18000000,"fallMultiple":4.0,"fallUs":2000000,)"
         R"("graceToAnswerUs":20000,"startCapacity":0.19,"stopSendingWithinUs":1000000},)"
         R"("stages":["lesson-query"],"weightKind":"nominal","worthBy":"work"}})";
}

}  // namespace review

#endif  // LIFTRUDDER_REVIEW_SUPPORT_STAND_IN_H_
