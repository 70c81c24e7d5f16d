#include "opensearch/endpoint_protocol.h"

#include <fmt/format.h>

#include "net/http.h"
#include "opensearch/merge.h"

namespace liftrudder::opensearch {
namespace {

constexpr int kTooManyRequestsStatus = 429;

class SearchReader : public net::ResponseReader {
 public:
  bool Take(std::string& in, const std::string& oldest, std::vector<net::EndpointResponse>& out) override {
    if (oldest.empty()) return false;  // a response without a request
    switch (parser_.Feed(in)) {
      case net::HttpParser::State::kBad:
        // An unreadable response is the endpoint's error, not a lost connection.
        out.push_back({oldest, coordinator::Cause::kEndpointError, {}, {}});
        return false;
      case net::HttpParser::State::kDone:
        return Finish(oldest, out);
      default:
        return true;
    }
  }

  void End(const std::string& oldest, std::vector<net::EndpointResponse>& out) override {
    if (!oldest.empty() && parser_.End() == net::HttpParser::State::kDone) Finish(oldest, out);
  }

 private:
  bool Finish(const std::string& oldest, std::vector<net::EndpointResponse>& out) {
    net::HttpMessage message = std::move(parser_.message());
    parser_ = net::HttpParser(net::HttpParser::Kind::kResponse);
    net::EndpointResponse answer;
    answer.id = oldest;
    bool good = message.status >= 200 && message.status < 300;
    if (message.status == kTooManyRequestsStatus) {
      // By the API's definition the search was never begun.
      answer.cause = coordinator::Cause::kEndpointRejected;
    } else if (good && IsCompleteResponse(message.body, oldest.front() == kCountMark)) {
      answer.cause = coordinator::Cause::kServed;
      answer.value = std::move(message.body);
    } else {
      answer.cause = coordinator::Cause::kEndpointError;
    }
    out.push_back(std::move(answer));
    return !message.close;
  }

  net::HttpParser parser_{net::HttpParser::Kind::kResponse};
};

}  // namespace

std::string SearchProtocol::AttemptId(const coordinator::AttemptRequest& order) const {
  return fmt::format("{}.{}", order.payload->call_id, order.shard);
}

std::string SearchProtocol::EncodeRequest(std::span<const coordinator::AttemptRequest* const> orders,
                                          const std::string& endpoint, coordinator::Micros now_us) const {
  const coordinator::AttemptRequest& order = *orders.front();  // one request a call
  const coordinator::Payload& payload = *order.payload;
  return fmt::format(
      "POST {}{}preference=_shards:{} HTTP/1.1\r\nHost: {}\r\nX-Opaque-Id: {}\r\nX-Budget: {:.3f}\r\n"
      "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
      payload.target, payload.target.find('?') == std::string::npos ? '?' : '&', order.shard, endpoint,
      payload.call_id, static_cast<double>(order.attempt_deadline_us - now_us) / 1e6,
      payload.statement.size(), payload.statement);
}

std::unique_ptr<net::ResponseReader> SearchProtocol::NewReader() const {
  return std::make_unique<SearchReader>();
}

}  // namespace liftrudder::opensearch
