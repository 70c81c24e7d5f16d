// The search API's front: translates requests into queries of the core and its answers back.
#ifndef LIFTRUDDER_OPENSEARCH_FRONT_H_
#define LIFTRUDDER_OPENSEARCH_FRONT_H_

#include <atomic>
#include <variant>

#include "core/core.h"
#include "net/server.h"
#include "opensearch/merge.h"
#include "opensearch/scroll.h"
#include "why/desk.h"

namespace liftrudder::opensearch {

class Front : public net::Handler {
 public:
  Front(const config::Config& config, const Options& options, core::Core& core, const core::Clock& clock,
        metrics::Counters& counters, why::Desk* desk);

  std::optional<net::HttpResponse> Handle(net::HttpMessage& request, const net::Exchange& exchange) override;
  net::HttpResponse Malformed(int status) override;
  net::HttpResponse Overloaded() override;
  void Wrote(const std::vector<net::Served>& served, int status, std::size_t bytes, bool whole) override;

 private:
  // One query given to the core, and who waits for it.
  struct Asked {
    std::shared_ptr<net::WaitingReply> reply;
    std::optional<core::Id> id;  // nothing: refused at admission
    core::Micros deadline_us = 0;
    const IndexOptions* index = nullptr;
    bool whole = false;  // an answer in part will not do
  };
  struct Gone {};
  using Came = std::variant<core::FinalAnswer, ApiError, Gone>;
  using Result = std::variant<std::string, ApiError, Gone>;

  Asked Ask(const IndexOptions& index, std::string target, std::string body, why::FrontKind kind, bool whole,
            const net::HttpMessage& request, const net::Exchange& exchange);
  Came Await(const Asked& asked, const net::Exchange& exchange);
  Coming HowItCame(const Asked& asked, const core::FinalAnswer& answer, const net::Exchange& exchange) const;
  Asked AskSearch(const std::string& index, const Search& search, const net::HttpMessage& request,
                  const net::Exchange& exchange, why::FrontKind kind);
  Result FinishSearch(const std::string& index, const Search& search, const Asked& asked,
                      const net::Exchange& exchange, const std::string& scroll_id = {});
  std::optional<ApiError> Locate(const std::string& index) const;

  Result DoSearch(const std::string& index, const net::HttpMessage& request, const net::Exchange& exchange);
  Result DoCount(const std::string& index, const net::HttpMessage& request, const net::Exchange& exchange);
  Result DoScroll(const net::HttpMessage& request, const net::Exchange& exchange);
  Result DropScroll(const net::HttpMessage& request);
  Result DoMany(const std::string& index, const net::HttpMessage& request, const net::Exchange& exchange);
  Result Route(const net::HttpMessage& request, const net::Exchange& exchange);

  const config::Config& config_;
  const Options& options_;
  core::Core& core_;
  const core::Clock& clock_;
  metrics::Counters& counters_;
  why::Desk* desk_;  // null: nothing is recorded
  Scrolls scrolls_;
  std::atomic<std::uint64_t> asked_{0};
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_FRONT_H_
