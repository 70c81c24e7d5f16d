// Reads a client's POST into the coordinator's query: headers, statement, shard requests. A pure function;
// any thread.
#ifndef LIFTRUDDER_PLATFORM_QUERY_REQUEST_H_
#define LIFTRUDDER_PLATFORM_QUERY_REQUEST_H_

#include <memory>
#include <optional>

#include "config/config.h"
#include "coordinator/interfaces.h"
#include "net/http.h"

namespace liftrudder::platform {

// `client` tells whether the client is still connected. Statement and idempotency key stay byte for byte as
// they came. Nothing where the request is malformed: a header missing, doubled or out of range, a member
// doubled, a shard twice or out of range, weights that do not sum to 1.
std::optional<coordinator::QueryRequest> ReadQueryRequest(
    const net::HttpMessage& request, coordinator::Micros received_us,
    std::shared_ptr<const coordinator::ClientPresence> client, const config::Config& config);

}  // namespace liftrudder::platform

#endif  // LIFTRUDDER_PLATFORM_QUERY_REQUEST_H_
