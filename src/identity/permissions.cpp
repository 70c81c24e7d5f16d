#include "identity/permissions.h"

#include <fmt/format.h>

#include <algorithm>
extern "C" {
#include <libcidr.h>
}

#include "identity/json_members.h"
#include "identity/strict_json.h"

namespace liftrudder::identity {
namespace {

using Json = nlohmann::json;

constexpr std::int64_t kMostSkewS = 300;
constexpr std::int64_t kMostCached = 65536;
constexpr std::int64_t kMostWeight = 1000;
constexpr std::int64_t kMostWork = 1'000'000'000;
constexpr std::int64_t kMostOpen = 1'000'000;

std::shared_ptr<cidr_addr> Prefix(const std::string& text) {
  return {cidr_from_str(text.c_str()), [](cidr_addr* prefix) {
            if (prefix != nullptr) cidr_free(prefix);
          }};
}

std::string ReadPermissions(const Json& value, const std::string& where, Permissions& out) {
  JsonMembers reader(value, where);
  if (!reader.wrong.empty()) return reader.wrong;
  std::vector<std::string> indices, networks, certificates;
  reader.Take("indices", indices);
  reader.Take("partial", out.partial);
  reader.Take("scrolls", out.scrolls);
  reader.Take("pages", out.pages);
  reader.Take("networks", networks);
  reader.Take("certificates", certificates);
  out.weight = static_cast<double>(reader.Number("weight", 1, kMostWeight, 1));
  if (const Json* filter = reader.Member("filter")) {
    if (!filter->is_object() || filter->size() != 1)
      reader.Wrong("[filter] must be a query: an object with one member");
    out.filter = filter->dump();
  }
  std::string wrong;
  if (!Networks::Read(networks, out.networks, wrong))
    reader.Wrong(fmt::format("[networks] '{}' is no prefix such as 10.1.0.0/16 or fd00::/8", wrong));
  // An empty list that lets all in would be a trap for whoever empties it to shut a tenant out.
  if (reader.Member("networks") != nullptr && networks.empty())
    reader.Wrong("[networks] names none; leave it out for any");
  if (networks.size() > kMostNetworks) reader.Wrong(fmt::format("[networks] has over {}", kMostNetworks));
  for (const std::string& name : certificates) {
    auto colon = name.find(':');
    std::string kind = name.substr(0, colon);
    if (colon == std::string::npos || colon + 1 == name.size() ||
        (kind != "dns" && kind != "uri" && kind != "email"))
      reader.Wrong(
          fmt::format("[certificates] '{}' is no name such as dns:a.example, uri:urn:a or email:a@b", name));
  }
  if (certificates.size() > kMostCertificates)
    reader.Wrong(fmt::format("[certificates] has over {}", kMostCertificates));
  out.certificates.insert(certificates.begin(), certificates.end());
  out.indices.insert(indices.begin(), indices.end());
  reader.End();
  return reader.wrong;
}

}  // namespace

bool Networks::Read(const std::vector<std::string>& prefixes, Networks& out, std::string& wrong) {
  for (const std::string& text : prefixes) {
    std::shared_ptr<cidr_addr> prefix = Prefix(text);
    if (prefix == nullptr) {
      wrong = text;
      return false;
    }
    out.prefixes_.push_back(std::move(prefix));
    out.texts_.push_back(text);
  }
  return true;
}

bool Networks::Contain(const std::string& address) const {
  std::string_view plain = address;
  if (plain.starts_with("::ffff:") && plain.find('.') != std::string_view::npos) plain.remove_prefix(7);
  std::shared_ptr<cidr_addr> host = Prefix(std::string(plain));
  if (host == nullptr) return false;
  for (const auto& prefix : prefixes_) {
    if (cidr_get_proto(prefix.get()) == cidr_get_proto(host.get()) &&
        cidr_contains(prefix.get(), host.get()) == 0)
      return true;
  }
  return false;
}

std::variant<PermissionTable, std::string> PermissionTable::Read(std::string_view text) {
  constexpr std::size_t kMostDepth = 24;  // filters are queries, and those nest
  auto read = ReadStrictJson(text, kMaxPermissionTableBytes, kMostDepth);
  if (const auto* wrong = std::get_if<std::string>(&read)) return "identity: " + *wrong;
  PermissionTable out;
  JsonMembers reader(std::get<Json>(read), "identity");
  if (!reader.wrong.empty()) return reader.wrong;
  reader.Take("keys", out.keys_file);
  reader.Take("issuer", out.issuer);
  reader.Take("audience", out.audience);
  out.skew_us = 1'000'000 * reader.Number("skewS", 0, kMostSkewS, 5);
  out.work_per_s = reader.Number("workPerS", 0, kMostWork, 0);
  out.most_open = reader.Number("mostOpen", 0, kMostOpen, 0);
  if ((out.work_per_s == 0) != (out.most_open == 0)) reader.Wrong("[workPerS] and [mostOpen] go together");
  out.most_cached = static_cast<std::size_t>(reader.Number("cached", 1, kMostCached, 1024));
  for (auto [name, value] :
       {std::pair("keys", &out.keys_file), {"issuer", &out.issuer}, {"audience", &out.audience}})
    if (value->empty()) reader.Wrong(fmt::format("[{}] is missing", name));
  const Json* tenants = reader.Member("tenants");
  if (tenants == nullptr || !tenants->is_object() || tenants->empty()) reader.Wrong("[tenants] names none");
  if (!reader.wrong.empty()) return reader.wrong;
  if (tenants->size() > kMostTenants) reader.Wrong(fmt::format("[tenants] has over {}", kMostTenants));
  for (const auto& [name, value] : tenants->items()) {
    auto control = [](char c) { return static_cast<unsigned char>(c) < 0x20; };
    if (name.empty() || name.size() > kMostClaim || std::ranges::any_of(name, control))
      return fmt::format("identity: a tenant's name has 1 to {} bytes, none a control character", kMostClaim);
    auto permissions = std::make_shared<Permissions>();
    std::string wrong = ReadPermissions(value, fmt::format("identity: tenant '{}'", name), *permissions);
    if (!wrong.empty()) return wrong;
    for (const std::string& one : permissions->certificates) {
      if (auto [owner, is_new] = out.by_certificate.emplace(one, name); !is_new)
        return fmt::format("identity: tenant '{}': [certificates] '{}' is tenant '{}''s already", name, one,
                           owner->second);
    }
    out.tenants[name] = std::move(permissions);
  }
  reader.End();
  if (!reader.wrong.empty()) return reader.wrong;
  return out;
}

}  // namespace liftrudder::identity
