#include "opensearch/caller_access.h"

#include <string>

#include "log/log.h"
#include "net/json.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

std::map<std::string, double, std::less<>> WeightsOf(const identity::PermissionTable& table) {
  std::map<std::string, double, std::less<>> weights;
  for (const auto& [tenant, permissions] : table.tenants) weights[tenant] = permissions->weight;
  return weights;
}

}  // namespace

CallerAccess::CallerAccess(identity::Authenticator* authenticator, const coordinator::Clock& clock,
                           metrics::Counters& counters, std::uint64_t seed)
    : authenticator_(authenticator), clock_(clock), counters_(counters) {
  if (authenticator == nullptr || authenticator->permission_table()->work_per_s == 0) return;
  quota_table_ = authenticator->permission_table();
  limits::ShareSettings settings;
  settings.work_per_s = static_cast<double>(quota_table_->work_per_s);
  settings.most_open = static_cast<int>(quota_table_->most_open);
  settings.weights = WeightsOf(*quota_table_);
  quotas_.emplace(std::move(settings), seed);
}

tl::expected<Principal, ApiError> CallerAccess::Authenticate(const net::HttpMessage& request,
                                                             const net::Exchange& exchange) {
  if (authenticator_ == nullptr) return Principal{};
  // Several tokens are no good one, whatever else the connection shows.
  static const std::string several_tokens;
  identity::Presented presented;
  std::size_t tokens = request.Count(wire::kAuthorizationHeader);
  if (tokens > 0) {
    presented.authorization = tokens == 1 ? request.Header(wire::kAuthorizationHeader) : &several_tokens;
  }
  presented.address = net::PeerHost(exchange.line->fd());
  if (const net::TlsPeer* peer = exchange.line->Peer(clock_.Now(), presented.wrong)) {
    presented.names = peer->names;
  }
  auto admitted = authenticator_->Admit(presented, clock_.Now());
  if (auto* principal = std::get_if<Principal>(&admitted)) return std::move(*principal);
  const auto& refusal = std::get<identity::Refusal>(admitted);
  counters_.denied.Add();
  Audit(presented.address, refusal);
  return tl::unexpected(refusal.unknown ? Unauthorized() : Forbidden("not from here"));
}

void CallerAccess::Audit(const std::string& address, const identity::Refusal& refusal) {
  std::int64_t unwritten = 0;
  std::unique_lock lock(audit_mutex_);
  bool write = audit_limiter_.Take(clock_.Now(), unwritten);
  lock.unlock();
  if (!write) return;
  std::string tenant = refusal.tenant.empty() ? "" : ", tenant " + net::json::Quote(refusal.tenant);
  log::Info("audit: refused from {}: {}{}", address, refusal.reason, tenant);
  if (unwritten > 0) log::Info("audit: {} refusals before it were not written", unwritten);
}

QuotaReservation CallerAccess::Reserve(const Principal& principal, std::size_t shard_requests) {
  std::lock_guard lock(quota_mutex_);
  if (!quotas_) return {};
  std::shared_ptr<const identity::PermissionTable> table = authenticator_->permission_table();
  if (table != quota_table_) {
    quotas_->Take(WeightsOf(*table));
    quota_table_ = table;
  }
  auto verdict =
      quotas_->Ask(principal.tenant, principal.subject, static_cast<double>(shard_requests), clock_.Now());
  QuotaReservation reservation;
  reservation.granted = verdict.granted;
  reservation.retry_after_us = verdict.retry_after_us;
  if (!verdict.granted) return reservation;
  auto give_back = [this, tenant = principal.tenant, subject = principal.subject](void*) {
    std::lock_guard again(quota_mutex_);
    quotas_->End(tenant, subject);
  };
  reservation.held = std::shared_ptr<void>(nullptr, std::move(give_back));
  return reservation;
}

}  // namespace liftrudder::opensearch
