// Selects the client connections that the server closes so that it can serve the others: to make room for a
// new one, after a time limit, or because of unfinished handshakes. The caller holds the server's lock and
// closes them on the reader thread.
#ifndef LIFTRUDDER_NET_SESSION_EVICTION_H_
#define LIFTRUDDER_NET_SESSION_EVICTION_H_

#include <optional>
#include <vector>

#include "net/client_session.h"

namespace liftrudder::net {

// FindExpired closes a connection without a request before its deadline only after this time. While the
// server stops, a new connection has this long to begin a request.
constexpr Micros kMinIdleUs = 200'000;

// What to do with a new connection.
struct AdmissionDecision {
  bool admit = true;
  std::optional<SessionRef> evict;  // to be closed first
};
AdmissionDecision AdmitConnection(SessionList& sessions, int max_connections, Micros now_us);

struct ExpiryRules {
  int max_connections = 0;
  int max_requests = 0;
  bool close_idle = false;  // drained by an operator: close connections without a request
};
struct ExpiredSessions {
  std::vector<SessionRef> expired;  // past their deadline, or closed by a drain
  std::vector<SessionRef> evicted;  // idle, beyond the number that clients may keep open
};
// The first request must be complete soon after accept, a later one soon after its first byte. Connections
// past their first request may number half of `max_requests`; beyond that, or beyond `max_connections`, the
// longest idle are closed first, so that they do not keep new clients out.
ExpiredSessions FindExpired(SessionList& sessions, const ExpiryRules& rules, Micros now_us);

// The oldest handshakes beyond the fraction of `max_connections` that may be in one. A handshake takes about
// 50 KB, which an unfinished one must not hold for long. A responsive client completes its handshake in one
// or two round trips.
std::vector<SessionRef> FindExcessHandshakes(SessionList& sessions, int max_connections);

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_SESSION_EVICTION_H_
