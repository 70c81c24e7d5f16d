#include "metrics/metrics.h"

#include <fmt/format.h>

#include <iterator>

#include "metrics/wire_names.h"

namespace liftrudder::metrics {

std::string Counters::Text() const {
  std::string text;
  auto line = [&text](const char* name, const Counter& counter) {
    fmt::format_to(std::back_inserter(text), "{} {}\n", name, counter.Value());
  };
  line(wire_names::kQueriesAdmitted, queries_admitted);
  line(wire_names::kRejectedAtIntake, rejected_at_intake);
  line(wire_names::kRequestsMalformed, malformed_requests);
  line(wire_names::kRequestsDenied, denied_requests);
  line(wire_names::kConnectionsEvicted, connections_evicted);
  line(wire_names::kClientsDisconnected, clients_disconnected);
  line(wire_names::kCompleteAnswers, complete_answers);
  line(wire_names::kPartialAnswers, partial_answers);
  line(wire_names::kRejectedAnswers, rejected_answers);
  line(wire_names::kFailedAnswers, failed_answers);
  line(wire_names::kLateAnswers, late_answers);
  line(wire_names::kAttemptsSent, attempts_sent);
  line(wire_names::kAttemptsRetried, attempts_retried);
  for (std::size_t i = 0; i < outcomes.size(); ++i) {
    fmt::format_to(std::back_inserter(text), "{}{} {}\n", wire_names::kAttemptOutcomePrefix,
                   wire_names::kAttemptOutcomes[i], outcomes[i].Value());
  }
  line(wire_names::kConnectionsOpened, connections_opened);
  line(wire_names::kConnectionsFailed, connections_failed);
  line(wire_names::kConnectionsMalformed, malformed_responses);
  line(wire_names::kRounds, rounds);
  line(wire_names::kEndpointLists, endpoint_lists);
  // Newer counters follow, as operators' tools may rely on the order.
  line(wire_names::kConnectionsUnrequested, unrequested_responses);
  line(wire_names::kConnectionsMisnamed, misnamed_responses);
  line(wire_names::kConnectionsUnnamed, unnamed_responses);
  line(wire_names::kQueriesShortened, shortened_queries);
  line(wire_names::kCredentialChecks, credential_checks);
  line(wire_names::kCredentialsCheckedMs, credentials_checked_ms);
  return text;
}

}  // namespace liftrudder::metrics
