// Decodes the events of a block into a query's trace; event_encoding.h encodes them. Accepts arbitrary words:
// an invalid event is reported, never trusted. Usable from any thread.
#ifndef LIFTRUDDER_DECISION_LOG_EVENT_DECODING_H_
#define LIFTRUDDER_DECISION_LOG_EVENT_DECODING_H_

#include <cstdint>
#include <span>

#include "decision_log/record_file.h"
#include "decision_log/trace.h"

namespace liftrudder::decision_log {

// The endpoint's id and address. If the record no longer has them, the id is "#number" and the address is
// empty.
EndpointName ReadEndpointName(const RecordFile& record_file, std::uint32_t number);

// Adds a block's events to the trace, up to the first invalid one. False if there is an invalid one.
bool DecodeEvents(const RecordFile& record_file, std::span<const std::uint64_t> words, QueryTrace& trace);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EVENT_DECODING_H_
