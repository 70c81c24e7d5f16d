#include "config/config.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <fstream>
#include <sstream>
#include <system_error>

#include "config/endpoint_list.h"
#include "config/routing_settings.h"
#include "config/wire_names.h"
#include "net/admin_server.h"
#include "net/json.h"

namespace liftrudder::config {
namespace {

namespace json = net::json;

constexpr std::int64_t kMiB = 1024 * 1024;
constexpr int kDefaultMemoryMb = 192;
constexpr int kSeedBase = 16;

// The default size of the decision log is this fraction of the memory: enough for at least a minute of a busy
// coordinator's queries, and little enough to leave serving unaffected.
constexpr std::int64_t kDecisionLogMemoryDivisor = 48;
constexpr std::int64_t kMinDecisionLogBytes = kMiB;
constexpr std::int64_t kMaxDefaultDecisionLogBytes = 8 * kMiB;
constexpr std::int64_t kMaxDecisionLogBytes = 64 * kMiB;

std::string StringOrEmpty(std::string_view object, std::string_view key) {
  return json::ParseString(json::FindMember(object, key)).value_or("");
}

std::int64_t IntegerOr(std::string_view object, std::string_view key, std::int64_t fallback) {
  return json::ParseInteger(json::FindMember(object, key)).value_or(fallback);
}

std::vector<std::string> Strings(std::string_view array) {
  std::vector<std::string> strings;
  json::ForEachElement(array, [&strings](std::string_view value) {
    strings.push_back(json::ParseString(value).value_or(""));
    return true;
  });
  return strings;
}

std::vector<std::string> ClassNames(std::string_view settings) {
  std::vector<std::string> names;
  json::ForEachElement(json::FindMember(settings, wire::kClasses), [&names](std::string_view query_class) {
    names.push_back(StringOrEmpty(query_class, wire::kClassName));
    return true;
  });
  return names;
}

std::string DecisionLogKey(std::string_view member) {
  return fmt::format("{}.{}", wire::kDecisionLog, member);
}

std::size_t ParseDecisionLogBytes(std::string_view value) {
  auto bytes = json::ParseInteger(value);
  const bool off = bytes && *bytes == 0;
  const bool fits = bytes && *bytes >= kMinDecisionLogBytes && *bytes <= kMaxDecisionLogBytes;
  if (!off && !fits) {
    throw ConfigError(
        DecisionLogKey(wire::kDecisionLogBytes), std::string(value),
        fmt::format("is neither 0 nor in the range {} to {}", kMinDecisionLogBytes, kMaxDecisionLogBytes));
  }
  return static_cast<std::size_t>(*bytes);
}

void ReadDecisionLogMember(std::string_view name, std::string_view value, DecisionLogOptions& options) {
  if (name == wire::kDecisionLogBytes) {
    options.bytes = ParseDecisionLogBytes(value);
  } else if (name == wire::kDecisionLogFile) {
    auto file = json::ParseString(value);
    if (!file) throw ConfigError(DecisionLogKey(wire::kDecisionLogFile), std::string(value), "is not text");
    options.file = *file;
  } else {
    throw ConfigError(fmt::format("{}: unknown setting; known settings are {} and {}", DecisionLogKey(name),
                                  wire::kDecisionLogBytes, wire::kDecisionLogFile));
  }
}

DecisionLogOptions ReadDecisionLogOptions(std::string_view text, int memory_mb) {
  DecisionLogOptions options;
  options.bytes = static_cast<std::size_t>(std::clamp(memory_mb * kMiB / kDecisionLogMemoryDivisor,
                                                      kMinDecisionLogBytes, kMaxDefaultDecisionLogBytes));
  if (text.empty()) return options;
  bool is_object = json::ForEachMember(text, [&options](std::string_view name, std::string_view value) {
    ReadDecisionLogMember(name, value, options);
    return true;
  });
  if (!is_object) throw ConfigError(fmt::format("{}: not an object", wire::kDecisionLog));
  return options;
}

void ReadIdentification(std::string_view text, Config& config) {
  config.name = StringOrEmpty(text, wire::kName);
  config.listen_address = StringOrEmpty(text, wire::kListenAddress);
  config.discovery_address = StringOrEmpty(text, wire::kDiscoveryAddress);
  const std::string seed = StringOrEmpty(text, wire::kSeed);
  std::from_chars(seed.data(), seed.data() + seed.size(), config.seed, kSeedBase);
}

void ReadSettings(std::string_view settings, Config& config) {
  config.settings = ParseRoutingSettings(settings);
  config.classes = ClassNames(settings);
  config.zones = Strings(json::FindMember(settings, wire::kZones));
  config.kinds = Strings(json::FindMember(settings, wire::kEndpointKinds));
  config.load_names =
      Strings(json::FindMember(json::FindMember(settings, wire::kLoadReport), wire::kLoadReportNames));
  std::string_view bounds = json::FindMember(settings, wire::kBounds);
  config.connect_timeout_us = IntegerOr(bounds, wire::kConnectTimeout, config.connect_timeout_us);
  config.idle_close_us = IntegerOr(bounds, wire::kIdleTimeout, config.idle_close_us);
  config.streams_per_connection = std::max<int>(
      1, static_cast<int>(IntegerOr(bounds, wire::kStreamsPerConnection, config.streams_per_connection)));
}

// Reads the limits of the process. Sets config.memory_mb to the memory that remains beside the decision log.
void ReadLimits(std::string_view text, Config& config) {
  std::string_view limits = json::FindMember(text, wire::kLimits);
  const int memory_mb = static_cast<int>(IntegerOr(limits, wire::kLimitMemoryMb, kDefaultMemoryMb));
  config.decision_log = ReadDecisionLogOptions(json::FindMember(text, wire::kDecisionLog), memory_mb);
  config.cores = json::ParseNumber(json::FindMember(limits, wire::kLimitCores)).value_or(config.cores);
  config.descriptors = static_cast<int>(IntegerOr(limits, wire::kLimitDescriptors, config.descriptors));
  const std::int64_t decision_log_mb =
      (static_cast<std::int64_t>(config.decision_log.bytes) + kMiB - 1) / kMiB;
  config.memory_mb = memory_mb - static_cast<int>(decision_log_mb);
}

}  // namespace

Config ParseConfig(std::string_view text) {
  if (!json::Valid(text)) throw ConfigError("configuration: not JSON");
  Config config;
  ReadIdentification(text, config);
  ReadSettings(json::FindMember(text, wire::kSettings), config);
  ReadLimits(text, config);
  std::string_view cached = json::FindMember(text, wire::kCachedEndpointList);
  if (!cached.empty()) config.cached_endpoints = ParseEndpointList(cached, config);
  config.cached_endpoints.kind = routing::EndpointListKind::kCached;
  // The list may be incomplete or outdated; there is at least one endpoint for each cell.
  const int endpoints =
      std::max(static_cast<int>(config.cached_endpoints.entries.size()), config.settings.cells);
  config.budget = ComputeBudget(config.descriptors, config.memory_mb, endpoints);
  SetAdminAddress(config, StringOrEmpty(text, wire::kAdminAddress));
  return config;
}

void SetAdminAddress(Config& config, const std::string& address) {
  if (address.empty() || !config.admin_address.empty()) return;
  config.admin_address = address;
  config.descriptors -= net::AdminServer::kMaxDescriptors;
  config.budget = ComputeBudget(config.descriptors, config.memory_mb, config.budget.endpoints);
}

std::string ReadFile(const std::string& path) {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  std::ostringstream content;
  if (file) content << file.rdbuf();
  // The stream is bad after a failed read; an empty file only sets its failbit.
  if (!file || content.bad()) {
    const std::string reason = errno == 0 ? "" : ": " + std::generic_category().message(errno);
    throw UnreadableFileError("cannot read " + path + reason);
  }
  return content.str();
}

}  // namespace liftrudder::config
