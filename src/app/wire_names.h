// Names that operators and their scripts rely on: environment variables, sub-commands and their options,
// members of the operator's file, admin paths. They are interfaces and never change; the rest of the module
// uses these constants.
#ifndef LIFTRUDDER_APP_WIRE_NAMES_H_
#define LIFTRUDDER_APP_WIRE_NAMES_H_

namespace liftrudder::app::wire {

// Environment variables of the platform's deployment.
inline constexpr char kConfigVariable[] = "BALANCER_CONFIG";
inline constexpr char kAdminAddressVariable[] = "BALANCER_MGMT";
inline constexpr char kPassedSocketVariable[] = "BALANCER_PASSED_SOCKET";

// Paths of the admin address.
inline constexpr char kHealthPath[] = "/healthcheck";
inline constexpr char kDrainPath[] = "/healthcheck/fail";
inline constexpr char kEndDrainPath[] = "/healthcheck/ok";
inline constexpr char kFiguresPath[] = "/stats";
inline constexpr char kFiguresContentType[] = "text/plain; version=0.0.4";

// Members of the operator's file that this module reads.
inline constexpr char kIdentityMember[] = "identity";
inline constexpr char kTlsMember[] = "tls";
inline constexpr char kTlsCertificates[] = "certificates";
inline constexpr char kTlsCertificate[] = "certificate";
inline constexpr char kTlsKey[] = "key";
inline constexpr char kTlsClients[] = "clients";
inline constexpr char kTlsClientIssuers[] = "issuers";
inline constexpr char kTlsClientRevoked[] = "revoked";
inline constexpr char kTlsClientRequired[] = "required";

// The explain service: its path, sub-command, query parameters.
inline constexpr char kExplainCommand[] = "why";
inline constexpr char kExplainPath[] = "/-/why";
inline constexpr char kExplainId[] = "id";
inline constexpr char kExplainClass[] = "class";
inline constexpr char kExplainVerdict[] = "verdict";
inline constexpr char kExplainEndpoint[] = "holder";
inline constexpr char kExplainReason[] = "reason";
inline constexpr char kExplainSince[] = "since";
inline constexpr char kExplainUntil[] = "until";
inline constexpr char kExplainLimit[] = "limit";
inline constexpr char kExplainFormat[] = "format";
inline constexpr char kExplainSummary[] = "summary";
inline constexpr char kExplainEndpointOption[] = "--holder";
inline constexpr char kExplainVerdicts[] = "open, whole, partial, refused, failed, late, gone or turned_away";
inline constexpr char kExplainReasonExample[] = "pressure";

}  // namespace liftrudder::app::wire

#endif  // LIFTRUDDER_APP_WIRE_NAMES_H_
