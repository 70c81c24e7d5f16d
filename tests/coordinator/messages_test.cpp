#include "coordinator/messages.h"

#include <catch2/catch.hpp>

using liftrudder::coordinator::AttemptOutcome;
using liftrudder::coordinator::Cause;
using liftrudder::coordinator::OutcomeOf;
using liftrudder::coordinator::Progress;

TEST_CASE("whether an attempt may have run follows from its progress and from why it ended") {
  CHECK(OutcomeOf(Progress::kNotConnected, Cause::kConnectionLost) == AttemptOutcome::kConnectFailed);
  CHECK(OutcomeOf(Progress::kPartlyWritten, Cause::kConnectionLost) == AttemptOutcome::kConnectFailed);
  CHECK(OutcomeOf(Progress::kFullyWritten, Cause::kConnectionLost) == AttemptOutcome::kReset);
  CHECK(OutcomeOf(Progress::kFullyWritten, Cause::kInvalidResponse) == AttemptOutcome::kError);
  CHECK(OutcomeOf(Progress::kNotConnected, Cause::kCancelled) == AttemptOutcome::kNotSent);
  CHECK(OutcomeOf(Progress::kPartlyWritten, Cause::kCancelled) == AttemptOutcome::kCancelled);
  CHECK(OutcomeOf(Progress::kNotConnected, Cause::kExpired) == AttemptOutcome::kNotSent);
  CHECK(OutcomeOf(Progress::kFullyWritten, Cause::kExpired) == AttemptOutcome::kTimeout);
}
