#include "opensearch/routes.h"

#include <fmt/format.h>

#include <string_view>
#include <vector>

#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

// The path's parts between its slashes, unescaped; empty ones are left out.
std::vector<std::string> StepsOf(std::string_view path) {
  std::vector<std::string> steps;
  while (!path.empty()) {
    path.remove_prefix(1);
    std::string_view step = path.substr(0, path.find('/'));
    if (!step.empty()) steps.push_back(net::Unescape(step));
    path.remove_prefix(step.size());
  }
  return steps;
}

}  // namespace

tl::expected<Route, ApiError> FindRoute(const net::HttpMessage& request) {
  std::vector<std::string> steps = StepsOf(request.Path());
  bool reads = request.method == "GET" || request.method == "POST";
  if (steps.size() == 2 && steps[0] == wire::kSearchStep && steps[1] == wire::kScrollStep) {
    if (request.method == "DELETE") return Route{Operation::kDeleteScroll, ""};
    if (reads) return Route{Operation::kScroll, ""};
  }
  if (reads && steps.size() == 2) {
    if (steps[1] == wire::kSearchStep) return Route{Operation::kSearch, steps[0]};
    if (steps[1] == wire::kCountStep) return Route{Operation::kCount, steps[0]};
    if (steps[1] == wire::kMultiSearchStep) return Route{Operation::kMultiSearch, steps[0]};
  }
  if (reads && steps.size() == 1 && steps[0] == wire::kMultiSearchStep) {
    return Route{Operation::kMultiSearch, ""};
  }
  return tl::unexpected(BadRequest(fmt::format("[{} {}] is not supported", request.method, request.Path())));
}

}  // namespace liftrudder::opensearch
