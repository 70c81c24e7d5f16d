// The names in the platform's protocols: paths and headers of the client's HTTP, members of a query's and an
// answer's JSON, type letters and words of the frames to and from endpoints. They are interfaces and never
// change; all other code uses these constants.
#ifndef LIFTRUDDER_PLATFORM_WIRE_NAMES_H_
#define LIFTRUDDER_PLATFORM_WIRE_NAMES_H_

#include <string_view>

namespace liftrudder::platform::wire {

// Paths of the client's address.
inline constexpr char kQueryPath[] = "/api";
inline constexpr char kReadyPath[] = "/-/ready";
inline constexpr char kHealthyPath[] = "/-/healthy";
inline constexpr char kCountersPath[] = "/-/metrics";
inline constexpr char kExplainPath[] = "/-/why";

// Headers of a query.
inline constexpr char kCallIdHeader[] = "X-Call-Id";
inline constexpr char kClassHeader[] = "X-Call-Class";
inline constexpr char kTimeoutHeader[] = "X-Budget";  // seconds
inline constexpr char kRetryHeader[] = "X-Again";
inline constexpr char kRetryHeaderValue[] = "1";
inline constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";

// Members of a query's body.
inline constexpr char kShardRequests[] = "tablets";
inline constexpr char kStatement[] = "statement";
inline constexpr char kShard[] = "tablet";
inline constexpr char kWeight[] = "fraction";
inline constexpr char kWork[] = "guess";  // microseconds
inline constexpr char kKey[] = "token";   // hexadecimal

// Members of an answer's body.
inline constexpr char kComplete[] = "full";
inline constexpr char kShardResponses[] = "pieces";
inline constexpr char kValue[] = "cell";
inline constexpr char kError[] = "error";

// Frame types: two that the coordinator sends, then four that an endpoint sends.
inline constexpr char kQueryFrame = 'q';
inline constexpr char kCancelFrame = 'c';
inline constexpr char kAnswerFrame = 'a';
inline constexpr char kProgressFrame = 'p';
inline constexpr char kLoadFrame = 'l';
inline constexpr char kErrorFrame = 'e';
inline constexpr std::string_view kEndpointFrames = "aple";

// Fields in a query frame's line.
inline constexpr char kTimeoutField[] = "d";  // milliseconds
inline constexpr char kIdempotencyKeyField[] = "k";

// Outcome words of an answer frame.
inline constexpr char kOutcomeServed[] = "served";
inline constexpr char kOutcomeError[] = "broke";
inline constexpr char kOutcomeRejected[] = "skipped";

// Two figures have other names in load reports than in the settings.
inline constexpr char kReportedQueue[] = "queue";
inline constexpr char kReportedInFlight[] = "inflight";
inline constexpr char kConfiguredQueue[] = "q";
inline constexpr char kConfiguredInFlight[] = "rif";

// Discovery: the watch's target, to be followed by the version of the list in use.
inline constexpr char kWatchTarget[] = "/api/targets?watch=1&from=";

}  // namespace liftrudder::platform::wire

#endif  // LIFTRUDDER_PLATFORM_WIRE_NAMES_H_
