// How an attempt can end: the values that both the core and the record of decisions speak. Plain data, any
// thread.
#ifndef LIFTRUDDER_DECISION_LOG_ATTEMPT_RESULT_H_
#define LIFTRUDDER_DECISION_LOG_ATTEMPT_RESULT_H_

#include <cstdint>

namespace liftrudder::decision_log {

// How far an attempt had come when it ended, and why it ended. Whether it may have run follows from these
// alone.
enum class Progress : std::uint8_t { kNotConnected, kPartlyWritten, kWhollyWritten, kAnswering };
enum class Cause : std::uint8_t {
  kServed,
  kBroke,
  kSkipped,
  kSpoilt,
  kConnectionLost,
  kCancelled,
  kExpired,
  kStale,  // its time was over, or its holder takes nothing new
  kLeft    // its client had gone
};

}  // namespace liftrudder::decision_log

#endif  // LIFTRUDDER_DECISION_LOG_ATTEMPT_RESULT_H_
