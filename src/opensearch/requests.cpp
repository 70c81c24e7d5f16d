#include "opensearch/requests.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

#include "net/json.h"
#include "opensearch/access_control.h"
#include "opensearch/search.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

namespace json = net::json;

constexpr std::size_t kMaxSearches = 32;  // in one multi-search

// Splits the text into lines without their line ends; omits empty lines at the end.
std::vector<std::string_view> SplitLines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    std::string_view line = text.substr(0, text.find('\n'));
    text.remove_prefix(std::min(text.size(), line.size() + 1));
    lines.push_back(line.ends_with('\r') ? line.substr(0, line.size() - 1) : line);
  }
  while (!lines.empty() && lines.back().empty()) lines.pop_back();
  return lines;
}

std::optional<ApiError> CheckCountBody(std::string_view body) {
  if (body.empty()) return std::nullopt;
  bool query_only = true;
  bool readable = json::ForEachMember(body, [&query_only](std::string_view name, std::string_view) {
    query_only = query_only && name == wire::kQuery;
    return true;
  });
  if (!readable) return UnreadableBody("the body is not a JSON object");
  if (!query_only) return BadRequest("only [query] is supported in a count");
  return std::nullopt;
}

}  // namespace

tl::expected<ShardCall, ApiError> ReadCount(const net::HttpMessage& request, const std::string& index,
                                            const std::string& filter) {
  if (auto error = CheckCountBody(request.body)) return tl::unexpected(std::move(*error));
  const std::string path = fmt::format("/{}/{}", index, wire::kCountSegment);
  std::string parameters;  // in the form of SearchQuery::parameters
  if (request.target.find('?') != std::string::npos) {
    auto query_string = request.Parameter(wire::kQueryString);
    if (!query_string) return tl::unexpected(BadRequest("only [q] is supported beside the body of a count"));
    parameters =
        fmt::format("&{}={}", wire::kQueryString, net::PercentEncode(net::PercentDecode(*query_string)));
  }
  if (filter.empty()) {
    return ShardCall{parameters.empty() ? path : path + "?" + parameters.substr(1), request.body};
  }
  if (auto error = CheckRestricted(request.body)) return tl::unexpected(std::move(*error));
  auto restricted =
      RestrictQuery(filter, {std::string(json::FindMember(request.body, wire::kQuery)), parameters});
  if (!restricted) return tl::unexpected(std::move(restricted.error()));
  return ShardCall{path, fmt::format(R"({{"{}":{}}})", wire::kQuery, restricted->query)};
}

tl::expected<ScrollRequest, ApiError> ReadScroll(const net::HttpMessage& request) {
  ScrollRequest scroll;
  std::string keep_alive;
  if (auto value = request.Parameter(wire::kScrollId)) scroll.id = net::PercentDecode(*value);
  if (auto value = request.Parameter(wire::kScroll)) keep_alive = net::PercentDecode(*value);
  if (!request.body.empty()) {
    if (!json::Valid(request.body)) return tl::unexpected(UnreadableBody("the body is not JSON"));
    if (auto value = json::ParseString(json::FindMember(request.body, wire::kScrollId))) scroll.id = *value;
    if (auto value = json::ParseString(json::FindMember(request.body, wire::kScroll))) keep_alive = *value;
  }
  if (scroll.id.empty()) return tl::unexpected(BadRequest("[scroll_id] is missing"));
  if (keep_alive.empty()) return scroll;
  auto duration_us = ReadDuration(keep_alive);
  if (!duration_us) return tl::unexpected(BadRequest("[scroll] is not a time such as 1m"));
  scroll.keep_alive_us = *duration_us;
  return scroll;
}

tl::expected<std::vector<std::string>, ApiError> ReadScrollIds(const net::HttpMessage& request) {
  std::vector<std::string> ids;
  std::string_view value = json::FindMember(request.body, wire::kScrollId);
  if (auto single_id = json::ParseString(value)) ids.push_back(*single_id);
  json::ForEachElement(value, [&ids](std::string_view element) {
    ids.push_back(json::ParseString(element).value_or(""));
    return true;
  });
  if (ids.empty()) return tl::unexpected(BadRequest("[scroll_id] is missing"));
  return ids;
}

tl::expected<std::vector<MultiSearchItem>, ApiError> ReadMultiSearch(const net::HttpMessage& request) {
  std::vector<std::string_view> lines = SplitLines(request.body);
  if (lines.empty() || lines.size() % 2 != 0 || request.body.back() != '\n') {
    return tl::unexpected(BadRequest("a multi search is pairs of lines, each ended by a newline"));
  }
  if (lines.size() / 2 > kMaxSearches) {
    return tl::unexpected(BadRequest(fmt::format("at most {} searches", kMaxSearches)));
  }
  if (request.target.find('?') != std::string::npos) {
    return tl::unexpected(BadRequest("parameters of _msearch are not supported"));
  }
  std::vector<MultiSearchItem> items;
  for (std::size_t i = 0; i < lines.size(); i += 2) items.push_back({lines[i], lines[i + 1]});
  return items;
}

tl::expected<std::string, ApiError> ReadItemIndex(std::string_view header, const std::string& path_index) {
  std::string index = path_index;
  if (header.empty()) return index;
  bool readable = json::ForEachMember(header, [&index](std::string_view name, std::string_view value) {
    if (name != wire::kIndex) return false;
    index = json::ParseString(value).value_or("");
    return true;
  });
  if (!readable) return tl::unexpected(BadRequest("only [index] is supported in the header of a search"));
  return index;
}

}  // namespace liftrudder::opensearch
