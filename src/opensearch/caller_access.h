// Authenticates callers, with audit log lines for rejections, and reserves capacity in their tenants' quotas.
// access_control.h and the operations decide what a caller may see of an index. Any thread.
#ifndef LIFTRUDDER_OPENSEARCH_CALLER_ACCESS_H_
#define LIFTRUDDER_OPENSEARCH_CALLER_ACCESS_H_

#include <memory>
#include <mutex>
#include <optional>
#include <tl/expected.hpp>

#include "coordinator/interfaces.h"
#include "identity/authenticator.h"
#include "limits/tenant_quotas.h"
#include "metrics/metrics.h"
#include "net/server.h"
#include "opensearch/errors.h"

namespace liftrudder::opensearch {

// Principal::permissions is null without authentication; every caller may then do everything.
using identity::Principal;

// The capacity that one query takes in its tenant's quota.
struct QuotaReservation {
  bool admitted = true;
  std::shared_ptr<void> release_guard;     // releases the capacity when destroyed; null without quotas
  coordinator::Micros retry_after_us = 0;  // of a rejected query: the wait before a retry
};

class CallerAccess {
 public:
  // `authenticator`: null without authentication. All arguments must outlive it.
  CallerAccess(identity::Authenticator* authenticator, const coordinator::Clock& clock,
               metrics::Counters& counters, std::uint64_t seed);

  // Counts every rejection and writes it to the audit log at a limited rate. The caller is not told the
  // reason.
  tl::expected<Principal, ApiError> Authenticate(const net::HttpMessage& request,
                                                 const net::Exchange& exchange);
  // Reserves capacity for a query of `shard_requests` shard requests.
  QuotaReservation Reserve(const Principal& principal, std::size_t shard_requests);

 private:
  void Audit(const std::string& address, const identity::AuthenticationError& error);

  identity::Authenticator* authenticator_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;
  std::mutex audit_mutex_;
  identity::AuditLimiter audit_limiter_;  // guarded by audit_mutex_
  std::mutex quota_mutex_;
  std::shared_ptr<const identity::PermissionTable>
      quota_table_;                             // the source of quotas_' weights; guarded by quota_mutex_
  std::optional<limits::TenantQuotas> quotas_;  // guarded by quota_mutex_; none: no limits
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_CALLER_ACCESS_H_
