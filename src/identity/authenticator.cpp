#include "identity/authenticator.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace liftrudder::identity {
namespace {

// RFC 6750 section 2.1; the scheme's letters in any case, as RFC 9110 section 11.1 has it.
std::optional<std::string_view> Bearer(std::string_view text) {
  constexpr std::string_view kScheme = "bearer ";
  if (text.size() <= kScheme.size()) return std::nullopt;
  for (std::size_t i = 0; i < kScheme.size(); ++i)
    if ((text[i] >= 'A' && text[i] <= 'Z' ? text[i] + ('a' - 'A') : text[i]) != kScheme[i])
      return std::nullopt;
  text.remove_prefix(text.find_first_not_of(' ', kScheme.size()) == std::string_view::npos
                         ? text.size()
                         : text.find_first_not_of(' ', kScheme.size()));
  return text;
}

}  // namespace

Authenticator::Authenticator(PermissionTable permission_table)
    : token_verifier_(Rules{permission_table.issuer, permission_table.audience, permission_table.skew_us},
                      permission_table.most_cached),
      permission_table_(std::make_shared<const PermissionTable>(std::move(permission_table))) {}

std::shared_ptr<const PermissionTable> Authenticator::permission_table() const {
  std::lock_guard lock(mutex_);
  return permission_table_;
}

std::optional<std::string> Authenticator::TakeKeys(std::string_view text, std::vector<std::string>& changes) {
  auto read = KeySet::Read(text);
  if (auto* wrong = std::get_if<std::string>(&read)) return std::move(*wrong);
  auto keys = std::get<std::shared_ptr<const KeySet>>(read);
  auto before = token_verifier_.keys();
  if (auto wrong = token_verifier_.Replace(keys)) return wrong;
  changes = Differences(*before, *keys);
  return std::nullopt;
}

std::optional<std::string> Authenticator::TakePermissions(PermissionTable permission_table,
                                                          std::vector<std::string>& changes) {
  std::shared_ptr<const PermissionTable> before = this->permission_table();
  // Cached tokens were held against these; a program that changed them in service would need both at once.
  if (permission_table.issuer != before->issuer || permission_table.audience != before->audience ||
      permission_table.skew_us != before->skew_us || permission_table.work_per_s != before->work_per_s ||
      permission_table.most_open != before->most_open)
    return "issuer, audience, skewS, workPerS and mostOpen change with a restart only";
  for (const auto& [name, permissions] : before->tenants)
    if (!permission_table.tenants.contains(name)) changes.push_back(fmt::format("tenant '{}' is gone", name));
  for (const auto& [name, permissions] : permission_table.tenants) {
    auto old = before->tenants.find(name);
    if (old == before->tenants.end()) changes.push_back(fmt::format("tenant '{}' is new", name));
    // Rights that are the same stay the same object: what was begun under them goes on.
    if (old != before->tenants.end() && *old->second == *permissions)
      permission_table.tenants[name] = old->second;
    if (old != before->tenants.end() && !(*old->second == *permissions))
      changes.push_back(fmt::format("tenant '{}' has other rights", name));
  }
  std::lock_guard lock(mutex_);
  permission_table_ = std::make_shared<const PermissionTable>(std::move(permission_table));
  return std::nullopt;
}

std::variant<Principal, Refusal> Authenticator::Admit(const Presented& presented, Micros now_us) {
  if (!presented.wrong.empty()) return Refusal{"certificate: " + presented.wrong, true, ""};
  std::shared_ptr<const PermissionTable> permission_table = this->permission_table();
  VerifiedToken caller;
  for (const std::string& name : presented.names) {
    auto owner = permission_table->by_certificate.find(name);
    if (owner == permission_table->by_certificate.end()) continue;
    if (!caller.tenant.empty() && caller.tenant != owner->second)
      return Refusal{"a certificate with names of two tenants", true, caller.tenant};
    // Never the same text as a token's subject: they have different accounts.
    if (caller.tenant.empty()) caller.subject = "certificate " + name;
    caller.tenant = owner->second;
  }
  if (presented.authorization != nullptr) {
    auto token = Bearer(*presented.authorization);
    if (!token) return Refusal{"no bearer token", true, ""};
    auto admitted = token_verifier_.Admit(*token, now_us);
    if (const auto* denial = std::get_if<Denial>(&admitted))
      return Refusal{std::string(Name(*denial)), true, ""};
    auto& told = std::get<VerifiedToken>(admitted);
    if (!caller.tenant.empty() && caller.tenant != told.tenant)
      return Refusal{"a token of another tenant than the certificate", true, told.tenant};
    caller = std::move(told);
  } else if (caller.tenant.empty()) {
    return Refusal{presented.names.empty() ? "no token" : "no token, and no tenant for the certificate", true,
                   ""};
  }
  auto found = permission_table->tenants.find(caller.tenant);
  if (found == permission_table->tenants.end()) return Refusal{"unknown tenant", true, caller.tenant};
  if (!found->second->networks.empty() && !found->second->networks.Contain(presented.address))
    return Refusal{"not from this network", false, caller.tenant};
  return Principal{std::move(caller.tenant), std::move(caller.subject), found->second};
}

bool AuditLimiter::Take(Micros now_us, std::int64_t& unwritten) {
  tokens_ = std::min(kBurst, tokens_ + kLinesPerSecond * static_cast<double>(now_us - filled_us_) / 1e6);
  filled_us_ = now_us;
  if (tokens_ < 1) {
    ++unwritten_;
    return false;
  }
  tokens_ -= 1;
  unwritten = std::exchange(unwritten_, 0);
  return true;
}

}  // namespace liftrudder::identity
