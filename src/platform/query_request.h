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

// `client` tells whether the client is still connected. The statement and the idempotency key are passed on
// byte for byte. Returns nullopt for a malformed request: a header that is missing, repeated or out of range,
// a repeated member, a shard that is repeated or out of range, or weights that do not sum to 1.
std::optional<coordinator::QueryRequest> ReadQueryRequest(
    const net::HttpMessage& request, coordinator::Micros received_us,
    std::shared_ptr<const coordinator::ClientPresence> client, const config::Config& config);

}  // namespace liftrudder::platform

#endif  // LIFTRUDDER_PLATFORM_QUERY_REQUEST_H_
