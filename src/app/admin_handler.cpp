#include "app/admin_handler.h"

#include <string_view>

#include "app/wire_names.h"
#include "log/log.h"
#include "net/json.h"

namespace liftrudder::app {
namespace {

net::HttpResponse StatusResponse(int status, std::string_view text) {
  net::HttpResponse response;
  response.status = status;
  response.body = fmt::format("{{\"status\":{}}}\n", net::json::Quote(text));
  return response;
}

net::HttpResponse NotServing() { return StatusResponse(503, "not serving: it starts or ends"); }

net::HttpResponse MethodNotAllowed(const char* allowed) {
  net::HttpResponse response = StatusResponse(405, fmt::format("only {}", allowed));
  response.headers.emplace_back("Allow", allowed);
  return response;
}

}  // namespace

void AdminHandler::Attach(net::Server* server) {
  std::lock_guard lock(mutex_);
  server_ = server;
}

net::HttpResponse AdminHandler::Answer(const net::HttpMessage& request) {
  const std::string_view path = request.Path();
  const bool reads = path == wire::kHealthPath || path == wire::kFiguresPath;
  const bool writes = path == wire::kDrainPath || path == wire::kEndDrainPath;
  if (!reads && !writes) return StatusResponse(404, "no such path");
  const char* method = reads ? "GET" : "PUT";
  if (request.method != method) return MethodNotAllowed(method);
  if (path == wire::kHealthPath) return Health();
  if (path == wire::kFiguresPath) return FiguresText();
  return SetDraining(path == wire::kDrainPath);
}

net::HttpResponse AdminHandler::Health() {
  std::lock_guard lock(mutex_);
  if (server_ == nullptr) return NotServing();
  return server_->Ready() ? StatusResponse(200, "ready") : StatusResponse(503, "draining");
}

net::HttpResponse AdminHandler::SetDraining(bool draining) {
  std::lock_guard lock(mutex_);
  if (server_ == nullptr) return NotServing();
  const bool changed = server_->SetAdminDrain(draining);
  if (changed) log::Info("admin request: {}", draining ? "drain" : "end the drain");
  return StatusResponse(200, draining ? "draining" : "the drain has ended");
}

net::HttpResponse AdminHandler::FiguresText() {
  refresh_();
  net::HttpResponse response;
  response.content_type = wire::kFiguresContentType;
  response.body = figures_.Text();
  return response;
}

}  // namespace liftrudder::app
