// The permissions of each tenant: parsed from the operator's file, then looked up for each request. No I/O. A
// PermissionTable is immutable once parsed; a request keeps the Permissions that it was admitted with.
#ifndef LIFTRUDDER_IDENTITY_PERMISSIONS_H_
#define LIFTRUDDER_IDENTITY_PERMISSIONS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "identity/read_error.h"
#include "identity/token.h"

struct cidr_addr;

namespace liftrudder::identity {

constexpr std::size_t kMaxPermissionTableBytes = 1024 * 1024;
constexpr std::size_t kMaxTenants = 4096;
constexpr std::size_t kMaxNetworks = 64;      // of one tenant
constexpr std::size_t kMaxCertificates = 64;  // names of one tenant's certificates

struct InvalidPrefix {
  std::string text;
};

// IPv4 and IPv6 prefixes. An IPv4 address mapped into IPv6 is matched against the IPv4 prefixes.
class Networks {
 public:
  static tl::expected<Networks, InvalidPrefix> Parse(const std::vector<std::string>& prefixes);

  bool Contains(const std::string& address) const;
  bool empty() const { return prefixes_.empty(); }
  bool operator==(const Networks& other) const { return texts_ == other.texts_; }

 private:
  std::vector<std::string> texts_;
  std::vector<std::shared_ptr<cidr_addr>> prefixes_;
};

struct Permissions {
  std::set<std::string, std::less<>> indices;  // "*": all
  bool partial = true;                         // partial results
  bool scrolls = true;
  bool pages = false;                  // /-/metrics and /-/why, which show data of all tenants
  double weight = 1;                   // relative share of the limits on all tenants
  std::string filter;                  // a query that restricts all searches; empty: none
  Networks networks;                   // empty: any address
  std::set<std::string> certificates;  // names in clients' certificates, for instance dns:a.example

  bool operator==(const Permissions&) const = default;
  bool AllowsIndex(std::string_view name) const { return indices.contains(name) || indices.contains("*"); }
};

struct PermissionTable {
  std::string keys_file;
  std::string issuer;
  std::string audience;
  Micros clock_skew_us = 5'000'000;
  std::size_t max_cached_tokens = 1024;
  // Limits on all tenants together, divided by weight; both 0: no limits. Work is counted in shard
  // requests.
  std::int64_t work_per_s = 0;
  std::int64_t max_open_queries = 0;
  std::map<std::string, std::shared_ptr<const Permissions>, std::less<>> tenants;
  std::map<std::string, std::string, std::less<>> tenant_by_certificate;

  // Parses the "identity" member of the operator's file.
  static tl::expected<PermissionTable, ReadError> Parse(std::string_view text);
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_PERMISSIONS_H_
