// How an attempt at a shard request ended: values shared by the coordinator, the connection pools and the
// decision log. Plain data; usable from any thread.
//
// Both enumerations are written to the record file: enumerators may be renamed, never renumbered
// (record_format_check.cpp).
#ifndef LIFTRUDDER_DECISION_LOG_ATTEMPT_RESULT_H_
#define LIFTRUDDER_DECISION_LOG_ATTEMPT_RESULT_H_

#include <cstdint>

namespace liftrudder::decision_log {

// How far an attempt had progressed when it ended. Progress and Cause together determine whether the endpoint
// may have run the request.
enum class Progress : std::uint8_t { kNotConnected, kPartlyWritten, kFullyWritten, kAnswering };

// Why an attempt ended.
enum class Cause : std::uint8_t {
  kServed,              // the endpoint answered it
  kEndpointError,       // the endpoint reported that it failed
  kEndpointRejected,    // the endpoint rejected it without running it
  kInvalidResponse,     // the response could not be read
  kConnectionLost,      // the connection was lost or could not be established
  kCancelled,           // the coordinator cancelled it
  kExpired,             // its attempt deadline passed
  kStale,               // not written: its deadline had passed, or the endpoint was draining
  kClientDisconnected,  // not written: its client had disconnected
  kRepeatTooLate,       // not written: a repeat, and the deduplication window was over
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_ATTEMPT_RESULT_H_
