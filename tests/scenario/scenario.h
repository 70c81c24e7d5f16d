// A scenario is lines of send, expect, close and wait, played against the started program over sockets.
//
//   set PATH JSON            change the program's configuration before it starts (a JSON pointer)
//   holder NAME CELL [STATE] a stand-in holder; STATE: ready, or dead (refuses connections)
//   zone                     the holders so far come from a zone file instead of discovery
//   update C VERB HOLDER     client C adds or removes a holder by dynamic update; expect C "rcode 0"
//   start platform|search    start the program and wait until it is ready
//   query C ID CLASS BUDGET SHARDS [KEY]   client C posts a platform query for shards such as 0,1
//   post C ID BODY           client C posts any body in the class `whole`, within 8 s
//   http C METHOD TARGET [BODY]            client C sends any request with a body's length
//   send X TEXT              bytes on X's connection, \r \n \xNN understood; on a holder: one frame
//   bytes X TEXT             bytes as they are on the connection of a holder's last message
//   flood C SIZE TEXT        client C sends the bytes and then so many more, whatever is answered meanwhile
//   reply X STATUS BODY      a holder answers the request it took last, in HTTP
//   deny discovery BYTES     the next watch gets these bytes and its connection ends
//   stall discovery BYTES    the next watch gets these bytes, and nothing more on a connection that stays
//   log once TEXT            the program's log says this, and only once so far
//   keys KID[:STATE] ...     the key set that callers' tokens are held against is this from now on
//   token C KID TENANT [S]   client C's `http` requests carry a token of that key, good for S seconds (60)
//   tls NAME [C] ...         the certificate for that name is shown from now on, and those of the clients C
//   are
//                            taken back; clients speak TLS where /tls is set, but for those named raw...
//   certificate C NAMES      client C shows one with these names, such as DNS:a.example
//   finished C               C's connection has been closed, and not cut: the last word came
//   list NAME STATE          discovery tells of a holder: ready, draining or gone
//   indented NAME STATE [N]  the same in a whole list over many lines, with N more holders that drain
//   expect X GLOB            the next message at X matches (a holder's name, a client's, or any: the holder
//                            that gets one next, called `it` from then on, and the next other one `other`)
//   ended X                  X's connection has been closed by the program
//   quiet X                  nothing has come at X that was not expected
//   keep NAME PREFIX SUFFIX  what stands between these in the last message, later written $NAME
//   close X                  X's connections end; `reset X` with a reset; `dead X` and the listener too
//   reload [bad]             discovery moves to a new address and the configuration says so (or cannot be
//   read),
//                            and SIGHUP is sent; waits until the program watches there (or has logged it)
//   signal                   SIGTERM to the program;  wait exit: it has ended with 0
//   until GLOB               the program's counters match
#ifndef LIFTRUDDER_TESTS_SCENARIO_SCENARIO_H_
#define LIFTRUDDER_TESTS_SCENARIO_SCENARIO_H_

#include <string>

namespace liftrudder::tests {

// Plays it; throws std::runtime_error naming the line that did not hold.
void Play(const std::string& program, const std::string& scenario);

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SCENARIO_SCENARIO_H_
