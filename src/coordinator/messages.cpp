#include "coordinator/messages.h"

namespace liftrudder::coordinator {

AttemptOutcome OutcomeOf(Progress progress, Cause cause) {
  bool may_have_run = progress >= Progress::kFullyWritten;
  bool partly_written = progress >= Progress::kPartlyWritten;
  switch (cause) {
    case Cause::kServed:
      return AttemptOutcome::kOk;
    case Cause::kEndpointError:
      return AttemptOutcome::kError;
    case Cause::kEndpointRejected:
      return AttemptOutcome::kOverloaded;
    case Cause::kInvalidResponse:
      // The endpoint is alive but its response is unusable: an error rather than the loss of its process.
      return may_have_run ? AttemptOutcome::kError : AttemptOutcome::kConnectFailed;
    case Cause::kConnectionLost:
      return may_have_run ? AttemptOutcome::kReset : AttemptOutcome::kConnectFailed;
    case Cause::kCancelled:
      // A partly written frame is still written completely, so the endpoint may run the attempt.
      return partly_written ? AttemptOutcome::kCancelled : AttemptOutcome::kNotSent;
    case Cause::kExpired:
      return partly_written ? AttemptOutcome::kTimeout : AttemptOutcome::kNotSent;
    case Cause::kStale:
    case Cause::kClientDisconnected:
    case Cause::kRepeatTooLate:
      return AttemptOutcome::kNotSent;
  }
  return AttemptOutcome::kError;
}

}  // namespace liftrudder::coordinator
