// The server's state of one client connection.
#ifndef LIFTRUDDER_NET_CLIENT_SESSION_H_
#define LIFTRUDDER_NET_CLIENT_SESSION_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "net/client_connection.h"
#include "net/http.h"
#include "net/reply_waiter.h"

namespace liftrudder::net {

// Ids are never reused, so that a late event finds no session instead of the wrong one.
using SessionId = std::uint64_t;

enum class SessionPhase {
  kNew,   // no request has been answered yet
  kBusy,  // its request is with a worker or queued for one
  kIdle,  // at least one request has been answered
};

// Owned by the server's reader thread; while busy, by the worker that answers its request. `phase` and
// `reply_waiter` are written only under the server's lock.
struct ClientSession {
  SessionId id = 0;
  ClientConnection connection;
  SessionPhase phase = SessionPhase::kNew;
  Micros phase_since_us = 0;
  Micros request_deadline_us = 0;  // when the complete request must have arrived
  Micros received_us = 0;          // when the request's first byte arrived; 0: none has arrived
  Micros complete_us = 0;          // when its last byte arrived; valid while busy
  HttpParser parser{HttpParser::Kind::kRequest};
  std::string unparsed;
  std::shared_ptr<ReplyWaiter> reply_waiter;  // set while busy
};

// Ordered by the time of accept.
using SessionList = std::list<ClientSession>;
using SessionRef = SessionList::iterator;

}  // namespace liftrudder::net

#endif  // LIFTRUDDER_NET_CLIENT_SESSION_H_
