#include "net/admin_server.h"

#include <sys/epoll.h>

#include <exception>
#include <optional>
#include <utility>

#include "log/log.h"

namespace liftrudder::net {
namespace {

constexpr int kMaxPerTurn = 16;                   // events and accepted connections per loop iteration
constexpr int kPollMs = 100;                      // longest time between checks for expired connections
constexpr Micros kRequestTimeoutUs = 1'500'000;   // from accept to the end of the request
constexpr Micros kLingerTimeUs = 1'000'000;       // from the response to the client's close
constexpr std::size_t kMaxAdminBodyBytes = 4096;  // request bodies are ignored
constexpr std::size_t kMaxRequestBytes = kMaxHeadBytes + kMaxAdminBodyBytes;

HttpResponse MalformedRequest() {
  HttpResponse response;
  response.status = 400;
  response.body = R"({"error":"the call cannot be read"})";
  return response;
}

}  // namespace

AdminServer::Connection::Connection() : parser(HttpParser::Kind::kRequest, kMaxAdminBodyBytes) {}

AdminServer::AdminServer(Fd listener, RequestHandler handler)
    : handler_(std::move(handler)), listener_(std::move(listener)), epoll_(::epoll_create1(EPOLL_CLOEXEC)) {
  epoll_event event{EPOLLIN, {nullptr}};
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, listener_.Get(), &event);
  ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, waker_.fd().Get(), &event);
  thread_ = Thread([this] { Run(); });
}

AdminServer::~AdminServer() {
  stopping_ = true;
  waker_.Wake();
  thread_.Join();
}

void AdminServer::Run() {
  while (!stopping_) {
    epoll_event events[kMaxPerTurn];
    // Without connections nothing can expire: the thread blocks until one arrives and uses no CPU time.
    int count = ::epoll_wait(epoll_.Get(), events, kMaxPerTurn, connections_.empty() ? -1 : kPollMs);
    bool connection_pending = false;
    for (int i = 0; i < count; ++i) {
      auto* connection = static_cast<Connection*>(events[i].data.ptr);
      if (connection == nullptr) {
        connection_pending = true;
      } else {
        HandleEvent(*connection);
      }
    }
    // Accepting may close another connection, so the events that point to connections are handled first.
    if (connection_pending) AcceptSome();
    CloseExpired(clock_.Now());
  }
}

void AdminServer::HandleEvent(Connection& connection) {
  try {
    if (connection.response_sent) {
      DiscardInput(connection);
    } else {
      Receive(connection);
    }
  } catch (const std::exception& error) {
    log::Error("error in an admin request, closing its connection: {}", error.what());
    Close(connection);
  }
}

// Accepts pending connections. At the connection limit, closes the oldest connection, which has had the most
// time to send its request.
void AdminServer::AcceptSome() {
  for (int i = 0; i < kMaxPerTurn; ++i) {
    Fd accepted = Accept(listener_, 0);
    if (!accepted.Valid()) return;
    if (connections_.size() >= kMaxConnections) connections_.pop_front();
    auto connection = connections_.emplace(connections_.end());
    connection->self = connection;
    connection->fd = std::move(accepted);
    connection->deadline_us = clock_.Now() + kRequestTimeoutUs;
    epoll_event event{EPOLLIN | EPOLLRDHUP, {&*connection}};
    ::epoll_ctl(epoll_.Get(), EPOLL_CTL_ADD, connection->fd.Get(), &event);
  }
}

void AdminServer::DiscardInput(Connection& connection) {
  std::optional<std::size_t> discarded = Discard(connection.fd, kMaxRequestBytes);
  if (!discarded || *discarded >= kMaxRequestBytes) Close(connection);
}

void AdminServer::Receive(Connection& connection) {
  IoStatus status = ReadNow(connection.fd, connection.unparsed);
  if (status == IoStatus::kTimeout) return;
  if (status != IoStatus::kOk) {
    Close(connection);
    return;
  }
  HttpParser::State state = connection.parser.Feed(connection.unparsed);
  if (state == HttpParser::State::kBad || connection.unparsed.size() > kMaxRequestBytes) {
    Reply(connection, MalformedRequest());
  } else if (state == HttpParser::State::kDone) {
    Reply(connection, handler_(connection.parser.message()));
  }
}

// A response fits into the socket's send buffer, so a partial write means that the client does not read.
void AdminServer::Reply(Connection& connection, const HttpResponse& response) {
  if (WriteAll(connection.fd, Format(response, true), 0).status != IoStatus::kOk) {
    Close(connection);
    return;
  }
  ShutDownWriting(connection.fd);
  connection.response_sent = true;
  connection.deadline_us = clock_.Now() + kLingerTimeUs;
}

void AdminServer::Close(Connection& connection) { connections_.erase(connection.self); }

void AdminServer::CloseExpired(Micros now_us) {
  std::erase_if(connections_,
                [now_us](const Connection& connection) { return now_us >= connection.deadline_us; });
}

}  // namespace liftrudder::net
