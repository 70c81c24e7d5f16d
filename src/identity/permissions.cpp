#include "identity/permissions.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>
extern "C" {
#include <libcidr.h>
}

#include "identity/json_members.h"
#include "identity/strict_json.h"
#include "identity/wire_names.h"

namespace liftrudder::identity {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxTableDepth = 24;  // filters are queries, which nest deeply
constexpr Micros kMicrosPerSecond = 1'000'000;
constexpr NumberRange kClockSkewSeconds{0, 300, 5};
constexpr NumberRange kCachedTokens{1, 65536, 1024};
constexpr NumberRange kTenantWeight{1, 1000, 1};
constexpr NumberRange kWorkPerSecond{0, 1'000'000'000, 0};
constexpr NumberRange kOpenQueries{0, 1'000'000, 0};
constexpr char kFirstPrintable = 0x20;

std::shared_ptr<cidr_addr> ParsePrefix(const std::string& text) {
  auto free_prefix = [](cidr_addr* prefix) {
    if (prefix != nullptr) cidr_free(prefix);
  };
  return {cidr_from_str(text.c_str()), free_prefix};
}

bool IsCertificateName(const std::string& name) {
  auto colon = name.find(':');
  if (colon == std::string::npos || colon + 1 == name.size()) return false;
  std::string kind = name.substr(0, colon);
  return kind == "dns" || kind == "uri" || kind == "email";
}

void ReadFilter(JsonMembers& members, Permissions& permissions) {
  const Json* filter = members.Find(wire_names::kFilter);
  if (filter == nullptr) return;
  bool is_query = filter->is_object() && filter->size() == 1;
  if (!is_query) members.Fail("[filter] must be a query: an object with one member");
  permissions.filter = filter->dump();
}

void ReadNetworks(JsonMembers& members, const std::vector<std::string>& prefixes, Permissions& permissions) {
  auto networks = Networks::Parse(prefixes);
  if (networks) {
    permissions.networks = std::move(*networks);
  } else {
    members.Fail(fmt::format("[networks] '{}' is not a prefix such as 10.1.0.0/16 or fd00::/8",
                             networks.error().text));
  }
  // An empty list is an error: an operator who empties it to lock a tenant out would otherwise admit any
  // address.
  bool is_present = members.Find(wire_names::kNetworks) != nullptr;
  if (is_present && prefixes.empty()) members.Fail("[networks] is empty; leave it out to allow any address");
  if (prefixes.size() > kMaxNetworks) members.Fail(fmt::format("[networks] has over {} items", kMaxNetworks));
}

void ReadCertificates(JsonMembers& members, const std::vector<std::string>& names, Permissions& permissions) {
  for (const std::string& name : names) {
    if (IsCertificateName(name)) continue;
    members.Fail(
        fmt::format("[certificates] '{}' is not a name such as dns:a.example, uri:urn:a or email:a@b", name));
  }
  if (names.size() > kMaxCertificates) {
    members.Fail(fmt::format("[certificates] has over {} items", kMaxCertificates));
  }
  permissions.certificates.insert(names.begin(), names.end());
}

tl::expected<Permissions, ReadError> ParsePermissions(const Json& value, const std::string& where) {
  JsonMembers members(value, where);
  if (members.error()) return tl::unexpected(*members.error());
  Permissions permissions;
  std::vector<std::string> indices;
  std::vector<std::string> networks;
  std::vector<std::string> certificates;
  members.Read(wire_names::kIndices, indices);
  permissions.indices.insert(indices.begin(), indices.end());
  members.Read(wire_names::kPartialResults, permissions.partial);
  members.Read(wire_names::kScrolls, permissions.scrolls);
  members.Read(wire_names::kStatusPages, permissions.pages);
  members.Read(wire_names::kNetworks, networks);
  members.Read(wire_names::kCertificates, certificates);
  permissions.weight = static_cast<double>(members.ReadNumber(wire_names::kWeight, kTenantWeight));
  ReadFilter(members, permissions);
  ReadNetworks(members, networks, permissions);
  ReadCertificates(members, certificates, permissions);
  members.RejectUnknown();
  if (members.error()) return tl::unexpected(*members.error());
  return permissions;
}

void Require(JsonMembers& members, const char* name, const std::string& value) {
  if (value.empty()) members.Fail(fmt::format("[{}] is missing", name));
}

void ReadLimits(JsonMembers& members, PermissionTable& table) {
  table.clock_skew_us =
      kMicrosPerSecond * members.ReadNumber(wire_names::kClockSkewSeconds, kClockSkewSeconds);
  table.work_per_s = members.ReadNumber(wire_names::kWorkPerSecond, kWorkPerSecond);
  table.max_open_queries = members.ReadNumber(wire_names::kMaxOpenQueries, kOpenQueries);
  bool only_one = (table.work_per_s == 0) != (table.max_open_queries == 0);
  if (only_one) members.Fail("[workPerS] and [mostOpen] must be set together");
  table.max_cached_tokens =
      static_cast<std::size_t>(members.ReadNumber(wire_names::kMaxCachedTokens, kCachedTokens));
}

bool IsTenantName(const std::string& name) {
  auto is_control = [](char c) { return static_cast<unsigned char>(c) < kFirstPrintable; };
  return !name.empty() && name.size() <= kMaxClaimBytes && std::ranges::none_of(name, is_control);
}

std::optional<ReadError> AddTenant(PermissionTable& table, const std::string& name, const Json& value) {
  if (!IsTenantName(name)) {
    return ReadError{
        "identity",
        fmt::format("a tenant's name must have 1 to {} bytes and no control character", kMaxClaimBytes)};
  }
  std::string where = fmt::format("identity: tenant '{}'", name);
  auto permissions = ParsePermissions(value, where);
  if (!permissions) return permissions.error();
  for (const std::string& certificate : permissions->certificates) {
    auto [owner, is_new] = table.tenant_by_certificate.emplace(certificate, name);
    if (!is_new) {
      return ReadError{where, fmt::format("[certificates] '{}' already belongs to tenant '{}'", certificate,
                                          owner->second)};
    }
  }
  table.tenants[name] = std::make_shared<const Permissions>(std::move(*permissions));
  return std::nullopt;
}

}  // namespace

tl::expected<Networks, InvalidPrefix> Networks::Parse(const std::vector<std::string>& prefixes) {
  Networks networks;
  for (const std::string& text : prefixes) {
    std::shared_ptr<cidr_addr> prefix = ParsePrefix(text);
    if (prefix == nullptr) return tl::unexpected(InvalidPrefix{text});
    networks.prefixes_.push_back(std::move(prefix));
    networks.texts_.push_back(text);
  }
  return networks;
}

bool Networks::Contains(const std::string& address) const {
  constexpr std::string_view kMappedIpv4 = "::ffff:";
  std::string_view plain = address;
  bool is_mapped = plain.starts_with(kMappedIpv4) && plain.find('.') != std::string_view::npos;
  if (is_mapped) plain.remove_prefix(kMappedIpv4.size());
  std::shared_ptr<cidr_addr> host = ParsePrefix(std::string(plain));
  if (host == nullptr) return false;
  auto contains_host = [&host](const std::shared_ptr<cidr_addr>& prefix) {
    return cidr_get_proto(prefix.get()) == cidr_get_proto(host.get()) &&
           cidr_contains(prefix.get(), host.get()) == 0;
  };
  return std::ranges::any_of(prefixes_, contains_host);
}

tl::expected<PermissionTable, ReadError> PermissionTable::Parse(std::string_view text) {
  auto json = ParseStrictJson(text, kMaxPermissionTableBytes, kMaxTableDepth);
  if (!json) return tl::unexpected(ReadError{"identity", json.error().problem});
  PermissionTable table;
  JsonMembers members(*json, "identity");
  if (members.error()) return tl::unexpected(*members.error());
  members.Read(wire_names::kKeysFile, table.keys_file);
  members.Read(wire_names::kIssuer, table.issuer);
  members.Read(wire_names::kAudience, table.audience);
  ReadLimits(members, table);
  Require(members, wire_names::kKeysFile, table.keys_file);
  Require(members, wire_names::kIssuer, table.issuer);
  Require(members, wire_names::kAudience, table.audience);
  const Json* tenants = members.Find(wire_names::kTenants);
  bool has_tenants = tenants != nullptr && tenants->is_object() && !tenants->empty();
  if (!has_tenants) members.Fail("[tenants] must be an object with at least one tenant");
  if (members.error()) return tl::unexpected(*members.error());
  if (tenants->size() > kMaxTenants) members.Fail(fmt::format("[tenants] has over {} items", kMaxTenants));
  for (const auto& [name, value] : tenants->items()) {
    if (auto error = AddTenant(table, name, value)) return tl::unexpected(std::move(*error));
  }
  members.RejectUnknown();
  if (members.error()) return tl::unexpected(*members.error());
  return table;
}

}  // namespace liftrudder::identity
