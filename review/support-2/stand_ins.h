// Stand-ins for the cases of the second review: clients, record holders, discovery, and the program's
// process. Everything listens on loopback addresses with ports that the kernel picks. Header only, so that
// each case is one program.
#ifndef LIFTRUDDER_REVIEW_SUPPORT_2_STAND_INS_H_
#define LIFTRUDDER_REVIEW_SUPPORT_2_STAND_INS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

// The case cannot run on this machine, or a stand-in failed. Says nothing about the program.
class CouldNotRun : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using SteadyTime = std::chrono::steady_clock::time_point;

inline SteadyTime Now() { return std::chrono::steady_clock::now(); }

inline void SleepSeconds(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline double SecondsSince(SteadyTime start) { return std::chrono::duration<double>(Now() - start).count(); }

// Writes record.txt: one line for each thing that was sent, answered or run, with the seconds since the
// start.
class Recorder {
 public:
  explicit Recorder(const std::string& path) : file_(std::fopen(path.c_str(), "w")), start_(Now()) {
    if (file_ == nullptr) throw CouldNotRun("cannot write " + path);
  }
  ~Recorder() { std::fclose(file_); }
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f ", Elapsed());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }
  double Elapsed() const { return SecondsSince(start_); }

 private:
  std::FILE* file_;
  SteadyTime start_;
  std::mutex mutex_;
};

// ---- Sockets ----

class Socket {
 public:
  explicit Socket(int fd = -1) : fd_(fd) {}
  ~Socket() { Close(); }
  Socket(Socket&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Socket& operator=(Socket&& other) noexcept {
    if (this != &other) {
      Close();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  bool Valid() const { return fd_ >= 0; }
  int Get() const { return fd_; }
  void Close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  int fd_;
};

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_port = htons(static_cast<std::uint16_t>(port));
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return at;
}

struct Listener {
  Socket socket;
  int port = 0;
};

inline Listener Listen(int port = 0) {
  Listener out;
  out.socket = Socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  int on = 1;
  ::setsockopt(out.socket.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = LoopbackAddress(port);
  if (::bind(out.socket.Get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 ||
      ::listen(out.socket.Get(), 256) != 0) {
    throw CouldNotRun("cannot listen on a loopback address");
  }
  socklen_t size = sizeof at;
  ::getsockname(out.socket.Get(), reinterpret_cast<sockaddr*>(&at), &size);
  out.port = ntohs(at.sin_port);
  return out;
}

// A port that is free now, for a program that must have the same address after a restart.
inline int FreePort() { return Listen().port; }

inline std::string AddressOf(int port) { return "127.0.0.1:" + std::to_string(port); }

// Returns an invalid socket when the connection is refused.
inline Socket ConnectTo(int port) {
  Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in at = LoopbackAddress(port);
  if (::connect(out.Get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) return Socket();
  int on = 1;
  ::setsockopt(out.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return out;
}

inline bool WriteAll(const Socket& socket, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t sent = ::send(socket.Get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

enum class ReadResult { kBytes, kEnd, kReset, kNothing };

// Waits up to `seconds` for bytes and appends them to `out`.
inline ReadResult ReadSome(const Socket& socket, std::string& out, double seconds) {
  pollfd polled{socket.Get(), POLLIN, 0};
  int ready = ::poll(&polled, 1, std::max(0, static_cast<int>(seconds * 1000)));
  if (ready <= 0) return ReadResult::kNothing;
  char buffer[16384];
  ssize_t got = ::recv(socket.Get(), buffer, sizeof buffer, 0);
  if (got > 0) {
    out.append(buffer, static_cast<std::size_t>(got));
    return ReadResult::kBytes;
  }
  return got == 0 ? ReadResult::kEnd : ReadResult::kReset;
}

// ---- Texts ----

// Replaces the only occurrence of `from`.
inline void Replace(std::string& text, const std::string& from, const std::string& to) {
  auto at = text.find(from);
  if (at == std::string::npos || text.find(from, at + 1) != std::string::npos) {
    throw CouldNotRun("the configuration does not have exactly one " + from);
  }
  text.replace(at, from.size(), to);
}

// Replaces the first occurrence of `from` behind `after`.
inline void ReplaceAfter(std::string& text, const std::string& after, const std::string& from,
                         const std::string& to) {
  auto begin = text.find(after);
  auto at = begin == std::string::npos ? begin : text.find(from, begin);
  if (at == std::string::npos) throw CouldNotRun("the configuration has no " + from + " behind " + after);
  text.replace(at, from.size(), to);
}

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw CouldNotRun("cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

inline void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  if (!file.flush()) throw CouldNotRun("cannot write " + path);
}

// The text between two marks; empty when either is missing.
inline std::string Between(const std::string& text, const std::string& begin, const std::string& end) {
  auto from = text.find(begin);
  if (from == std::string::npos) return {};
  from += begin.size();
  auto to = text.find(end, from);
  return to == std::string::npos ? std::string() : text.substr(from, to - from);
}

// ---- HTTP ----

struct HttpReply {
  int status = 0;  // 0: no whole answer
  std::string head;
  std::string body;
  std::string problem;  // why there is no whole answer

  // The value of a header, or an empty text.
  std::string Header(const std::string& name) const {
    std::string lower;
    for (char c : head) lower.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(c))));
    auto at = lower.find("\r\n" + name + ":");
    if (at == std::string::npos) return {};
    at += name.size() + 3;
    auto end = head.find("\r\n", at);
    std::string value = head.substr(at, end - at);
    value.erase(0, value.find_first_not_of(' '));
    return value;
  }
};

// Reads one answer with a Content-Length.
inline HttpReply ReadReply(const Socket& socket, double seconds) {
  HttpReply reply;
  std::string text;
  SteadyTime start = Now();
  while (true) {
    auto head_end = text.find("\r\n\r\n");
    if (head_end != std::string::npos) {
      reply.head = text.substr(0, head_end + 2);
      std::size_t length = std::strtoul(reply.Header("content-length").c_str(), nullptr, 10);
      if (text.size() >= head_end + 4 + length) {
        reply.body = text.substr(head_end + 4, length);
        reply.status = std::atoi(reply.head.c_str() + reply.head.find(' ') + 1);
        return reply;
      }
    }
    double left = seconds - SecondsSince(start);
    ReadResult got = left > 0 ? ReadSome(socket, text, left) : ReadResult::kNothing;
    if (got == ReadResult::kBytes) continue;
    if (got == ReadResult::kEnd) reply.problem = "the connection was closed";
    if (got == ReadResult::kReset) reply.problem = "the connection was reset";
    if (got == ReadResult::kNothing) reply.problem = "nothing came in time";
    return reply;
  }
}

struct HttpRequest {
  std::string method;
  std::string target;
  std::string head;
  std::string body;
};

// Reads one request with a Content-Length from `socket`; bytes behind it stay in `pending`.
inline std::optional<HttpRequest> ReadRequest(const Socket& socket, std::string& pending,
                                              const std::atomic<bool>& stopping) {
  while (!stopping) {
    auto head_end = pending.find("\r\n\r\n");
    if (head_end != std::string::npos) {
      HttpReply head_reader;  // for its look-up of headers
      head_reader.head = pending.substr(0, head_end + 2);
      std::size_t length = std::strtoul(head_reader.Header("content-length").c_str(), nullptr, 10);
      if (pending.size() >= head_end + 4 + length) {
        HttpRequest request;
        request.head = head_reader.head;
        auto first = request.head.find(' ');
        auto second = request.head.find(' ', first + 1);
        request.method = request.head.substr(0, first);
        request.target = request.head.substr(first + 1, second - first - 1);
        request.body = pending.substr(head_end + 4, length);
        pending.erase(0, head_end + 4 + length);
        return request;
      }
    }
    ReadResult got = ReadSome(socket, pending, 0.1);
    if (got == ReadResult::kEnd || got == ReadResult::kReset) return std::nullopt;
  }
  return std::nullopt;
}

// Accepts connections until it is destroyed, and serves each on a thread of its own.
class ConnectionServer {
 public:
  using Serve = std::function<void(const std::shared_ptr<Socket>&, const std::atomic<bool>& stopping)>;

  explicit ConnectionServer(Serve serve) : serve_(std::move(serve)), listener_(Listen()) {
    acceptor_ = std::thread([this] { Accept(); });
  }
  ~ConnectionServer() {
    stopping_ = true;
    acceptor_.join();
    for (std::thread& thread : threads_) thread.join();
  }
  int port() const { return listener_.port; }

 private:
  void Accept() {
    while (!stopping_) {
      pollfd polled{listener_.socket.Get(), POLLIN, 0};
      if (::poll(&polled, 1, 50) <= 0) continue;
      auto socket =
          std::make_shared<Socket>(::accept4(listener_.socket.Get(), nullptr, nullptr, SOCK_CLOEXEC));
      if (!socket->Valid()) continue;
      int on = 1;
      ::setsockopt(socket->Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      threads_.emplace_back([this, socket] { serve_(socket, stopping_); });
    }
  }

  Serve serve_;
  Listener listener_;
  std::atomic<bool> stopping_{false};
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

// ---- Discovery ----

struct ListedHolder {
  std::string id;
  int port = 0;
  int cell = 0;
  std::string state = "ready";
};

// Answers a watch with the whole list, then with an empty line every 2 s, as the protocol page says.
class Discovery {
 public:
  explicit Discovery(std::string zone) : zone_(std::move(zone)) {}

  void Add(const ListedHolder& holder) {
    std::lock_guard lock(mutex_);
    holders_.push_back(holder);
  }
  int port() const { return server_.port(); }

 private:
  std::string List() {
    std::lock_guard lock(mutex_);
    std::string servers;
    for (const ListedHolder& holder : holders_) {
      if (!servers.empty()) servers += ',';
      servers += "{\"id\":\"" + holder.id + "\",\"addr\":\"" + AddressOf(holder.port) + "\",\"zone\":\"" +
                 zone_ + "\",\"kind\":\"std-2c\",\"cell\":" + std::to_string(holder.cell) + ",\"state\":\"" +
                 holder.state + "\",\"weight\":1.0,\"started_ms\":0}";
    }
    return "{\"version\":7,\"full\":true,\"servers\":[" + servers + "]}\n";
  }

  static std::string Chunk(const std::string& bytes) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }

  void Serve(const Socket& socket, const std::atomic<bool>& stopping) {
    std::string pending;
    auto request = ReadRequest(socket, pending, stopping);
    if (!request) return;
    std::string list = List();
    if (request->target.find("watch=1") == std::string::npos) {
      WriteAll(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) +
                           "\r\nConnection: close\r\n\r\n" + list);
      return;
    }
    WriteAll(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(list));
    SteadyTime last = Now();
    while (!stopping) {
      ReadResult got = ReadSome(socket, pending, 0.1);
      if (got == ReadResult::kEnd || got == ReadResult::kReset) return;
      if (SecondsSince(last) < 2) continue;
      last = Now();
      if (!WriteAll(socket, Chunk("\n"))) return;
    }
  }

  std::string zone_;
  std::mutex mutex_;
  std::vector<ListedHolder> holders_;
  ConnectionServer server_{[this](const std::shared_ptr<Socket>& socket, const std::atomic<bool>& stopping) {
    Serve(*socket, stopping);
  }};
};

// ---- Record holders on the platform's frames ----

// One part as a record holder reads it.
struct Part {
  std::string id;  // the query's id, a dot, the shard
  int shard = 0;
  std::string key;    // the idempotency key; empty in other classes
  std::string query;  // its text
};

// What a record holder does with a part. An empty value means that no answer comes.
struct PartAnswer {
  double after_s = 0;
  std::optional<std::string> value;
};

class FrameHolder {
 public:
  using OnPart = std::function<PartAnswer(const Part&)>;

  explicit FrameHolder(OnPart on_part)
      : on_part_(std::move(on_part)),
        server_([this](const std::shared_ptr<Socket>& socket, const std::atomic<bool>& stopping) {
          Serve(*socket, stopping);
        }) {}
  int port() const { return server_.port(); }

 private:
  struct Due {
    SteadyTime at;
    std::string id;
    std::string value;
  };

  static std::string Frame(const std::string& rest) {
    std::string out;
    for (int shift = 0; shift < 32; shift += 8) out.push_back(static_cast<char>(rest.size() >> shift & 0xff));
    return out + rest;
  }

  void Serve(const Socket& socket, const std::atomic<bool>& stopping) {
    std::string pending;
    std::list<Due> due;
    while (!stopping) {
      double wait_s = 0.05;
      for (auto answer = due.begin(); answer != due.end();) {
        double left_s = -SecondsSince(answer->at);
        if (left_s > 0) {
          wait_s = std::min(wait_s, left_s);
          ++answer;
          continue;
        }
        std::string load = "queue=0,inflight=" + std::to_string(due.size());
        if (!WriteAll(socket, Frame("a" + answer->id + " served 1 " + load + "\n" + answer->value))) return;
        answer = due.erase(answer);
      }
      ReadResult got = ReadSome(socket, pending, wait_s + 0.0005);
      if (got == ReadResult::kEnd || got == ReadResult::kReset) return;
      while (pending.size() >= 4) {
        std::size_t size = 0;
        for (int i = 3; i >= 0; --i) size = size << 8 | static_cast<unsigned char>(pending[i]);
        if (pending.size() < 4 + size) break;
        std::string frame = pending.substr(4, size);
        pending.erase(0, 4 + size);
        if (!HandleFrame(socket, frame, due)) return;
      }
    }
  }

  bool HandleFrame(const Socket& socket, const std::string& frame, std::list<Due>& due) {
    if (frame.starts_with('c')) {
      // Given up: nobody waits for the answer.
      std::string id = frame.substr(1);
      due.remove_if([&id](const Due& answer) { return answer.id == id; });
      return true;
    }
    if (frame.starts_with('p') || frame.starts_with('l')) return WriteAll(socket, Frame(frame.substr(0, 1)));
    if (!frame.starts_with('q')) return false;
    std::string rest = frame.substr(1);
    while (!rest.empty()) {
      auto line_end = rest.find('\n');
      if (line_end == std::string::npos) return false;
      std::istringstream line(rest.substr(0, line_end));
      Part part;
      std::string list;
      std::size_t length = 0;
      line >> part.id >> part.shard >> list >> length;
      part.key = list.find(",k=") == std::string::npos ? "" : list.substr(list.find(",k=") + 3);
      part.query = rest.substr(line_end + 1, length);
      rest.erase(0, line_end + 1 + length);
      PartAnswer answer = on_part_(part);
      if (!answer.value) continue;
      auto after = std::chrono::duration_cast<std::chrono::steady_clock::duration>(
          std::chrono::duration<double>(answer.after_s));
      due.push_back({Now() + after, part.id, *answer.value});
    }
    return true;
  }

  OnPart on_part_;
  ConnectionServer server_;
};

// ---- The program ----

// A process of the program, started with the command of the deploy file.
class Program {
 public:
  Program(std::string root, std::string command, std::string config, std::string log)
      : root_(std::move(root)),
        command_(std::move(command)),
        config_(std::move(config)),
        log_(std::move(log)) {}
  ~Program() { Kill(); }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void Start() {
    pid_ = ::fork();
    if (pid_ < 0) throw CouldNotRun("cannot start a process");
    if (pid_ > 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the program ends with this case, however that ends
    int log = ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::setenv("BALANCER_CONFIG", config_.c_str(), 1);
    if (::chdir(root_.c_str()) == 0) ::execl("/bin/sh", "sh", "-c", command_.c_str(), nullptr);
    ::_exit(127);
  }
  void Signal(int signal) const {
    if (pid_ > 0) ::kill(pid_, signal);
  }
  // Whether the process has ended.
  bool Ended() {
    if (pid_ <= 0) return true;
    if (::waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
    pid_ = -1;
    return true;
  }
  bool WaitEnded(double seconds) {
    SteadyTime start = Now();
    while (!Ended()) {
      if (SecondsSince(start) > seconds) return false;
      SleepSeconds(0.005);
    }
    return true;
  }
  void Kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
  }
  // Waits until GET /-/ready answers 200.
  void WaitReady(int port) {
    SteadyTime start = Now();
    while (SecondsSince(start) < 20) {
      if (Ended()) throw CouldNotRun("the program has ended at its start; see " + log_);
      Socket socket = ConnectTo(port);
      if (socket.Valid() &&
          WriteAll(socket, "GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n") &&
          ReadReply(socket, 1).status == 200) {
        return;
      }
      SleepSeconds(0.05);
    }
    throw CouldNotRun("the program was not ready within 20 s");
  }

 private:
  std::string root_, command_, config_, log_;
  pid_t pid_ = -1;
};

// ---- Queries on the platform's protocol ----

struct PlatformQuery {
  std::string id;
  std::string query_class;
  double budget_s = 0;
  std::vector<int> shards;
  std::string key;  // empty: none
  std::string text = "c41e77d0";

  std::string Body() const {
    std::string tablets;
    for (int shard : shards) {
      if (!tablets.empty()) tablets += ',';
      char entry[64];
      std::snprintf(entry, sizeof entry, "{\"tablet\":%d,\"fraction\":%.6f}", shard,
                    1.0 / static_cast<double>(shards.size()));
      tablets += entry;
    }
    return "{\"tablets\":[" + tablets + "],\"statement\":\"" + text + "\"}";
  }
  std::string Head() const {
    char budget[32];
    std::snprintf(budget, sizeof budget, "%.3f", budget_s);
    return "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Call-Id: " + id +
           "\r\nX-Call-Class: " + query_class + "\r\nX-Caller: school\r\nX-Budget: " + budget + "\r\n" +
           (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n") +
           "Content-Length: " + std::to_string(Body().size()) + "\r\n\r\n";
  }
};

// ---- The frame of a case ----

struct CaseContext {
  std::string root;       // of the project
  std::string command;    // `run` of the deploy file
  std::string temporary;  // an empty folder
  bool trouble = true;
  Recorder& recorder;
};

// Runs a case: arguments are the project's root, the command, a temporary folder and the record's path.
inline int RunCase(int argc, char** argv, int (*run)(CaseContext&)) {
  ::signal(SIGPIPE, SIG_IGN);
  if (argc != 5) {
    std::fprintf(stderr, "usage: %s ROOT COMMAND TEMPORARY RECORD\n", argv[0]);
    return kCouldNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  int verdict = kCouldNotRun;
  try {
    Recorder recorder(argv[4]);
    CaseContext context{argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0",
                        recorder};
    recorder.Line("begins, %s the disruption", context.trouble ? "with" : "without");
    try {
      verdict = run(context);
    } catch (const CouldNotRun& error) {
      recorder.Line("could not run: %s", error.what());
    }
    const char* words[] = {"the rule held", "THE RULE WAS BROKEN", "the case could not run"};
    recorder.Line("verdict: %s", words[verdict]);
    std::printf("%s\n", words[verdict]);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "%s\n", error.what());
  }
  return verdict;
}

}  // namespace review

#endif  // LIFTRUDDER_REVIEW_SUPPORT_2_STAND_INS_H_
