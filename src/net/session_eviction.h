// Which client connections the server closes so that it can serve the others: to make room for a new one, for
// exceeding a time limit, or for handshakes that do not go on. Selects only; the caller holds the server's
// lock and closes them on the reader thread.
#ifndef LIFTRUDDER_NET_SESSION_EVICTION_H_
#define LIFTRUDDER_NET_SESSION_EVICTION_H_

#include <optional>
#include <vector>

#include "net/client_session.h"

namespace liftrudder::net {

// An idle connection is kept open for at least this long where it may be closed early, and a new one while
// the server stops.
constexpr Micros kMinIdleTime = 200'000;

// What becomes of a new connection.
struct AdmissionDecision {
  bool admit = true;
  std::optional<SessionRef> evict;  // to be closed first
};
AdmissionDecision AdmitConnection(SessionList& sessions, int max_connections, Micros now_us);

struct ExpiryRules {
  int max_connections = 0;
  int max_requests = 0;
  bool closing_idle = false;  // the server drains: connections without a request are closed
};
struct ExpiredSessions {
  std::vector<SessionRef> expired;  // past their deadline, or closed by a drain
  std::vector<SessionRef> evicted;  // idle, and more than clients may keep open
};
// A new connection owes its first request soon after it was accepted, a later request must be complete soon
// after it has begun. Clients that keep idle connections open may hold half as many as there may be requests,
// the longest idle are closed first: otherwise they would keep new clients out.
ExpiredSessions FindExpired(SessionList& sessions, const ExpiryRules& rules, Micros now_us);

// The oldest handshakes beyond the share of `max_connections` that may be in one. A handshake costs some
// 50 KB, and an unfinished one must not hold that for long; a live client's takes a round trip or two.
std::vector<SessionRef> FindExcessHandshakes(SessionList& sessions, int max_connections);

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_SESSION_EVICTION_H_
