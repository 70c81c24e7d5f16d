// The keys and words of the configuration, of the routing settings in it, and of the endpoint list, as in the
// platform's documents and the operators' files. They are interfaces and never change; all other code uses
// these constants.
#ifndef LIFTRUDDER_CONFIG_WIRE_NAMES_H_
#define LIFTRUDDER_CONFIG_WIRE_NAMES_H_

namespace liftrudder::config::wire {

// The configuration of a coordinator.
inline constexpr char kName[] = "name";
inline constexpr char kListenAddress[] = "listen";
inline constexpr char kDiscoveryAddress[] = "discovery";
inline constexpr char kAdminAddress[] = "mgmt";
inline constexpr char kSeed[] = "seed";
inline constexpr char kSettings[] = "settings";
inline constexpr char kCachedEndpointList[] = "known";
inline constexpr char kLimits[] = "limits";
inline constexpr char kLimitCores[] = "cores";
inline constexpr char kLimitMemoryMb[] = "memory_mb";
inline constexpr char kLimitDescriptors[] = "sockets";
inline constexpr char kDecisionLog[] = "why";
inline constexpr char kDecisionLogBytes[] = "bytes";
inline constexpr char kDecisionLogFile[] = "file";

// The routing settings: the top level.
inline constexpr char kClasses[] = "grades";
inline constexpr char kTenants[] = "projects";
inline constexpr char kSharding[] = "familyInfo";
inline constexpr char kBounds[] = "bounds";
inline constexpr char kRules[] = "rules";
inline constexpr char kLoadReport[] = "loadInfo";
inline constexpr char kLoadReportNames[] = "names";
inline constexpr char kZones[] = "dcs";
inline constexpr char kEndpointKinds[] = "kinds";
inline constexpr char kZone[] = "az";
inline constexpr char kFleetSize[] = "groupSize";
inline constexpr char kOrdinal[] = "ordinal";
inline constexpr char kDecisionInterval[] = "resolutionUs";
inline constexpr char kOverQuotaValue[] = "overShareWorth";
inline constexpr char kEndpointListMode[] = "registryMode";
inline constexpr char kEndpointListAutomatic[] = "automatic";
inline constexpr char kEndpointListSubscribe[] = "subscribe";

// A query class.
inline constexpr char kClassName[] = "name";
inline constexpr char kLatencyObjective[] = "aimUs";
inline constexpr char kClientTimeout[] = "giveUpUs";
inline constexpr char kLateValueFraction[] = "lateShare";
inline constexpr char kPriorityWeight[] = "value";
inline constexpr char kEffect[] = "effect";
inline constexpr char kEffectIdempotent[] = "idempotent";
inline constexpr char kEffectIdempotencyKey[] = "deduplicated";
inline constexpr char kEffectNonIdempotent[] = "at_most_once";
inline constexpr char kDeduplicationWindow[] = "repeatWindowUs";
inline constexpr char kObjectivePerWork[] = "aimStretch";

// A tenant.
inline constexpr char kTenantQuota[] = "allowancePerS";
inline constexpr char kTenantFraction[] = "fraction";

// Sharding; the lists have one entry for each class.
inline constexpr char kMinimumCoverages[] = "classFloor";
inline constexpr char kCompleteCoverages[] = "wholeAt";
inline constexpr char kPartialValueFactors[] = "incompleteWorth";
inline constexpr char kFetchPhaseRequests[] = "classFetch";
inline constexpr char kCells[] = "cells";
inline constexpr char kReach[] = "reach";
inline constexpr char kShards[] = "slices";
inline constexpr char kMaxRequestsPerCall[] = "perCall";
inline constexpr char kKeyAffinity[] = "warmKeys";

// Bounds.
inline constexpr char kMaxAttempts[] = "attemptsCap";
inline constexpr char kMaxInFlight[] = "maxOpen";
inline constexpr char kCancellationAllowed[] = "cancelling";
inline constexpr char kHealthChecksAllowed[] = "probes";
inline constexpr char kHedgingAllowed[] = "secondCopies";
inline constexpr char kRetryAfterAllowed[] = "retryAfter";
inline constexpr char kMaxRetryAfter[] = "maxRetryAfterUs";
inline constexpr char kConnectTimeout[] = "connectTimeoutUs";
inline constexpr char kIdleTimeout[] = "idleCloseUs";
inline constexpr char kStreamsPerConnection[] = "streamsPerConn";

// Rules.
inline constexpr char kGraceToAnswer[] = "graceToAnswerUs";
inline constexpr char kDrainGrace[] = "stopSendingWithinUs";
inline constexpr char kPollDeadline[] = "askWithinUs";
inline constexpr char kSlowStartCapacity[] = "startCapacity";
inline constexpr char kSlowStart[] = "coldUs";
inline constexpr char kCollapseLoadMultiple[] = "fallMultiple";
inline constexpr char kCollapseWindow[] = "fallUs";
inline constexpr char kRetryBudgetWindow[] = "resendSpanUs";
inline constexpr char kRetryBudgetFloor[] = "freeResends";
inline constexpr char kRetryBudgetRatio[] = "furtherRatio";

// The endpoint list.
inline constexpr char kListVersion[] = "version";
inline constexpr char kListIsFull[] = "full";
inline constexpr char kListEndpoints[] = "servers";
inline constexpr char kEndpointId[] = "id";
inline constexpr char kEndpointAddress[] = "addr";
inline constexpr char kEndpointCell[] = "cell";
inline constexpr char kEndpointZone[] = "zone";
inline constexpr char kEndpointKind[] = "kind";
inline constexpr char kEndpointWeight[] = "weight";
inline constexpr char kEndpointStartedMs[] = "started_ms";
inline constexpr char kEndpointState[] = "state";
inline constexpr char kStateReady[] = "ready";
inline constexpr char kStateDraining[] = "draining";
inline constexpr char kStateRemoved[] = "gone";

}  // namespace liftrudder::config::wire

#endif  // LIFTRUDDER_CONFIG_WIRE_NAMES_H_
