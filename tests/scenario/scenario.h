// A scenario is lines of send, expect, close and wait, played against the started program over sockets.
//
//   set PATH JSON            change the program's configuration before it starts (a JSON pointer)
//   holder NAME CELL [STATE] a fake endpoint; STATE: ready, or dead (refuses connections)
//   zone                     the endpoints so far come from a zone file instead of discovery
//   update C VERB HOLDER     client C adds or removes an endpoint by dynamic update; expect C "rcode 0"
//   start platform|search    start the program and wait until it is ready
//   query C ID CLASS BUDGET SHARDS [KEY]   client C posts a platform query for shards such as 0,1
//   post C ID BODY           client C posts any body in the class `whole`, within 8 s
//   http C METHOD TARGET [BODY]            client C sends any request with a body's length
//   send X TEXT              bytes on X's connection, \r \n \xNN understood; on an endpoint: one frame
//   bytes X TEXT             bytes as they are on the connection of an endpoint's last message
//   flood C SIZE TEXT        client C sends the bytes and then so many more, whatever is answered meanwhile
//   reply X STATUS BODY      an endpoint answers the request it took last, in HTTP
//   deny discovery BYTES     the next watch gets these bytes and its connection ends
//   stall discovery BYTES    the next watch gets these bytes, and nothing more on a connection that stays
//   log once TEXT            the program's log says this, and only once so far
//   keys KID[:STATE] ...     from now on this is the key set that clients' tokens are verified with
//   token C KID TENANT [S]   client C's `http` requests carry a token of that key, good for S seconds (60)
//   tls NAME [C] ...         the certificate for that name is shown from now on, and the clients C have
//                            theirs revoked; clients speak TLS where /tls is set, but for those named raw...
//   certificate C NAMES      client C shows one with these names, such as DNS:a.example
//   finished C               C's connection has been closed with TLS's close_notify, and not cut
//   list NAME STATE          discovery sends an endpoint's state: ready, draining or gone (removed)
//   indented NAME STATE [N]  the same in a full list over many lines, with N more endpoints that drain
//   expect X GLOB            the next message at X matches (an endpoint's name, a client's, or any: the
//   endpoint
//                            that gets one next, called `it` from then on, and the next other one `other`)
//   ended X                  X's connection has been closed by the program
//   quiet X                  nothing has come at X that was not expected
//   keep NAME PREFIX SUFFIX  what stands between these in the last message, later written $NAME
//   close X                  X's connections end; `reset X` with a reset; `dead X` with a reset, and the
//   listener too reload [bad]             discovery moves to a new address, the configuration says so (or
//   cannot be read)
//                            and SIGHUP is sent; waits until the program watches there (or has logged it)
//   signal                   SIGTERM to the program;  wait exit: it has ended with 0
//   until GLOB               the program's counters match
#ifndef LIFTRUDDER_TESTS_SCENARIO_SCENARIO_H_
#define LIFTRUDDER_TESTS_SCENARIO_SCENARIO_H_

#include <stdexcept>
#include <string>

namespace liftrudder::tests {

// A statement that did not hold, or cannot be read.
class ScenarioError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Plays the text of a scenario against the program at that path. Throws ScenarioError naming the line.
void Play(const std::string& program, const std::string& scenario);

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SCENARIO_SCENARIO_H_
