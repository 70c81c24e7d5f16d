#include "opensearch/endpoint_protocol.h"

#include <fmt/format.h>

#include "net/http.h"
#include "opensearch/merge.h"
#include "opensearch/wire_names.h"

namespace liftrudder::opensearch {
namespace {

constexpr int kTooManyRequestsStatus = 429;

class SearchResponseReader : public net::ResponseReader {
 public:
  net::DecodeStatus Decode(std::string& in, const std::string& oldest,
                           std::vector<net::EndpointResponse>& out) override {
    if (oldest.empty()) return net::DecodeStatus::kUnrequested;
    switch (parser_.Feed(in)) {
      case net::HttpParser::State::kBad:
        // A malformed response counts as the endpoint's error, not as a lost connection.
        out.push_back({oldest, coordinator::Cause::kEndpointError, {}, {}});
        return net::DecodeStatus::kMalformed;
      case net::HttpParser::State::kDone: {
        net::DecodeStatus status = Finish(oldest, out);
        // With one request at a time, bytes behind the response belong to no request. The next request on
        // this connection would get them as its response.
        bool bytes_left = !in.empty() && !net::IsViolation(status);
        return bytes_left ? net::DecodeStatus::kUnrequested : status;
      }
      default:
        return net::DecodeStatus::kOk;
    }
  }

  net::DecodeStatus End(const std::string& oldest, std::vector<net::EndpointResponse>& out) override {
    bool complete = !oldest.empty() && parser_.End() == net::HttpParser::State::kDone;
    return complete ? Finish(oldest, out) : net::DecodeStatus::kOk;
  }

 private:
  net::DecodeStatus Finish(const std::string& oldest, std::vector<net::EndpointResponse>& out) {
    net::HttpMessage message = std::move(parser_.message());
    parser_ = net::HttpParser(net::HttpParser::Kind::kResponse);
    const std::string* name = message.Header(wire::kOpaqueIdHeader);
    bool named = name != nullptr;
    bool misnamed = named && (*name != oldest || message.Count(wire::kOpaqueIdHeader) > 1);
    if (misnamed) return net::DecodeStatus::kMisnamed;
    net::EndpointResponse response;
    response.id = oldest;
    bool successful = message.status >= 200 && message.status < 300;
    if (message.status == kTooManyRequestsStatus) {
      // The API defines 429 to mean that the search was not started.
      response.cause = coordinator::Cause::kEndpointRejected;
    } else if (successful && IsCompleteResponse(message.body, oldest.front() == kCountIdPrefix)) {
      response.cause = coordinator::Cause::kServed;
      response.value = std::move(message.body);
    } else {
      response.cause = coordinator::Cause::kEndpointError;
    }
    out.push_back(std::move(response));
    if (message.close) return net::DecodeStatus::kLastResponse;
    return named ? net::DecodeStatus::kOk : net::DecodeStatus::kUnnamed;
  }

  net::HttpParser parser_{net::HttpParser::Kind::kResponse};
};

}  // namespace

std::string SearchProtocol::AttemptId(const coordinator::AttemptRequest& request) const {
  return fmt::format("{}.{}.{}", request.payload->call_id, request.shard, request.key.attempt);
}

std::string SearchProtocol::EncodeRequest(std::span<const coordinator::AttemptRequest* const> requests,
                                          const std::string& endpoint, coordinator::Micros now_us) const {
  const coordinator::AttemptRequest& request = *requests.front();  // one request per call
  const coordinator::Payload& payload = *request.payload;
  return fmt::format(
      "POST {}{}preference=_shards:{} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\nX-Budget: {:.3f}\r\n"
      "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
      payload.target, payload.target.find('?') == std::string::npos ? '?' : '&', request.shard, endpoint,
      wire::kOpaqueIdHeader, AttemptId(request),
      static_cast<double>(request.attempt_deadline_us - now_us) / 1e6, payload.statement.size(),
      payload.statement);
}

std::unique_ptr<net::ResponseReader> SearchProtocol::NewReader() const {
  return std::make_unique<SearchResponseReader>();
}

}  // namespace liftrudder::opensearch
