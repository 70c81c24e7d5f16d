// The operations of the search API: search, count, scroll and multi-search. Each turns a request into the
// body of its answer. Any thread.
#ifndef LIFTRUDDER_OPENSEARCH_OPERATIONS_H_
#define LIFTRUDDER_OPENSEARCH_OPERATIONS_H_

#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "opensearch/merge.h"
#include "opensearch/options.h"
#include "opensearch/query_runner.h"
#include "opensearch/routes.h"
#include "opensearch/scroll.h"
#include "opensearch/search.h"

namespace liftrudder::opensearch {

// The body of an answer.
using OperationResult = tl::expected<std::string, QueryFailure>;

class Operations {
 public:
  // All arguments must outlive it.
  Operations(const Options& options, QueryRunner& queries, Scrolls& scrolls, const coordinator::Clock& clock)
      : options_(options), queries_(queries), scrolls_(scrolls), clock_(clock) {}

  OperationResult Run(const Route& route, const RequestContext& context);

 private:
  // One search of a multi-search.
  struct MultiSearchEntry {
    std::string index;
    Search search;
    RunningQuery query;
  };
  using MultiSearchEntries = std::vector<tl::expected<MultiSearchEntry, ApiError>>;

  OperationResult SearchIndex(const std::string& index, const RequestContext& context);
  OperationResult CountIndex(const std::string& index, const RequestContext& context);
  OperationResult ContinueScroll(const RequestContext& context);
  OperationResult DeleteScrolls(const RequestContext& context);
  OperationResult MultiSearch(const std::string& path_index, const RequestContext& context);

  // Reports an index that the caller may not use as one that does not exist.
  tl::expected<const IndexOptions*, ApiError> FindIndex(const std::string& index,
                                                        const Principal& principal) const;
  // Reads a search and applies the caller's permissions to it.
  tl::expected<Search, ApiError> ReadAllowed(const net::HttpMessage& request, std::string_view body,
                                             const Principal& principal) const;
  RunningQuery StartSearch(const std::string& index, const Search& search, const RequestContext& context,
                           decision_log::FrontKind front);
  tl::expected<MultiSearchEntry, ApiError> StartItem(const MultiSearchItem& item,
                                                     const std::string& path_index,
                                                     const RequestContext& context);
  // `scroll_id`: the scroll that this page continues; empty for a plain search and for a scroll's first page.
  OperationResult FinishSearch(const std::string& index, const Search& search, const RunningQuery& query,
                               const RequestContext& context, const std::string& scroll_id = {});
  tl::expected<std::string, ApiError> StoreCursor(Cursor next, const std::string& scroll_id);
  AnswerContext MakeAnswerContext(const RunningQuery& query, const coordinator::FinalAnswer& answer,
                                  const net::Exchange& exchange) const;

  const Options& options_;
  QueryRunner& queries_;
  Scrolls& scrolls_;
  const coordinator::Clock& clock_;
};

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_OPERATIONS_H_
