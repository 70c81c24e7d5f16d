#include "opensearch/options.h"

#include <algorithm>

#include "net/json.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

namespace json = net::json;

// A search is idempotent, so its class must be.
int ClassIndex(std::string_view value, const config::Config& config) {
  std::string name = json::String(value).value_or("");
  auto found = std::ranges::find(config.classes, name);
  if (found == config.classes.end()) throw OptionsError("indices: no class '" + name + "'");
  auto index = static_cast<std::size_t>(found - config.classes.begin());
  if (config.settings.classes[index].effect != routing::Effect::kIdempotent) {
    throw OptionsError("indices: class '" + name + "' is not safe to repeat");
  }
  return static_cast<int>(index);
}

IndexOptions ReadIndex(std::string_view text, const config::Config& config) {
  IndexOptions out;
  out.class_index = ClassIndex(json::Get(text, wire::kClass), config);
  std::string_view whole = json::Get(text, wire::kWholeClass);
  out.whole_class_index = whole.empty() ? out.class_index : ClassIndex(whole, config);
  std::vector<double> weights;
  json::Elements(json::Get(text, wire::kWeights), [&weights](std::string_view value) {
    weights.push_back(json::Number(value).value_or(0));
    return true;
  });
  json::Elements(json::Get(text, wire::kShardList), [&out](std::string_view value) {
    out.shard_requests.push_back({static_cast<int>(json::Integer(value).value_or(-1)), 0, 0, 0});
    return true;
  });
  if (out.shard_requests.empty() || (!weights.empty() && weights.size() != out.shard_requests.size())) {
    throw OptionsError("indices: an index needs shards, and a weight for each or for none");
  }
  double sum = 0;
  for (double weight : weights) sum += weight;
  for (std::size_t i = 0; i < out.shard_requests.size(); ++i) {
    if (out.shard_requests[i].shard < 0 || out.shard_requests[i].shard >= config.settings.shards) {
      throw OptionsError("indices: a shard that the settings do not have");
    }
    out.shard_requests[i].weight =
        sum > 0 ? weights[i] / sum : 1.0 / static_cast<double>(out.shard_requests.size());
  }
  return out;
}

}  // namespace

Options ParseOptions(std::string_view text, const config::Config& config) {
  std::string_view front = json::Get(text, wire::kOptions);
  Options out;
  bool ok =
      json::JsonMembers(json::Get(front, wire::kIndices), [&](std::string_view name, std::string_view value) {
        out.indices[std::string(name)] = ReadIndex(value, config);
        return true;
      });
  if (!ok || out.indices.empty()) throw OptionsError("opensearch: no indices");
  out.result_window = json::Integer(json::Get(front, wire::kResultWindow)).value_or(out.result_window);
  out.max_scrolls = static_cast<std::size_t>(
      std::clamp<std::int64_t>(json::Integer(json::Get(front, wire::kMaxScrolls)).value_or(64), 1, 4096));
  out.max_keep_alive_us =
      1'000'000 *
      json::Integer(json::Get(front, wire::kMaxKeepAliveS)).value_or(out.max_keep_alive_us / 1'000'000);
  out.tiebreak = json::String(json::Get(front, wire::kTiebreak)).value_or(out.tiebreak);
  return out;
}

}  // namespace liftrudder::opensearch
