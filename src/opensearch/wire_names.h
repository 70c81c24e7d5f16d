// Names of the search API: paths, headers, parameters, members of bodies, error types and members of the
// options file. Most are defined by OpenSearch's REST API. Clients, endpoints and operators depend on all of
// them.
#ifndef LIFTRUDDER_OPENSEARCH_WIRE_NAMES_H_
#define LIFTRUDDER_OPENSEARCH_WIRE_NAMES_H_

#include <string_view>

namespace liftrudder::opensearch::wire {

// Paths of the coordinator's own pages.
inline constexpr std::string_view kReadyPath = "/-/ready";
inline constexpr std::string_view kHealthyPath = "/-/healthy";
inline constexpr std::string_view kMetricsPath = "/-/metrics";
inline constexpr std::string_view kExplainPath = "/-/why";
inline constexpr std::string_view kPagePrefix = "/-/";

// Path segments.
inline constexpr std::string_view kSearchSegment = "_search";
inline constexpr std::string_view kCountSegment = "_count";
inline constexpr std::string_view kMultiSearchSegment = "_msearch";
inline constexpr std::string_view kScrollSegment = "scroll";
inline constexpr std::string_view kAllIndices = "_all";
inline constexpr std::string_view kAllScrolls = "_all";

// Headers. The opaque id is the sender's own label for a request: the client's on requests to this program,
// the attempt's id on requests to endpoints.
inline constexpr const char* kOpaqueIdHeader = "X-Opaque-Id";
inline constexpr const char* kTimeoutHeader = "X-Budget";
inline constexpr const char* kAuthorizationHeader = "Authorization";
inline constexpr const char* kAuthenticateHeader = "WWW-Authenticate";
inline constexpr const char* kRetryAfterHeader = "Retry-After";

// URL parameters and members of a request's body.
inline constexpr std::string_view kFrom = "from";
inline constexpr std::string_view kSize = "size";
inline constexpr std::string_view kSort = "sort";
inline constexpr std::string_view kScroll = "scroll";
inline constexpr std::string_view kScrollId = "scroll_id";
inline constexpr std::string_view kAllowPartial = "allow_partial_search_results";
inline constexpr std::string_view kSearchAfter = "search_after";
inline constexpr std::string_view kQuery = "query";
inline constexpr std::string_view kPostFilter = "post_filter";
inline constexpr std::string_view kExplain = "explain";
inline constexpr std::string_view kQueryString = "q";
inline constexpr std::string_view kIndex = "index";
inline constexpr std::string_view kOrder = "order";
inline constexpr std::string_view kMissing = "missing";
inline constexpr std::string_view kAscending = "asc";
inline constexpr std::string_view kDescending = "desc";
inline constexpr std::string_view kMissingFirst = "_first";
inline constexpr std::string_view kMissingLast = "_last";
inline constexpr std::string_view kScoreField = "_score";
inline constexpr std::string_view kDocField = "_doc";
inline constexpr std::string_view kIdField = "_id";

// Members of an endpoint's response.
inline constexpr std::string_view kError = "error";
inline constexpr std::string_view kTimedOut = "timed_out";
inline constexpr std::string_view kShards = "_shards";
inline constexpr std::string_view kSuccessful = "successful";
inline constexpr std::string_view kFailed = "failed";
inline constexpr std::string_view kCount = "count";
inline constexpr std::string_view kHits = "hits";
inline constexpr std::string_view kTotal = "total";
inline constexpr std::string_view kValue = "value";
inline constexpr std::string_view kRelation = "relation";
inline constexpr std::string_view kExactRelation = "eq";
inline constexpr std::string_view kLowerBoundRelation = "gte";
inline constexpr std::string_view kMaxScore = "max_score";

// Error types.
inline constexpr const char* kIllegalArgument = "illegal_argument_exception";
inline constexpr const char* kParsing = "parsing_exception";
inline constexpr const char* kSecurity = "security_exception";
inline constexpr const char* kIndexNotFound = "index_not_found_exception";
inline constexpr const char* kRejectedExecution = "rejected_execution_exception";
inline constexpr const char* kTimeout = "timeout_exception";
inline constexpr const char* kSearchPhase = "search_phase_execution_exception";
inline constexpr const char* kScrollMissing = "search_context_missing_exception";

// Members of the options file.
inline constexpr std::string_view kOptions = "opensearch";
inline constexpr std::string_view kIndices = "indices";
inline constexpr std::string_view kClass = "class";
inline constexpr std::string_view kWholeClass = "whole_class";
inline constexpr std::string_view kWeights = "weights";
inline constexpr std::string_view kShardList = "shards";
inline constexpr std::string_view kResultWindow = "result_window";
inline constexpr std::string_view kMaxScrolls = "max_scrolls";
inline constexpr std::string_view kMaxKeepAliveS = "max_keep_alive_s";
inline constexpr std::string_view kTiebreak = "tiebreak";

}  // namespace liftrudder::opensearch::wire

#endif  // LIFTRUDDER_OPENSEARCH_WIRE_NAMES_H_
