#include "opensearch/routes.h"

#include <fmt/format.h>

#include <string_view>
#include <vector>

#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

// Splits the path at its slashes and unescapes the segments; omits empty ones.
std::vector<std::string> SplitPath(std::string_view path) {
  std::vector<std::string> segments;
  while (!path.empty()) {
    path.remove_prefix(1);
    std::string_view segment = path.substr(0, path.find('/'));
    if (!segment.empty()) segments.push_back(net::PercentDecode(segment));
    path.remove_prefix(segment.size());
  }
  return segments;
}

}  // namespace

tl::expected<Route, ApiError> FindRoute(const net::HttpMessage& request) {
  std::vector<std::string> segments = SplitPath(request.Path());
  bool get_or_post = request.method == "GET" || request.method == "POST";
  if (segments.size() == 2 && segments[0] == wire::kSearchSegment && segments[1] == wire::kScrollSegment) {
    if (request.method == "DELETE") return Route{Operation::kDeleteScroll, ""};
    if (get_or_post) return Route{Operation::kScroll, ""};
  }
  if (get_or_post && segments.size() == 2) {
    if (segments[1] == wire::kSearchSegment) return Route{Operation::kSearch, segments[0]};
    if (segments[1] == wire::kCountSegment) return Route{Operation::kCount, segments[0]};
    if (segments[1] == wire::kMultiSearchSegment) return Route{Operation::kMultiSearch, segments[0]};
  }
  if (get_or_post && segments.size() == 1 && segments[0] == wire::kMultiSearchSegment) {
    return Route{Operation::kMultiSearch, ""};
  }
  return tl::unexpected(BadRequest(fmt::format("[{} {}] is not supported", request.method, request.Path())));
}

}  // namespace liftrudder::opensearch
