// Reads the events of a block back into a query's trace; event_encoding.h writes them. Takes any words: what
// is no event is reported, never trusted. Any thread.
#ifndef LIFTRUDDER_DECISION_LOG_EVENT_DECODING_H_
#define LIFTRUDDER_DECISION_LOG_EVENT_DECODING_H_

#include <cstdint>
#include <span>

#include "decision_log/record_file.h"
#include "decision_log/trace.h"

namespace liftrudder::decision_log {

// The endpoint's name where the record still has it, else its number.
EndpointName ReadEndpointName(const RecordFile& record_file, std::uint32_t number);

// Adds a block's events to the trace. False where the words are no events; those before that are added.
bool DecodeEvents(const RecordFile& record_file, std::span<const std::uint64_t> words, QueryTrace& trace);

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_EVENT_DECODING_H_
