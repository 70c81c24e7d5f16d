// Readable text for the values in a trace: how an attempt ended, why an endpoint was chosen, why a shard
// request was pending, why a query ended. Also covers values that this program does not know, as a damaged
// record or a newer program may write. Pure functions; usable from any thread.
#ifndef LIFTRUDDER_DECISION_LOG_REASON_TEXT_H_
#define LIFTRUDDER_DECISION_LOG_REASON_TEXT_H_

#include <string>

#include "decision_log/trace.h"

namespace liftrudder::decision_log {

// For example "was retried, since the attempt before lost its connection, at".
std::string DispatchText(const AttemptTrace& attempt);
// For example "since it had the fewest of our shard requests in flight (0; s-2 had 1)".
std::string ChoiceText(const AttemptTrace& attempt);
const char* CancelText(routing::CancelReason reason);
// For example "the connection was lost after the request was written, so it may have run".
std::string AttemptEndText(const AttemptTrace& attempt);
// For example "was not retried: the retry budget is used up".
std::string PendingText(const PendingTrace& pending);
// Why the query ended, or was rejected at intake.
std::string EndReasonText(const QueryTrace& trace);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_REASON_TEXT_H_
