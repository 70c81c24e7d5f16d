// A scenario is a script of statements, one per line, that are executed against the started program over
// sockets. Lines that begin with # are comments.
//
//   set PATH JSON            sets a value of the configuration before the start (PATH is a JSON pointer)
//   holder NAME CELL [STATE] adds a fake endpoint; STATE: ready, dead (refuses connections), or late
//   (connections
//                            to it stay pending until `admit NAME`)
//   zone                     the endpoints added so far come from a zone file instead of discovery
//   update C VERB HOLDER     client C adds or removes an endpoint by dynamic update; expect C "rcode 0"
//   start platform|search    starts the program and waits until it is ready
//   query C ID CLASS BUDGET SHARDS [KEY]   client C sends a platform query for shards such as 0,1
//   post C ID BODY           client C sends any body in the class `whole` with a timeout of 8 s
//   http C METHOD TARGET [BODY]            client C sends any request, with its Content-Length
//   begin C METHOD TARGET [BODY]           the same without the last byte, which `complete C` sends
//   send X TEXT              sends bytes on X's connection (escapes: \r, \n, \xNN); an endpoint sends a frame
//   bytes X TEXT             the same without a frame, on the connection of X's last expected message
//   flood C SIZE TEXT        client C sends TEXT and SIZE more bytes without reading the response
//   reply X STATUS BODY      the endpoint answers its last expected request, in HTTP, with its X-Opaque-Id
//   deny discovery BYTES     the next watch gets these bytes and its connection is closed
//   stall discovery BYTES    the next watch gets these bytes and nothing more; its connection stays open
//   log once TEXT            waits until the program's log contains TEXT, which it may contain only once
//   keys KID[:STATE] ...     replaces the key set that client tokens are verified with
//   token C KID TENANT [S]   client C's `http` requests carry a token signed by KID, valid for S seconds (60)
//   tls NAME [C] ...         the server's certificate is now for NAME, and the certificates of the clients C
//                            are revoked; where /tls is set, clients use TLS unless they are named raw...
//   certificate C NAMES      client C presents a certificate with these names, such as DNS:a.example
//   finished C               C's connection was closed with a TLS close_notify, not truncated
//   list NAME STATE          discovery sends an endpoint's state: ready, draining or gone (removed)
//   restart NAME MS          discovery sends the endpoint as ready with another start time, in ms; its
//   connections
//                            to the process before stay open
//   takeover NEW CELL OLD MS discovery sends a new endpoint at the address of OLD, which the list still has
//   indented NAME STATE [N]  the same in a full list, indented, with N additional draining endpoints
//   expect X GLOB            the next message at X matches. X is an endpoint, a client, `any` (the endpoint
//                            that gets the next message, called `it` from then on) or `other` (another one,
//                            called `other` from then on)
//   ended X                  the program has closed X's connection
//   quiet X                  every message that X has received was expected
//   keep NAME PREFIX SUFFIX  stores the text between these in the last expected message, to be used as $NAME
//   close X                  closes X's connections; `reset X` resets them; `dead X` resets them and closes
//                            X's listener too
//   descriptors none         the program can open no file or socket until `descriptors restored`
//   reload only              the configuration is written and SIGHUP is sent, without waiting for an effect
//   reload [bad]             discovery moves to a new address, the configuration names it (bad: is not JSON)
//                            and SIGHUP is sent; waits until the program watches there or, with `bad`, has
//                            logged the error
//   signal                   sends SIGTERM to the program
//   wait exit                waits until the program has exited with 0
//   until GLOB               waits until the program's counters match
#ifndef LIFTRUDDER_TESTS_SCENARIO_SCENARIO_H_
#define LIFTRUDDER_TESTS_SCENARIO_SCENARIO_H_

#include <stdexcept>
#include <string>

namespace liftrudder::tests {

// A statement failed or cannot be parsed.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Executes the scenario against the program at that path. Throws ScenarioError that names the failed line.
void Play(const std::string& program, const std::string& scenario);

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SCENARIO_SCENARIO_H_
