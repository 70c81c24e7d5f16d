#include "opensearch/options.h"

#include <algorithm>
#include <stdexcept>

#include "net/json.h"

namespace liftrudder::opensearch {
namespace {

namespace json = net::json;

// A search may be repeated at will; a class that must not be is no class for it.
int ClassIndex(std::string_view value, const config::Config& config) {
  std::string name = json::String(value).value_or("");
  auto found = std::ranges::find(config.classes, name);
  if (found == config.classes.end()) throw std::runtime_error("indices: no class '" + name + "'");
  auto index = static_cast<std::size_t>(found - config.classes.begin());
  if (config.settings.classes[index].effect != routing::Effect::kIdempotent)
    throw std::runtime_error("indices: class '" + name + "' is not safe to repeat");
  return static_cast<int>(index);
}

IndexOptions Index(std::string_view text, const config::Config& config) {
  IndexOptions out;
  out.class_index = ClassIndex(json::Get(text, "class"), config);
  std::string_view whole = json::Get(text, "whole_class");
  out.whole_class_index = whole.empty() ? out.class_index : ClassIndex(whole, config);
  std::vector<double> weights;
  json::Elements(json::Get(text, "weights"), [&weights](std::string_view value) {
    weights.push_back(json::Number(value).value_or(0));
    return true;
  });
  json::Elements(json::Get(text, "shards"), [&out](std::string_view value) {
    out.shard_requests.push_back({static_cast<int>(json::Integer(value).value_or(-1)), 0, 0, 0});
    return true;
  });
  if (out.shard_requests.empty() || (!weights.empty() && weights.size() != out.shard_requests.size()))
    throw std::runtime_error("indices: an index needs shards, and a weight for each or for none");
  double sum = 0;
  for (double weight : weights) sum += weight;
  for (std::size_t i = 0; i < out.shard_requests.size(); ++i) {
    if (out.shard_requests[i].shard < 0 || out.shard_requests[i].shard >= config.settings.shards)
      throw std::runtime_error("indices: a shard that the settings do not have");
    out.shard_requests[i].weight = sum > 0 ? weights[i] / sum : 1.0 / static_cast<double>(out.shard_requests.size());
  }
  return out;
}

}  // namespace

Options ParseOptions(std::string_view text, const config::Config& config) {
  std::string_view front = json::Get(text, "opensearch");
  Options out;
  bool ok =
      json::JsonMembers(json::Get(front, "indices"), [&](std::string_view name, std::string_view value) {
        out.indices[std::string(name)] = Index(value, config);
        return true;
      });
  if (!ok || out.indices.empty()) throw std::runtime_error("opensearch: no indices");
  out.result_window = json::Integer(json::Get(front, "result_window")).value_or(out.result_window);
  out.max_scrolls = static_cast<std::size_t>(
      std::clamp<std::int64_t>(json::Integer(json::Get(front, "max_scrolls")).value_or(64), 1, 4096));
  out.max_keep_alive_us =
      1'000'000 *
      json::Integer(json::Get(front, "max_keep_alive_s")).value_or(out.max_keep_alive_us / 1'000'000);
  out.tiebreak = json::String(json::Get(front, "tiebreak")).value_or(out.tiebreak);
  return out;
}

}  // namespace liftrudder::opensearch
