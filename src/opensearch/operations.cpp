#include "opensearch/operations.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "net/json.h"
#include "opensearch/requests.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

constexpr coordinator::Micros kScrollRetryUs = 1'000'000;

// Sets the status of a multi-search's item in the exchange's list of answered queries.
void SetStatus(const RunningQuery& query, int status, const net::Exchange& exchange) {
  for (net::AnsweredQuery& answered : *exchange.answered_queries) {
    if (query.id == answered.query) answered.status = status;
  }
}

const std::string& FilterOf(const Principal& principal) {
  static const std::string no_filter;
  return principal.permissions == nullptr ? no_filter : principal.permissions->filter;
}

}  // namespace

OperationResult Operations::Run(const Route& route, const RequestContext& context) {
  switch (route.operation) {
    case Operation::kSearch:
      return SearchIndex(route.index, context);
    case Operation::kCount:
      return CountIndex(route.index, context);
    case Operation::kMultiSearch:
      return MultiSearch(route.index, context);
    case Operation::kScroll:
      return ContinueScroll(context);
    case Operation::kDeleteScroll:
      break;
  }
  return DeleteScrolls(context);
}

tl::expected<const IndexOptions*, ApiError> Operations::FindIndex(const std::string& index,
                                                                  const Principal& principal) const {
  if (index.find_first_of(",*") != std::string::npos || index == wire::kAllIndices) {
    return tl::unexpected(BadRequest("a search of several indices is not supported; name one"));
  }
  bool allowed = principal.permissions == nullptr || principal.permissions->AllowsIndex(index);
  auto found = options_.indices.find(index);
  if (!allowed || found == options_.indices.end()) return tl::unexpected(NoSuchIndex(index));
  return &found->second;
}

tl::expected<Search, ApiError> Operations::ReadAllowed(const net::HttpMessage& request, std::string_view body,
                                                       const Principal& principal) const {
  auto search = ReadSearch(request, body, options_, FilterOf(principal));
  const identity::Permissions* permissions = principal.permissions.get();
  if (!search || permissions == nullptr) return search;
  if (search->keep_alive_us > 0 && !permissions->scrolls) return tl::unexpected(Forbidden("no scrolls"));
  search->allow_partial = search->allow_partial && permissions->partial;
  return search;
}

RunningQuery Operations::StartSearch(const std::string& index, const Search& search,
                                     const RequestContext& context, decision_log::FrontKind front) {
  std::string target = fmt::format("/{}/{}", index, wire::kSearchSegment);
  if (!search.parameters.empty()) target += "?" + search.parameters.substr(1);
  // A scroll page without one shard would skip that shard's hits: the next page begins after the last hit.
  bool complete_only = !search.allow_partial || search.keep_alive_us > 0;
  return queries_.Start(
      {&options_.indices.at(index), {std::move(target), ShardBody(search)}, front, complete_only}, context);
}

AnswerContext Operations::MakeAnswerContext(const RunningQuery& query, const coordinator::FinalAnswer& answer,
                                            const net::Exchange& exchange) const {
  return {clock_.Now() - exchange.received_us, answer.latency_objective_reached,
          &query.index->shard_requests};
}

OperationResult Operations::FinishSearch(const std::string& index, const Search& search,
                                         const RunningQuery& query, const RequestContext& context,
                                         const std::string& scroll_id) {
  auto answer = queries_.Await(query, context.exchange);
  if (!answer) return tl::unexpected(std::move(answer.error()));
  auto merged = MergeHits(search, *answer, MakeAnswerContext(query, *answer, context.exchange));
  if (!merged) return tl::unexpected(UnusableHits());
  if (search.keep_alive_us == 0) return merged->body + "}";
  const Principal& principal = context.principal;
  Cursor next{index, search, merged->hits == 0, principal.tenant, principal.permissions};
  if (!merged->last_sort.empty()) next.search.search_after = merged->last_sort;
  auto id = StoreCursor(std::move(next), scroll_id);
  if (!id) return tl::unexpected(std::move(id.error()));
  return fmt::format(R"({},"_scroll_id":{}}})", merged->body, net::json::Quote(*id));
}

// Returns the id by which the client fetches the next page.
tl::expected<std::string, ApiError> Operations::StoreCursor(Cursor next, const std::string& scroll_id) {
  if (scroll_id.empty()) {
    auto id = scrolls_.Open(std::move(next));
    if (!id) return tl::unexpected(TooManyScrolls(kScrollRetryUs));
    return std::move(*id);
  }
  auto id = scrolls_.Advance(scroll_id, std::move(next));
  if (!id) return tl::unexpected(NoSuchScroll("the scroll has ended"));
  return std::move(*id);
}

OperationResult Operations::SearchIndex(const std::string& index, const RequestContext& context) {
  auto found = FindIndex(index, context.principal);
  if (!found) return tl::unexpected(std::move(found.error()));
  auto search = ReadAllowed(context.request, context.request.body, context.principal);
  if (!search) return tl::unexpected(std::move(search.error()));
  RunningQuery query = StartSearch(index, *search, context, decision_log::FrontKind::kSearch);
  return FinishSearch(index, *search, query, context);
}

OperationResult Operations::CountIndex(const std::string& index, const RequestContext& context) {
  auto found = FindIndex(index, context.principal);
  if (!found) return tl::unexpected(std::move(found.error()));
  auto call = ReadCount(context.request, index, FilterOf(context.principal));
  if (!call) return tl::unexpected(std::move(call.error()));
  // A count over only some of the shards would be a wrong number, so partial results are not accepted.
  RunningQuery query =
      queries_.Start({*found, std::move(*call), decision_log::FrontKind::kCount, true}, context);
  auto answer = queries_.Await(query, context.exchange);
  if (!answer) return tl::unexpected(std::move(answer.error()));
  return MergeCounts(*answer, MakeAnswerContext(query, *answer, context.exchange));
}

OperationResult Operations::ContinueScroll(const RequestContext& context) {
  auto scroll = ReadScroll(context.request);
  if (!scroll) return tl::unexpected(std::move(scroll.error()));
  auto cursor = scrolls_.Find(scroll->id, context.principal.tenant, scroll->keep_alive_us);
  // A scroll cannot be continued after its tenant's permissions have changed.
  if (!cursor || cursor->permissions != context.principal.permissions) {
    return tl::unexpected(NoSuchScroll(fmt::format("no search context found for id [{}]", scroll->id)));
  }
  RunningQuery query = StartSearch(cursor->index, cursor->search, context, decision_log::FrontKind::kScroll);
  return FinishSearch(cursor->index, cursor->search, query, context, scroll->id);
}

OperationResult Operations::DeleteScrolls(const RequestContext& context) {
  auto ids = ReadScrollIds(context.request);
  if (!ids) return tl::unexpected(std::move(ids.error()));
  const std::string& owner = context.principal.tenant;
  std::size_t freed = 0;
  for (const std::string& id : *ids) {
    freed += id == wire::kAllScrolls ? scrolls_.DropAll(owner) : std::size_t{scrolls_.Drop(id, owner)};
  }
  return fmt::format(R"({{"succeeded":true,"num_freed":{}}})", freed);
}

tl::expected<Operations::MultiSearchEntry, ApiError> Operations::StartItem(const MultiSearchItem& item,
                                                                           const std::string& path_index,
                                                                           const RequestContext& context) {
  auto index = ReadItemIndex(item.header, path_index);
  if (!index) return tl::unexpected(std::move(index.error()));
  auto found = FindIndex(*index, context.principal);
  if (!found) return tl::unexpected(std::move(found.error()));
  auto search = ReadAllowed(context.request, item.body, context.principal);
  if (!search) return tl::unexpected(std::move(search.error()));
  RunningQuery query = StartSearch(*index, *search, context, decision_log::FrontKind::kMultiSearch);
  return MultiSearchEntry{std::move(*index), std::move(*search), std::move(query)};
}

OperationResult Operations::MultiSearch(const std::string& path_index, const RequestContext& context) {
  auto items = ReadMultiSearch(context.request);
  if (!items) return tl::unexpected(std::move(items.error()));
  net::HttpMessage item_request;  // each search has the request's headers and no parameters
  item_request.headers = context.request.headers;
  const RequestContext item_context{item_request, context.exchange, context.principal};
  // Starts all searches before it waits for the first, so that they run concurrently.
  MultiSearchEntries entries;
  for (const MultiSearchItem& item : *items) entries.push_back(StartItem(item, path_index, item_context));
  std::string responses;
  for (const auto& entry : entries) {
    OperationResult result = entry ? FinishSearch(entry->index, entry->search, entry->query, item_context)
                                   : OperationResult(tl::unexpected(QueryFailure(entry.error())));
    if (!result && result.error().kind == QueryFailure::Kind::kClientDisconnected) {
      for (const auto& started : entries) {
        if (started) queries_.Abandon(started->query);
      }
      return result;
    }
    if (!responses.empty()) responses += ',';
    if (result) {
      responses.append(*result, 0, result->size() - 1).append(R"(,"status":200})");
      continue;
    }
    const ApiError& error = result.error().error;
    if (entry) SetStatus(entry->query, error.status, context.exchange);
    responses += ErrorBody(error);
  }
  coordinator::Micros took_us = clock_.Now() - context.exchange.received_us;
  return fmt::format(R"({{"took":{},"responses":[{}]}})", took_us / 1000, responses);
}

}  // namespace liftrudder::opensearch
