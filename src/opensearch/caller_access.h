// Who asks, and whether there is room in their quota: authentication with its audit lines, and reservations
// of work. What a caller may see of an index, access_control.h and the operations decide. Any thread.
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

// Without permissions where callers are not told apart, and all may.
using identity::Principal;

// Room for one query in its tenant's quota.
struct QuotaReservation {
  bool admitted = true;
  std::shared_ptr<void> held;              // given back when this ends; null where there are no quotas
  coordinator::Micros retry_after_us = 0;  // where it is not admitted: when to ask again
};

class CallerAccess {
 public:
  // `authenticator`: null where callers are not told apart. All must outlive it.
  CallerAccess(identity::Authenticator* authenticator, const coordinator::Clock& clock,
               metrics::Counters& counters, std::uint64_t seed);

  // Every rejection is counted and, bounded in rate, logged for the operators; the caller learns less.
  tl::expected<Principal, ApiError> Authenticate(const net::HttpMessage& request,
                                                 const net::Exchange& exchange);
  // Reserves room for a query of so many shard requests.
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
      quota_table_;                             // whose weights the quotas have; by quota_mutex_
  std::optional<limits::TenantQuotas> quotas_;  // guarded by quota_mutex_; none: no limits
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_CALLER_ACCESS_H_
