#include "app/admin_handler.h"

#include <string_view>

#include "log/log.h"
#include "net/json.h"

namespace liftrudder::app {
namespace {

net::HttpResponse Say(int status, std::string_view what) {
  net::HttpResponse out;
  out.status = status;
  out.body = fmt::format("{{\"status\":{}}}\n", net::json::Quote(what));
  return out;
}

}  // namespace

void AdminHandler::Attach(net::Server* server) {
  std::lock_guard lock(mutex_);
  server_ = server;
}

net::HttpResponse AdminHandler::SetAside(bool aside) {
  std::lock_guard lock(mutex_);
  if (server_ == nullptr) return Say(503, "not serving: it starts or ends");
  if (server_->SetAdminDrain(aside)) log::Info("told to {}", aside ? "drain" : "end the drain");
  return Say(200, aside ? "draining" : "the drain has ended");
}

net::HttpResponse AdminHandler::Answer(const net::HttpMessage& call) {
  std::string_view path = call.Path();
  bool reads = path == "/healthcheck" || path == "/stats";
  bool writes = path == "/healthcheck/fail" || path == "/healthcheck/ok";
  if (!reads && !writes) return Say(404, "no such path");
  if (call.method != (reads ? "GET" : "PUT")) {
    net::HttpResponse out = Say(405, reads ? "only GET" : "only PUT");
    out.headers.emplace_back("Allow", reads ? "GET" : "PUT");
    return out;
  }
  if (writes) return SetAside(path == "/healthcheck/fail");
  if (path == "/healthcheck") {
    std::lock_guard lock(mutex_);
    if (server_ == nullptr) return Say(503, "not serving: it starts or ends");
    return server_->Ready() ? Say(200, "ready") : Say(503, "draining");
  }
  refresh_();
  net::HttpResponse out;
  out.type = "text/plain; version=0.0.4";
  out.body = figures_.Text();
  return out;
}

}  // namespace liftrudder::app
