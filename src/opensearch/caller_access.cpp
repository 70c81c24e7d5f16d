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
  limits::TenantQuotaSettings settings;
  settings.work_per_s = static_cast<double>(quota_table_->work_per_s);
  settings.max_in_flight = static_cast<int>(quota_table_->max_open_queries);
  settings.weights = WeightsOf(*quota_table_);
  quotas_.emplace(std::move(settings), seed);
}

tl::expected<Principal, ApiError> CallerAccess::Authenticate(const net::HttpMessage& request,
                                                             const net::Exchange& exchange) {
  if (authenticator_ == nullptr) return Principal{};
  // Several Authorization headers count as an invalid token, even beside a valid client certificate.
  static const std::string invalid_authorization;
  identity::Credentials credentials;
  std::size_t header_count = request.Count(wire::kAuthorizationHeader);
  if (header_count > 0) {
    credentials.authorization =
        header_count == 1 ? request.Header(wire::kAuthorizationHeader) : &invalid_authorization;
  }
  credentials.address = net::PeerHost(exchange.connection->fd());
  net::VerifiedPeer verified = exchange.connection->Peer(clock_.Now());
  credentials.certificate_error = verified.error;
  if (verified.peer != nullptr) credentials.certificate_names = verified.peer->names;
  auto principal = authenticator_->Authenticate(credentials, clock_.Now());
  if (principal) return std::move(*principal);
  const identity::AuthenticationError& error = principal.error();
  counters_.denied_requests.Add();
  Audit(credentials.address, error);
  bool unauthenticated = error.kind == identity::AuthenticationError::Kind::kUnauthenticated;
  return tl::unexpected(unauthenticated ? Unauthorized() : Forbidden("not from here"));
}

void CallerAccess::Audit(const std::string& address, const identity::AuthenticationError& error) {
  std::unique_lock lock(audit_mutex_);
  std::optional<std::int64_t> suppressed = audit_limiter_.TryWrite(clock_.Now());
  lock.unlock();
  if (!suppressed) return;
  std::string tenant = error.tenant.empty() ? "" : ", tenant " + net::json::Quote(error.tenant);
  log::Info("audit: rejected a request from {}: {}{}", address, error.reason, tenant);
  if (*suppressed > 0) log::Info("audit: {} rejections before this one were not logged", *suppressed);
}

QuotaReservation CallerAccess::Reserve(const Principal& principal, std::size_t shard_requests) {
  std::lock_guard lock(quota_mutex_);
  if (!quotas_) return {};
  std::shared_ptr<const identity::PermissionTable> table = authenticator_->permission_table();
  if (table != quota_table_) {
    quotas_->SetWeights(WeightsOf(*table));
    quota_table_ = table;
  }
  limits::TenantQuotas::Decision decision =
      quotas_->Admit(principal.tenant, principal.subject, static_cast<double>(shard_requests), clock_.Now());
  QuotaReservation reservation;
  reservation.admitted = decision.admitted;
  reservation.retry_after_us = decision.retry_after_us;
  if (!decision.admitted) return reservation;
  auto release = [this, tenant = principal.tenant, subject = principal.subject](void*) {
    std::lock_guard release_lock(quota_mutex_);
    quotas_->Release(tenant, subject);
  };
  reservation.release_guard = std::shared_ptr<void>(nullptr, std::move(release));
  return reservation;
}

}  // namespace liftrudder::opensearch
