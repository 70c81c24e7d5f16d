// The names under which counters and figures are printed. They never change, as operators' tools match them.
#ifndef LIFTRUDDER_METRICS_WIRE_NAMES_H_
#define LIFTRUDDER_METRICS_WIRE_NAMES_H_

#include <array>

namespace liftrudder::metrics::wire_names {

// Counters::Text.
inline constexpr const char* kQueriesAdmitted = "queries_taken";
inline constexpr const char* kRejectedAtIntake = "queries_turned_away";
inline constexpr const char* kRequestsMalformed = "requests_malformed";
inline constexpr const char* kRequestsDenied = "requests_denied";
inline constexpr const char* kConnectionsEvicted = "clients_closed_for_room";
inline constexpr const char* kClientsDisconnected = "clients_gone";
inline constexpr const char* kCompleteAnswers = "answers_whole";
inline constexpr const char* kPartialAnswers = "answers_partial";
inline constexpr const char* kRejectedAnswers = "answers_refused";
inline constexpr const char* kFailedAnswers = "answers_failed";
inline constexpr const char* kLateAnswers = "answers_late";
inline constexpr const char* kAttemptsSent = "attempts_sent";
inline constexpr const char* kAttemptsRetried = "attempts_resent";
inline constexpr const char* kAttemptOutcomePrefix = "attempts_";
// By routing::AttemptOutcome; follows kAttemptOutcomePrefix.
inline constexpr std::array<const char*, 8> kAttemptOutcomes = {
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};
inline constexpr const char* kConnectionsOpened = "connections_opened";
inline constexpr const char* kConnectionsFailed = "connections_failed";
inline constexpr const char* kConnectionsMalformed = "connections_spoilt";
inline constexpr const char* kRounds = "rounds";
inline constexpr const char* kEndpointLists = "lists_told";
inline constexpr const char* kConnectionsUnrequested = "connections_unrequested";
inline constexpr const char* kConnectionsMisnamed = "connections_misnamed";
inline constexpr const char* kConnectionsUnnamed = "connections_unnamed";
inline constexpr const char* kQueriesShortened = "queries_shortened";
inline constexpr const char* kCredentialChecks = "credential_checks";
inline constexpr const char* kCredentialsCheckedMs = "credentials_checked_ms";

// OperatorFigures::Text; the figures by class carry the label kClassLabel.
inline constexpr const char* kClassLabel = "group";
inline constexpr const char* kAnsweredTotal = "app_answered_total";
inline constexpr const char* kRejectedTotal = "app_deferred_total";
inline constexpr const char* kFailedTotal = "app_errored_total";
inline constexpr const char* kAttemptsTotal = "app_sends_total";
inline constexpr const char* kCurrent = "app_current";
inline constexpr const char* kClusterSize = "app_cluster_size";
inline constexpr const char* kClusterUnhealthy = "app_cluster_unhealthy";

}  // namespace liftrudder::metrics::wire_names

#endif  // LIFTRUDDER_METRICS_WIRE_NAMES_H_
