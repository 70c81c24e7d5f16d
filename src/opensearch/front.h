// The search API's front: translates requests into queries of the core and its answers back.
#ifndef LIFTRUDDER_OPENSEARCH_FRONT_H_
#define LIFTRUDDER_OPENSEARCH_FRONT_H_

#include <atomic>
#include <mutex>
#include <variant>

#include "coordinator/coordinator.h"
#include "decision_log/explain_service.h"
#include "identity/authenticator.h"
#include "limits/tenant_quotas.h"
#include "net/server.h"
#include "opensearch/merge.h"
#include "opensearch/scroll.h"

namespace liftrudder::opensearch {

class Front : public net::Handler {
 public:
  Front(const config::Config& config, const Options& options, coordinator::Coordinator& coordinator,
        const coordinator::Clock& clock, metrics::Counters& counters,
        decision_log::ExplainService* explain_service, identity::Authenticator* authenticator);

  std::optional<net::HttpResponse> Handle(net::HttpMessage& request, const net::Exchange& exchange) override;
  net::HttpResponse Malformed(int status) override;
  net::HttpResponse Overloaded(const net::HttpMessage* request) override;
  void Wrote(const std::vector<net::AnsweredQuery>& answered_queries, int status, std::size_t bytes, bool whole) override;

 private:
  // One query given to the core, and who waits for it.
  struct Asked {
    std::shared_ptr<net::WaitingReply> reply;
    std::optional<coordinator::Id> id;  // nothing: refused at admission
    coordinator::Micros deadline_us = 0;
    const IndexOptions* index = nullptr;
    bool whole = false;                      // an answer in part will not do
    coordinator::Micros retry_after_us = 0;  // refused at its tenant's account
    std::shared_ptr<void> place;             // in that account, given back when this ends
  };
  struct Gone {};
  // Who asks; without rights where callers are not told apart, and all may.
  using Principal = identity::Principal;
  using Came = std::variant<coordinator::FinalAnswer, ApiError, Gone>;
  using Result = std::variant<std::string, ApiError, Gone>;

  Asked Ask(const IndexOptions& index, std::string target, std::string body, decision_log::FrontKind kind,
            bool whole, const net::HttpMessage& request, const net::Exchange& exchange,
            const Principal& principal);
  Came Await(const Asked& asked, const net::Exchange& exchange);
  Coming HowItCame(const Asked& asked, const coordinator::FinalAnswer& answer,
                   const net::Exchange& exchange) const;
  Asked AskSearch(const std::string& index, const Search& search, const net::HttpMessage& request,
                  const net::Exchange& exchange, const Principal& principal, decision_log::FrontKind kind);
  Result FinishSearch(const std::string& index, const Search& search, const Asked& asked,
                      const net::Exchange& exchange, const Principal& principal,
                      const std::string& scroll_id = {});
  std::optional<ApiError> Locate(const std::string& index, const Principal& principal) const;
  std::optional<ApiError> LetIn(const net::HttpMessage& request, const net::Exchange& exchange,
                                Principal& out);
  std::optional<ApiError> Read(const net::HttpMessage& request, std::string_view body,
                               const Principal& principal, Search& out) const;
  // Takes a place for a query of so much work; false with the time to come back where there is none.
  bool TakePlace(const Principal& principal, double cost, Asked& asked);
  net::HttpResponse Turned(const ApiError& error) const;

  Result DoSearch(const std::string& index, const net::HttpMessage& request, const net::Exchange& exchange,
                  const Principal& principal);
  Result DoCount(const std::string& index, const net::HttpMessage& request, const net::Exchange& exchange,
                 const Principal& principal);
  Result DoScroll(const net::HttpMessage& request, const net::Exchange& exchange, const Principal& principal);
  Result DropScroll(const net::HttpMessage& request, const Principal& principal);
  Result DoMany(const std::string& index, const net::HttpMessage& request, const net::Exchange& exchange,
                const Principal& principal);
  Result Route(const net::HttpMessage& request, const net::Exchange& exchange, const Principal& principal);

  const config::Config& config_;
  const Options& options_;
  coordinator::Coordinator& coordinator_;
  const coordinator::Clock& clock_;
  metrics::Counters& counters_;
  decision_log::ExplainService* explain_service_;  // null: nothing is recorded
  identity::Authenticator* authenticator_;         // null: callers are not told apart
  std::mutex audit_mutex_;
  identity::AuditLimiter audit_;
  std::mutex shares_mutex_;
  std::shared_ptr<const identity::PermissionTable> shared_by_;  // whose weights the accounts have
  std::optional<limits::TenantQuotas> accounts_;
  Scrolls scrolls_;
  std::atomic<std::uint64_t> asked_{0};
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_FRONT_H_
