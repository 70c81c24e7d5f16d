#include "net/session_eviction.h"

#include <algorithm>
#include <compare>

namespace liftrudder::net {
namespace {

// From three quarters of the connection limit on, a new connection may evict one that has been idle for
// longer than kEarlyEvictionIdleUs, or without a complete request for longer than kEarlyEvictionSilenceUs. At
// the limit it may evict any connection that is not busy and has no bytes to read.
constexpr Micros kEarlyEvictionIdleUs = 2'000'000;
constexpr Micros kEarlyEvictionSilenceUs = 500'000;
// A new connection without a complete request counts as silent after this time.
constexpr Micros kFirstRequestGraceUs = 50'000;
// At most the connection limit divided by this may be in a TLS handshake.
constexpr int kHandshakeLimitDivisor = 4;

// The session with the greatest rank is evicted first. Silent connections rank above idle ones: a client that
// loses an idle connection reconnects, which would add to a flood of silent connections.
struct EvictionRank {
  bool evictable_early = false;
  bool silent = false;
  bool idle = false;
  Micros age_us = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): false finding on a defaulted comparison.
  auto operator<=>(const EvictionRank&) const = default;
};

EvictionRank RankOf(const ClientSession& session, Micros now_us) {
  Micros age_us = now_us - session.phase_since_us;
  bool idle = session.phase == SessionPhase::kIdle;
  return {.evictable_early = age_us > (idle ? kEarlyEvictionIdleUs : kEarlyEvictionSilenceUs),
          .silent = !idle && age_us > kFirstRequestGraceUs,
          .idle = idle,
          .age_us = age_us};
}

}  // namespace

AdmissionDecision AdmitConnection(SessionList& sessions, int max_connections, Micros now_us) {
  int open = static_cast<int>(sessions.size());
  if (open < max_connections * 3 / 4) return {};
  bool at_limit = open >= max_connections;
  auto victim = sessions.end();
  EvictionRank victim_rank;
  for (auto session = sessions.begin(); session != sessions.end(); ++session) {
    if (session->phase == SessionPhase::kBusy) continue;
    EvictionRank rank = RankOf(*session, now_us);
    if (victim != sessions.end() && rank <= victim_rank) continue;
    // A connection with bytes to read is about to be used.
    if (Peek(session->connection.fd()) == SocketState::kBytes) continue;
    victim = session;
    victim_rank = rank;
  }
  if (victim == sessions.end()) return {.admit = !at_limit, .evict = {}};
  if (!at_limit && !victim_rank.evictable_early) return {};
  return {.admit = true, .evict = victim};
}

ExpiredSessions FindExpired(SessionList& sessions, const ExpiryRules& rules, Micros now_us) {
  ExpiredSessions found;
  int past_first_request = 0;
  for (auto session = sessions.begin(); session != sessions.end(); ++session) {
    past_first_request += session->phase != SessionPhase::kNew ? 1 : 0;
    if (session->phase == SessionPhase::kBusy) continue;
    bool unused = session->received_us == 0 && now_us - session->phase_since_us > kMinIdleUs;
    bool closable = rules.close_idle && unused;
    bool expired = now_us >= session->request_deadline_us ||
                   (closable && Peek(session->connection.fd()) == SocketState::kNothing);
    if (expired) {
      found.expired.push_back(session);
    } else if (unused && session->phase == SessionPhase::kIdle) {
      found.evicted.push_back(session);
    }
  }
  std::ranges::sort(found.evicted, {}, [](SessionRef session) { return session->phase_since_us; });
  int over_limit = static_cast<int>(sessions.size()) - rules.max_connections;
  int excess = std::max({0, past_first_request - rules.max_requests / 2, over_limit});
  found.evicted.resize(std::min(found.evicted.size(), static_cast<std::size_t>(excess)));
  return found;
}

std::vector<SessionRef> FindExcessHandshakes(SessionList& sessions, int max_connections) {
  std::vector<SessionRef> handshakes;
  for (auto session = sessions.begin(); session != sessions.end(); ++session) {
    bool in_handshake = session->phase != SessionPhase::kBusy && session->connection.InHandshake();
    if (in_handshake) handshakes.push_back(session);
  }
  auto allowed = static_cast<std::size_t>(std::max(1, max_connections / kHandshakeLimitDivisor));
  std::size_t excess = handshakes.size() > allowed ? handshakes.size() - allowed : 0;
  handshakes.resize(excess);
  return handshakes;
}

}  // namespace liftrudder::net
