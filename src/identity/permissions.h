// What a tenant may ask for and from where: read from the operator's file, then looked up for each request.
// No I/O. A Book never changes once read; a request that was let in keeps the Rights it was let in with.
#ifndef LIFTRUDDER_IDENTITY_PERMISSIONS_H_
#define LIFTRUDDER_IDENTITY_PERMISSIONS_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "identity/token.h"

struct cidr_addr;

namespace liftrudder::identity {

constexpr std::size_t kMaxPermissionTableBytes = 1024 * 1024;
constexpr std::size_t kMostTenants = 4096;
constexpr std::size_t kMostNetworks = 64;      // of one tenant
constexpr std::size_t kMostCertificates = 64;  // names of one tenant's

// IPv4 and IPv6 prefixes. An IPv4 address that came in IPv6's form is held against IPv4's prefixes.
class Networks {
 public:
  // Nothing where one of them is no prefix; `wrong` is set to it.
  static bool Read(const std::vector<std::string>& prefixes, Networks& out, std::string& wrong);
  bool Contain(const std::string& address) const;
  bool empty() const { return prefixes_.empty(); }
  bool operator==(const Networks& other) const { return texts_ == other.texts_; }

 private:
  std::vector<std::string> texts_;
  std::vector<std::shared_ptr<cidr_addr>> prefixes_;
};

struct Permissions {
  std::set<std::string, std::less<>> indices;  // "*": all
  bool partial = true;                         // answers in part
  bool scrolls = true;
  bool pages = false;  // /-/metrics and /-/why, which tell of all tenants
  double weight = 1;   // of its share of the work, where that is limited
  std::string filter;  // a query of the search API that every search of it is confined to; empty: none
  Networks networks;   // empty: from anywhere
  std::set<std::string> certificates;  // names of clients' certificates that are its own, as dns:a.example

  bool operator==(const Permissions&) const = default;
  bool MayIndex(std::string_view name) const { return indices.contains(name) || indices.contains("*"); }
};

struct PermissionTable {
  std::string keys_file, issuer, audience;
  Micros skew_us = 5'000'000;
  std::size_t most_cached = 1024;
  // Of all tenants together, shared out by weight; 0: no limit. Work is counted in parts of queries.
  std::int64_t work_per_s = 0, most_open = 0;
  std::map<std::string, std::shared_ptr<const Permissions>, std::less<>> tenants;
  std::map<std::string, std::string, std::less<>> by_certificate;  // a certificate's name: its tenant

  // The file's "identity" member, or what is wrong and where.
  static std::variant<PermissionTable, std::string> Read(std::string_view text);
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_PERMISSIONS_H_
