#include "net/endpoint_connection.h"

#include <algorithm>
#include <utility>

namespace liftrudder::net {
namespace {

constexpr std::size_t kMaxAbandonedResponses = 64;
constexpr std::size_t kMaxRejectedIds = 64;  // a second copy follows its response closely

}  // namespace

bool EndpointConnection::RequestStarted(const coordinator::AttemptKey& key) const {
  return written_bytes > 0 || std::ranges::find(frame_attempts, key) == frame_attempts.end();
}

bool EndpointConnection::MayReceiveResponse(const std::string& id) const {
  return std::ranges::find(abandoned_ids, id) != abandoned_ids.end() ||
         std::ranges::find(rejected_ids, id) != rejected_ids.end() ||
         std::ranges::find(in_flight, id, &InFlightRequest::id) != in_flight.end();
}

void EndpointConnection::RemoveInFlight(const coordinator::AttemptKey& key) {
  std::erase_if(in_flight, [&key](const InFlightRequest& request) { return request.key == key; });
}

void EndpointConnection::RecordRejected(std::string id) {
  if (rejected_ids.size() >= kMaxRejectedIds) rejected_ids.pop_front();
  rejected_ids.push_back(std::move(id));
}

void EndpointConnection::AbandonResponse(std::string id) {
  abandoned_ids.push_back(std::move(id));
  retired = abandoned_ids.size() >= kMaxAbandonedResponses;
}

}  // namespace liftrudder::net
