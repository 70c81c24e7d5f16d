#include "opensearch/options.h"

#include <algorithm>

#include "net/json.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

namespace json = net::json;

// Returns the index of the named class, which must be idempotent, as searches are.
int ClassIndex(std::string_view value, const config::Config& config) {
  std::string name = json::ParseString(value).value_or("");
  auto found = std::ranges::find(config.classes, name);
  if (found == config.classes.end()) throw OptionsError("indices: unknown class '" + name + "'");
  auto index = static_cast<std::size_t>(found - config.classes.begin());
  if (config.settings.classes[index].effect != routing::Effect::kIdempotent) {
    throw OptionsError("indices: class '" + name + "' must have the effect 'idempotent'");
  }
  return static_cast<int>(index);
}

IndexOptions ReadIndex(std::string_view text, const config::Config& config) {
  IndexOptions out;
  out.class_index = ClassIndex(json::FindMember(text, wire::kClass), config);
  std::string_view whole_class = json::FindMember(text, wire::kWholeClass);
  out.complete_class_index = whole_class.empty() ? out.class_index : ClassIndex(whole_class, config);
  std::vector<double> weights;
  json::ForEachElement(json::FindMember(text, wire::kWeights), [&weights](std::string_view value) {
    weights.push_back(json::ParseNumber(value).value_or(0));
    return true;
  });
  json::ForEachElement(json::FindMember(text, wire::kShardList), [&out](std::string_view value) {
    out.shard_requests.push_back({static_cast<int>(json::ParseInteger(value).value_or(-1)), 0, 0, 0});
    return true;
  });
  if (out.shard_requests.empty() || (!weights.empty() && weights.size() != out.shard_requests.size())) {
    throw OptionsError(
        "indices: [shards] is missing or empty, or [weights] does not have one weight per shard");
  }
  double sum = 0;
  for (double weight : weights) sum += weight;
  for (std::size_t i = 0; i < out.shard_requests.size(); ++i) {
    if (out.shard_requests[i].shard < 0 || out.shard_requests[i].shard >= config.settings.shards) {
      throw OptionsError("indices: [shards] has a value that is not a shard of the settings");
    }
    out.shard_requests[i].weight =
        sum > 0 ? weights[i] / sum : 1.0 / static_cast<double>(out.shard_requests.size());
  }
  return out;
}

}  // namespace

Options ParseOptions(std::string_view text, const config::Config& config) {
  std::string_view section = json::FindMember(text, wire::kOptions);
  Options out;
  bool ok = json::ForEachMember(json::FindMember(section, wire::kIndices),
                                [&](std::string_view name, std::string_view value) {
                                  out.indices[std::string(name)] = ReadIndex(value, config);
                                  return true;
                                });
  if (!ok || out.indices.empty()) throw OptionsError("opensearch: [indices] is missing, empty or malformed");
  out.result_window =
      json::ParseInteger(json::FindMember(section, wire::kResultWindow)).value_or(out.result_window);
  out.max_scrolls = static_cast<std::size_t>(std::clamp<std::int64_t>(
      json::ParseInteger(json::FindMember(section, wire::kMaxScrolls)).value_or(64), 1, 4096));
  out.max_keep_alive_us = 1'000'000 * json::ParseInteger(json::FindMember(section, wire::kMaxKeepAliveS))
                                          .value_or(out.max_keep_alive_us / 1'000'000);
  out.tiebreak = json::ParseString(json::FindMember(section, wire::kTiebreak)).value_or(out.tiebreak);
  return out;
}

}  // namespace liftrudder::opensearch
