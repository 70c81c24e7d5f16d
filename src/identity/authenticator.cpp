#include "identity/authenticator.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace liftrudder::identity {
namespace {

using Kind = AuthenticationError::Kind;

struct Caller {
  std::string tenant;
  std::string subject;
};

tl::unexpected<AuthenticationError> Unauthenticated(std::string reason, std::string tenant = "") {
  return tl::unexpected(AuthenticationError{Kind::kUnauthenticated, std::move(reason), std::move(tenant)});
}

char ToLowerAscii(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c; }

// RFC 6750 section 2.1; the scheme is case-insensitive (RFC 9110 section 11.1).
std::optional<std::string_view> BearerToken(std::string_view authorization) {
  constexpr std::string_view kScheme = "bearer ";
  if (authorization.size() <= kScheme.size()) return std::nullopt;
  auto same_letter = [](char given, char expected) { return ToLowerAscii(given) == expected; };
  if (!std::ranges::equal(authorization.substr(0, kScheme.size()), kScheme, same_letter)) return std::nullopt;
  auto token_start = authorization.find_first_not_of(' ', kScheme.size());
  authorization.remove_prefix(std::min(token_start, authorization.size()));
  return authorization;
}

// Finds the tenant that lists the certificate's names; the tenant is empty if none does.
tl::expected<Caller, AuthenticationError> CallerOfCertificate(const PermissionTable& table,
                                                              const std::vector<std::string>& names) {
  Caller caller;
  for (const std::string& name : names) {
    auto owner = table.tenant_by_certificate.find(name);
    if (owner == table.tenant_by_certificate.end()) continue;
    if (caller.tenant.empty()) {
      // The prefix keeps the certificate's quota apart from that of a token whose subject is the same name.
      caller = {owner->second, "certificate " + name};
    } else if (caller.tenant != owner->second) {
      return Unauthenticated("certificate has names of two tenants", caller.tenant);
    }
  }
  return caller;
}

// Returns whether a member differs whose change needs a restart: cached tokens were verified with the issuer,
// the audience and the clock skew, and the quotas are created once, from work_per_s and max_open_queries.
bool NeedsRestart(const PermissionTable& before, const PermissionTable& after) {
  return after.issuer != before.issuer || after.audience != before.audience ||
         after.clock_skew_us != before.clock_skew_us || after.work_per_s != before.work_per_s ||
         after.max_open_queries != before.max_open_queries;
}

}  // namespace

Authenticator::Authenticator(PermissionTable permission_table)
    : token_verifier_(TokenRequirements{permission_table.issuer, permission_table.audience,
                                        permission_table.clock_skew_us},
                      permission_table.max_cached_tokens),
      permission_table_(std::make_shared<const PermissionTable>(std::move(permission_table))) {}

std::shared_ptr<const PermissionTable> Authenticator::permission_table() const {
  std::lock_guard lock(mutex_);
  return permission_table_;
}

tl::expected<Authenticator::Changes, ReadError> Authenticator::ReplaceKeys(std::string_view text) {
  auto keys = KeySet::Parse(text);
  if (!keys) return tl::unexpected(keys.error());
  auto before = token_verifier_.keys();
  if (auto error = token_verifier_.ReplaceKeys(*keys)) return tl::unexpected(std::move(*error));
  return Differences(*before, **keys);
}

tl::expected<Authenticator::Changes, ReadError> Authenticator::ReplacePermissions(
    PermissionTable permission_table) {
  std::shared_ptr<const PermissionTable> before = this->permission_table();
  if (NeedsRestart(*before, permission_table)) {
    return tl::unexpected(ReadError{
        "identity",
        "[issuer], [audience], [skewS], [workPerS] and [mostOpen] can be changed only by a restart"});
  }
  Changes changes;
  for (const auto& [name, permissions] : before->tenants) {
    if (!permission_table.tenants.contains(name)) changes.push_back(fmt::format("tenant '{}' removed", name));
  }
  for (auto& [name, permissions] : permission_table.tenants) {
    auto old = before->tenants.find(name);
    if (old == before->tenants.end()) {
      changes.push_back(fmt::format("tenant '{}' added", name));
    } else if (*old->second == *permissions) {
      // Keeps the object: scrolls compare pointers to detect that their tenant's permissions have changed.
      permissions = old->second;
    } else {
      changes.push_back(fmt::format("permissions of tenant '{}' changed", name));
    }
  }
  std::lock_guard lock(mutex_);
  permission_table_ = std::make_shared<const PermissionTable>(std::move(permission_table));
  return changes;
}

tl::expected<Principal, AuthenticationError> Authenticator::Authenticate(const Credentials& credentials,
                                                                         Micros now_us) {
  if (!credentials.certificate_error.empty()) {
    return Unauthenticated("certificate: " + credentials.certificate_error);
  }
  std::shared_ptr<const PermissionTable> table = permission_table();
  auto caller = CallerOfCertificate(*table, credentials.certificate_names);
  if (!caller) return tl::unexpected(caller.error());
  if (credentials.authorization != nullptr) {
    auto token_text = BearerToken(*credentials.authorization);
    if (!token_text) return Unauthenticated("no bearer token");
    auto token = token_verifier_.Verify(*token_text, now_us);
    if (!token) return Unauthenticated(std::string(Name(token.error())));
    bool other_tenant = !caller->tenant.empty() && caller->tenant != token->tenant;
    if (other_tenant) return Unauthenticated("token and certificate name different tenants", token->tenant);
    *caller = {std::move(token->tenant), std::move(token->subject)};
  } else if (caller->tenant.empty()) {
    bool no_certificate = credentials.certificate_names.empty();
    return Unauthenticated(no_certificate ? "no token" : "no token, and no tenant lists the certificate");
  }
  auto found = table->tenants.find(caller->tenant);
  if (found == table->tenants.end()) return Unauthenticated("unknown tenant", caller->tenant);
  const Networks& networks = found->second->networks;
  if (!networks.empty() && !networks.Contains(credentials.address)) {
    return tl::unexpected(AuthenticationError{
        Kind::kForbidden, "client address is outside the tenant's networks", caller->tenant});
  }
  return Principal{std::move(caller->tenant), std::move(caller->subject), found->second};
}

std::optional<std::int64_t> AuditLimiter::TryWrite(Micros now_us) {
  constexpr double kMicrosPerSecond = 1e6;
  double refill = kLinesPerSecond * static_cast<double>(now_us - refilled_us_) / kMicrosPerSecond;
  tokens_ = std::min(kBurstLines, tokens_ + refill);
  refilled_us_ = now_us;
  if (tokens_ < 1) {
    ++suppressed_;
    return std::nullopt;
  }
  tokens_ -= 1;
  return std::exchange(suppressed_, 0);
}

}  // namespace liftrudder::identity
