// The names of the platform's protocol: paths and headers of the client's HTTP, members of the query's and
// the answer's JSON, letters and words of the frames to endpoints. They are interfaces and never change;
// everything else uses the constants.
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
inline constexpr char kIsRetry[] = "1";
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

// First byte of a frame: what the coordinator writes, and what an endpoint writes.
inline constexpr char kQueryFrame = 'q';
inline constexpr char kCancelFrame = 'c';
inline constexpr char kAnswerFrame = 'a';
inline constexpr char kProgressFrame = 'p';
inline constexpr char kLoadFrame = 'l';
inline constexpr char kErrorFrame = 'e';
inline constexpr std::string_view kEndpointFrames = "aple";

// In a query frame's line.
inline constexpr char kTimeoutField[] = "d";  // milliseconds
inline constexpr char kIdempotencyKeyField[] = "k";

// Outcome words of an answer frame.
inline constexpr char kServed[] = "served";
inline constexpr char kBroke[] = "broke";
inline constexpr char kSkipped[] = "skipped";

// Load reports name two figures otherwise than the settings do.
inline constexpr char kReportedQueue[] = "queue";
inline constexpr char kReportedInFlight[] = "inflight";
inline constexpr char kConfiguredQueue[] = "q";
inline constexpr char kConfiguredInFlight[] = "rif";

// Discovery: the watch, and its parameter with the version that is known.
inline constexpr char kWatchTarget[] = "/api/targets?watch=1&from=";

}  // namespace liftrudder::platform::wire

#endif  // LIFTRUDDER_PLATFORM_WIRE_NAMES_H_
