#include "opensearch/front.h"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <iterator>

#include "log/log.h"
#include "net/explain_page.h"
#include "net/json.h"
#include "opensearch/access_control.h"
#include "opensearch/endpoint_protocol.h"

namespace liftrudder::opensearch {
namespace {

namespace json = net::json;

constexpr coordinator::Micros kLastMoment = 5'000;  // before the client's time is up, should the core be busy
constexpr coordinator::Micros kEndSlack = 50'000;   // an end this near the deadline was cut by time
constexpr coordinator::Micros kBusyRetryUs = 1'000'000;
constexpr const char* kLabel = "X-Opaque-Id";  // a client's own name for a request
constexpr std::size_t kMaxSearches = 32;       // in one _msearch

std::vector<std::string> Steps(std::string_view path) {
  std::vector<std::string> out;
  while (!path.empty()) {
    path.remove_prefix(1);
    std::string_view step = path.substr(0, path.find('/'));
    if (!step.empty()) out.push_back(Unescape(step));
    path.remove_prefix(step.size());
  }
  return out;
}

std::map<std::string, double, std::less<>> Weights(const identity::PermissionTable& permission_table) {
  std::map<std::string, double, std::less<>> out;
  for (const auto& [name, permissions] : permission_table.tenants) out[name] = permissions->weight;
  return out;
}

}  // namespace

Front::Front(const config::Config& config, const Options& options, coordinator::Coordinator& coordinator,
             const coordinator::Clock& clock, metrics::Counters& counters,
             decision_log::ExplainService* explain_service, identity::Authenticator* authenticator)
    : config_(config),
      options_(options),
      coordinator_(coordinator),
      clock_(clock),
      counters_(counters),
      explain_service_(explain_service),
      authenticator_(authenticator),
      scrolls_(options, clock, config.seed,
               authenticator == nullptr
                   ? options.max_scrolls
                   : std::max<std::size_t>(
                         1, options.max_scrolls / authenticator->permission_table()->tenants.size())) {
  if (authenticator == nullptr || authenticator->permission_table()->work_per_s == 0) return;
  shared_by_ = authenticator->permission_table();
  limits::ShareSettings shares;
  shares.work_per_s = static_cast<double>(shared_by_->work_per_s);
  shares.most_open = static_cast<int>(shared_by_->max_open_queries);
  shares.weights = Weights(*shared_by_);
  accounts_.emplace(std::move(shares), config.seed);
}

net::HttpResponse Front::Malformed(int status) {
  coordinator_.NoteIntake(decision_log::IntakeResult::kUnreadable, decision_log::FrontKind::kSearch,
                          decision_log::kUnknownClass, status, "");
  return ErrorResponse({status, "parsing_exception", "the request cannot be read", 0});
}
net::HttpResponse Front::Overloaded(const net::HttpMessage*) {
  coordinator_.NoteIntake(decision_log::IntakeResult::kTooManyConnections, decision_log::FrontKind::kSearch,
                          decision_log::kUnknownClass, 503, "");
  ApiError error = Unanswered("too many connections");
  error.retry_after_us = kBusyRetryUs;
  return ErrorResponse(error);
}

void Front::Wrote(const std::vector<net::AnsweredQuery>& answered_queries, int status, std::size_t bytes,
                  bool whole) {
  coordinator_.NoteResponse(answered_queries, status, bytes, whole);
}

std::optional<net::HttpResponse> Front::Handle(net::HttpMessage& request, const net::Exchange& exchange) {
  net::HttpResponse out;
  std::string_view path = request.Path();
  if (path == "/-/ready" && exchange.draining) return ErrorResponse(Unanswered("draining"));
  if (path == "/-/ready" || path == "/-/healthy") return out;
  Principal principal;
  if (authenticator_ != nullptr) {
    if (auto error = LetIn(request, exchange, principal)) return Turned(*error);
    bool page = path.starts_with("/-/");
    if (page && !principal.permissions->pages) return ErrorResponse(Forbidden("no pages"));
  }
  if (path == "/-/metrics") {
    out.type = "text/plain";
    out.body = counters_.Text();
    return out;
  }
  if (path == "/-/why") return net::ExplainPage(explain_service_, request);
  Result result = Route(request, exchange, principal);
  if (std::holds_alternative<Gone>(result)) return std::nullopt;
  if (const auto* error = std::get_if<ApiError>(&result)) {
    if (error->status == 400) counters_.malformed.Add();
    // What reached the core is in its record already.
    if (exchange.answered_queries->empty() && error->status >= 400 && error->status < 429) {
      const std::string* label = request.Header(kLabel);
      coordinator_.NoteIntake(decision_log::IntakeResult::kMalformed, decision_log::FrontKind::kSearch,
                              decision_log::kUnknownClass, error->status, label == nullptr ? "" : *label);
    }
    return ErrorResponse(*error);
  }
  out.body = std::move(std::get<std::string>(result));
  return out;
}

bool Front::TakePlace(const Principal& principal, double cost, Asked& asked) {
  if (!accounts_) return true;
  std::lock_guard lock(shares_mutex_);
  if (std::shared_ptr<const identity::PermissionTable> permission_table = authenticator_->permission_table();
      permission_table != shared_by_) {
    accounts_->Take(Weights(*permission_table));
    shared_by_ = permission_table;
  }
  auto verdict = accounts_->Ask(principal.tenant, principal.subject, cost, clock_.Now());
  asked.retry_after_us = verdict.retry_after_us;
  if (!verdict.granted) return false;
  asked.place =
      std::shared_ptr<void>(nullptr, [this, tenant = principal.tenant, caller = principal.subject](void*) {
        std::lock_guard again(shares_mutex_);
        accounts_->End(tenant, caller);
      });
  return true;
}

net::HttpResponse Front::Turned(const ApiError& error) const {
  net::HttpResponse out = ErrorResponse(error);
  // RFC 6750 section 3, with nothing of why.
  if (error.status == 401) out.headers.emplace_back("WWW-Authenticate", "Bearer");
  return out;
}

Front::Result Front::Route(const net::HttpMessage& request, const net::Exchange& exchange,
                           const Principal& principal) {
  std::vector<std::string> steps = Steps(request.Path());
  bool reads = request.method == "GET" || request.method == "POST";
  if (steps.size() == 2 && steps[0] == "_search" && steps[1] == "scroll") {
    if (request.method == "DELETE") return DropScroll(request, principal);
    if (reads) return DoScroll(request, exchange, principal);
  }
  if (reads && steps.size() == 2 && steps[1] == "_search")
    return DoSearch(steps[0], request, exchange, principal);
  if (reads && steps.size() == 2 && steps[1] == "_count")
    return DoCount(steps[0], request, exchange, principal);
  if (reads && steps.size() == 2 && steps[1] == "_msearch")
    return DoMany(steps[0], request, exchange, principal);
  if (reads && steps.size() == 1 && steps[0] == "_msearch") return DoMany("", request, exchange, principal);
  return BadRequest(fmt::format("[{} {}] is not supported", request.method, request.Path()));
}

// Every refusal is counted and, bounded in rate, written for the operators; the caller learns less.
std::optional<ApiError> Front::LetIn(const net::HttpMessage& request, const net::Exchange& exchange,
                                     Principal& out) {
  identity::Credentials credentials;
  // Two headers are no valid token, whatever else the connection shows.
  static const std::string kAmbiguous;
  std::size_t tokens = request.Count("Authorization");
  if (tokens > 0) credentials.authorization = tokens == 1 ? request.Header("Authorization") : &kAmbiguous;
  credentials.address = net::PeerHost(exchange.line->fd());
  const net::TlsPeer* peer = exchange.line->Peer(clock_.Now(), credentials.certificate_error);
  if (peer != nullptr) credentials.certificate_names = peer->names;
  auto principal = authenticator_->Authenticate(credentials, clock_.Now());
  if (principal) {
    out = std::move(*principal);
    return std::nullopt;
  }
  const identity::AuthenticationError& error = principal.error();
  counters_.denied.Add();
  std::unique_lock lock(audit_mutex_);
  std::optional<std::int64_t> suppressed = audit_.TryWrite(clock_.Now());
  lock.unlock();
  if (suppressed) {
    std::string tenant = error.tenant.empty() ? "" : ", tenant " + json::Quote(error.tenant);
    log::Info("audit: refused from {}: {}{}", credentials.address, error.reason, tenant);
    if (*suppressed > 0) log::Info("audit: {} refusals before it were not written", *suppressed);
  }
  bool unauthenticated = error.kind == identity::AuthenticationError::Kind::kUnauthenticated;
  if (unauthenticated) return ApiError{401, "security_exception", "unknown caller", 0, false};
  return Forbidden("not from here");
}

std::optional<ApiError> Front::Read(const net::HttpMessage& request, std::string_view body,
                                    const Principal& principal, Search& out) const {
  const identity::Permissions* permissions = principal.permissions.get();
  static const std::string kNoFilter;
  if (auto error =
          ReadSearch(request, body, options_, permissions == nullptr ? kNoFilter : permissions->filter, out))
    return error;
  if (permissions == nullptr) return std::nullopt;
  if (out.keep_alive_us > 0 && !permissions->scrolls) return Forbidden("no scrolls");
  out.allow_partial = out.allow_partial && permissions->partial;
  return std::nullopt;
}

// An index that is not the caller's is told of as one that does not exist.
std::optional<ApiError> Front::Locate(const std::string& index, const Principal& principal) const {
  if (index.find_first_of(",*") != std::string::npos || index == "_all")
    return BadRequest("a search of several indices is not supported; name one");
  bool allowed = principal.permissions == nullptr || principal.permissions->AllowsIndex(index);
  if (!allowed || !options_.indices.contains(index)) return NoSuchIndex(index);
  return std::nullopt;
}

Front::Asked Front::Ask(const IndexOptions& index, std::string target, std::string body,
                        decision_log::FrontKind kind, bool whole, const net::HttpMessage& request,
                        const net::Exchange& exchange, const Principal& principal) {
  coordinator::QueryRequest query;
  query.class_index = whole ? index.whole_class_index : index.class_index;
  const auto& cls = config_.settings.classes[static_cast<std::size_t>(query.class_index)];
  coordinator::Micros timeout_remaining_us = cls.client_timeout_us;
  if (const std::string* budget = request.Header("X-Budget")) {
    double seconds = json::Number(*budget).value_or(0);
    timeout_remaining_us = std::min(timeout_remaining_us,
                                    static_cast<coordinator::Micros>(std::clamp(seconds, 0.0, 3600.0) * 1e6));
  }
  query.received_us = exchange.received_us;
  query.deadline_us = exchange.received_us + timeout_remaining_us;
  query.front = kind;
  if (const std::string* label = request.Header(kLabel))
    query.label = label->substr(0, decision_log::kNoteId);
  bool count = kind == decision_log::FrontKind::kCount;
  query.shard_requests = index.shard_requests;
  coordinator::Payload payload;
  payload.call_id = fmt::format("{}{:x}-{}", count ? kCountMark : 's', config_.seed, ++asked_);
  payload.target = std::move(target);
  payload.client = exchange.reply_waiter->client();
  payload.statement = std::move(body);
  query.payload = std::make_shared<const coordinator::Payload>(std::move(payload));
  Asked asked;
  asked.reply = std::make_shared<net::WaitingReply>(exchange.reply_waiter);
  asked.deadline_us = query.deadline_us;
  asked.index = &index;
  asked.whole = whole;
  if (!TakePlace(principal, static_cast<double>(index.shard_requests.size()), asked)) return asked;
  asked.id = coordinator_.Admit(std::move(query), asked.reply);
  if (asked.id) exchange.answered_queries->push_back({*asked.id, 0});
  return asked;
}

Front::Came Front::Await(const Asked& asked, const net::Exchange& exchange) {
  if (asked.retry_after_us > 0) return Busy(asked.retry_after_us);
  if (!asked.id) {
    ApiError error = Unanswered("too many queries are open");
    error.retry_after_us = kBusyRetryUs;
    return error;
  }
  switch (asked.reply->Wait(*exchange.line, clock_, asked.deadline_us - kLastMoment)) {
    case net::WaitingReply::End::kGone:
      coordinator_.Post(coordinator::ClientDisconnect{*asked.id});
      return Gone{};
    case net::WaitingReply::End::kLate:
      coordinator_.Post(coordinator::ClientDisconnect{*asked.id, decision_log::IntakeResult::kLate});
      counters_.late.Add();
      return OutOfTime();
    case net::WaitingReply::End::kCrowded: {
      coordinator_.Post(coordinator::ClientDisconnect{*asked.id, decision_log::IntakeResult::kCrowded});
      ApiError error = BadRequest("one request at a time");
      error.close = true;
      return error;
    }
    case net::WaitingReply::End::kAnswered:
      break;
  }
  coordinator::FinalAnswer& answer = asked.reply->answer();
  // Given up with the time over: to this API's clients that is a time-out, not a refusal.
  bool over = clock_.Now() + kEndSlack >= asked.deadline_us;
  if (answer.verdict != coordinator::Verdict::kAnswered && over) return OutOfTime();
  if (answer.verdict == coordinator::Verdict::kRejected) return Busy(answer.retry_after_us);
  if (answer.verdict == coordinator::Verdict::kFailed) return Unanswered("too few shards answered");
  if (asked.whole && !answer.complete)
    return Unanswered("not all shards answered, and a part was not allowed");
  return std::move(answer);
}

Coming Front::HowItCame(const Asked& asked, const coordinator::FinalAnswer& answer,
                        const net::Exchange& exchange) const {
  coordinator::Micros now = clock_.Now();
  return {now - exchange.received_us, answer.cut_by_time, &asked.index->shard_requests};
}

Front::Asked Front::AskSearch(const std::string& index, const Search& search, const net::HttpMessage& request,
                              const net::Exchange& exchange, const Principal& principal,
                              decision_log::FrontKind kind) {
  std::string target = "/" + index + "/_search";
  if (!search.parameters.empty()) target += "?" + search.parameters.substr(1);
  // A page of a scroll with a shard missing would lose that shard's hits for good.
  bool whole = !search.allow_partial || search.keep_alive_us > 0;
  return Ask(options_.indices.at(index), target, ShardBody(search), kind, whole, request, exchange,
             principal);
}

Front::Result Front::FinishSearch(const std::string& index, const Search& search, const Asked& asked,
                                  const net::Exchange& exchange, const Principal& principal,
                                  const std::string& scroll_id) {
  Came came = Await(asked, exchange);
  if (auto* error = std::get_if<ApiError>(&came)) return std::move(*error);
  if (std::holds_alternative<Gone>(came)) return Gone{};
  const auto& answer = std::get<coordinator::FinalAnswer>(came);
  auto merged = MergeHits(search, answer, HowItCame(asked, answer, exchange));
  if (!merged)
    return ApiError{500, "search_phase_execution_exception", "hits came without their sort values", 0, false};
  if (search.keep_alive_us == 0) return merged->body + "}";
  Cursor next{index, search, merged->hits == 0, principal.tenant, principal.permissions};
  if (!merged->last_sort.empty()) next.search.search_after = merged->last_sort;
  auto id = scroll_id.empty() ? scrolls_.Open(std::move(next)) : scrolls_.Advance(scroll_id, std::move(next));
  if (!id) {
    return scroll_id.empty()
               ? ApiError{429, "rejected_execution_exception", "too many scrolls are open", kBusyRetryUs}
               : ApiError{404, "search_context_missing_exception", "the scroll has ended", 0, false};
  }
  return fmt::format("{},\"_scroll_id\":{}}}", merged->body, json::Quote(*id));
}

Front::Result Front::DoSearch(const std::string& index, const net::HttpMessage& request,
                              const net::Exchange& exchange, const Principal& principal) {
  if (auto error = Locate(index, principal)) return *error;
  Search search;
  if (auto error = Read(request, request.body, principal, search)) return *error;
  return FinishSearch(
      index, search, AskSearch(index, search, request, exchange, principal, decision_log::FrontKind::kSearch),
      exchange, principal);
}

Front::Result Front::DoCount(const std::string& index, const net::HttpMessage& request,
                             const net::Exchange& exchange, const Principal& principal) {
  if (auto error = Locate(index, principal)) return *error;
  bool query_only = true;
  bool ok =
      request.body.empty() || json::JsonMembers(request.body, [&](std::string_view name, std::string_view) {
        query_only = query_only && name == "query";
        return true;
      });
  if (!ok) return ApiError{400, "parsing_exception", "the body is not a JSON object", 0, false};
  if (!query_only) return BadRequest("only [query] is supported in a count");
  auto mark = request.target.find('?');
  std::string target = "/" + index + "/_count";
  if (mark != std::string::npos) {
    if (!request.Parameter("q")) return BadRequest("only [q] is supported beside the body of a count");
    target += "?q=" + std::string(*request.Parameter("q"));
  }
  std::string body = request.body;
  if (principal.permissions != nullptr && !principal.permissions->filter.empty()) {
    std::string query(json::Get(request.body, "query"));
    std::string parameters = target.substr(std::min(target.size(), target.find('?')));
    if (!parameters.empty()) parameters[0] = '&';
    auto error = CheckConfined(request.body);
    if (!error) error = Confine(principal.permissions->filter, query, parameters);
    if (error) return *error;
    target = "/" + index + "/_count";
    body = "{\"query\":" + query + "}";
  }
  // A count over a part of the shards is wrong rather than partial.
  Asked asked = Ask(options_.indices.at(index), target, body, decision_log::FrontKind::kCount, true, request,
                    exchange, principal);
  Came came = Await(asked, exchange);
  if (auto* error = std::get_if<ApiError>(&came)) return std::move(*error);
  if (std::holds_alternative<Gone>(came)) return Gone{};
  const auto& answer = std::get<coordinator::FinalAnswer>(came);
  return MergeCounts(answer, HowItCame(asked, answer, exchange));
}

Front::Result Front::DoScroll(const net::HttpMessage& request, const net::Exchange& exchange,
                              const Principal& principal) {
  std::string id, keep;
  if (auto value = request.Parameter("scroll_id")) id = Unescape(*value);
  if (auto value = request.Parameter("scroll")) keep = Unescape(*value);
  if (!request.body.empty()) {
    if (!json::Valid(request.body))
      return ApiError{400, "parsing_exception", "the body is not JSON", 0, false};
    if (auto value = json::String(json::Get(request.body, "scroll_id"))) id = *value;
    if (auto value = json::String(json::Get(request.body, "scroll"))) keep = *value;
  }
  if (id.empty()) return BadRequest("[scroll_id] is missing");
  auto span = keep.empty() ? std::optional<coordinator::Micros>(0) : ReadSpan(keep);
  if (!span) return BadRequest("[scroll] is not a time such as 1m");
  auto cursor = scrolls_.Find(id, principal.tenant, *span);
  // A scroll goes on under the rights that it was begun with, or not at all.
  if (!cursor || cursor->permissions != principal.permissions) {
    return ApiError{404, "search_context_missing_exception", "no search context found for id [" + id + "]",
                    0};
  }
  return FinishSearch(cursor->index, cursor->search,
                      AskSearch(cursor->index, cursor->search, request, exchange, principal,
                                decision_log::FrontKind::kScroll),
                      exchange, principal, id);
}

Front::Result Front::DropScroll(const net::HttpMessage& request, const Principal& principal) {
  std::vector<std::string> ids;
  std::string_view given = json::Get(request.body, "scroll_id");
  if (auto one = json::String(given)) ids.push_back(*one);
  json::Elements(given, [&ids](std::string_view value) {
    ids.push_back(json::String(value).value_or(""));
    return true;
  });
  if (ids.empty()) return BadRequest("[scroll_id] is missing");
  std::size_t freed = 0;
  for (const std::string& id : ids)
    freed += id == "_all" ? scrolls_.DropAll(principal.tenant) : scrolls_.Drop(id, principal.tenant);
  return fmt::format("{{\"succeeded\":true,\"num_freed\":{}}}", freed);
}

Front::Result Front::DoMany(const std::string& index, const net::HttpMessage& request,
                            const net::Exchange& exchange, const Principal& principal) {
  struct One {
    std::string index;
    Search search;
    std::optional<Asked> asked;
    std::optional<ApiError> error;
  };
  std::deque<One> all;
  std::vector<std::string_view> lines;
  std::string_view rest = request.body;
  while (!rest.empty()) {
    std::string_view line = rest.substr(0, rest.find('\n'));
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
    lines.push_back(line.ends_with('\r') ? line.substr(0, line.size() - 1) : line);
  }
  while (!lines.empty() && lines.back().empty()) lines.pop_back();
  if (lines.empty() || lines.size() % 2 != 0 || request.body.back() != '\n')
    return BadRequest("a multi search is pairs of lines, each ended by a newline");
  if (lines.size() / 2 > kMaxSearches) return BadRequest(fmt::format("at most {} searches", kMaxSearches));
  if (request.target.find('?') != std::string::npos)
    return BadRequest("parameters of _msearch are not supported");
  net::HttpMessage bare;  // the searches share the request's headers, and have no parameters
  bare.headers = request.headers;
  // All are asked before the first is waited for.
  for (std::size_t i = 0; i < lines.size(); i += 2) {
    One& one = all.emplace_back();
    one.index = index;
    bool header = lines[i].empty() ||
                  json::JsonMembers(lines[i], [&one](std::string_view name, std::string_view value) {
                    if (name != "index") return false;
                    one.index = json::String(value).value_or("");
                    return true;
                  });
    if (!header) one.error = BadRequest("only [index] is supported in the header of a search");
    if (!one.error) one.error = Locate(one.index, principal);
    if (!one.error) one.error = Read(bare, lines[i + 1], principal, one.search);
    if (!one.error)
      one.asked =
          AskSearch(one.index, one.search, bare, exchange, principal, decision_log::FrontKind::kMultiSearch);
  }
  std::string out = fmt::format("{{\"took\":{},\"responses\":[", 0);
  for (One& one : all) {
    Result result =
        one.error ? Result(*one.error) : FinishSearch(one.index, one.search, *one.asked, exchange, principal);
    if (std::holds_alternative<Gone>(result)) {
      for (One& left : all) {
        if (left.asked && left.asked->id) coordinator_.Post(coordinator::ClientDisconnect{*left.asked->id});
      }
      return Gone{};
    }
    if (&one != &all.front()) out += ',';
    if (auto* error = std::get_if<ApiError>(&result)) {
      for (net::AnsweredQuery& answered_queries : *exchange.answered_queries) {
        if (one.asked && one.asked->id == answered_queries.query) answered_queries.status = error->status;
      }
      out += ErrorBody(*error);
    } else {
      std::string& body = std::get<std::string>(result);
      out.append(body, 0, body.size() - 1).append(",\"status\":200}");
    }
  }
  coordinator::Micros took_us = clock_.Now() - exchange.received_us;
  out.replace(0, std::string_view("{\"took\":0").size(), fmt::format("{{\"took\":{}", took_us / 1000));
  return out + "]}";
}

}  // namespace liftrudder::opensearch
