// Names in the operator's file, in key sets and in tokens. They are external interfaces and never change; the
// constants are named by the terms of the code.
#ifndef LIFTRUDDER_IDENTITY_WIRE_NAMES_H_
#define LIFTRUDDER_IDENTITY_WIRE_NAMES_H_

namespace liftrudder::identity::wire_names {

// The operator's file, object "identity".
constexpr char kKeysFile[] = "keys";
constexpr char kIssuer[] = "issuer";
constexpr char kAudience[] = "audience";
constexpr char kClockSkewSeconds[] = "skewS";
constexpr char kMaxCachedTokens[] = "cached";
constexpr char kWorkPerSecond[] = "workPerS";
constexpr char kMaxOpenQueries[] = "mostOpen";
constexpr char kTenants[] = "tenants";

// One tenant's permissions.
constexpr char kIndices[] = "indices";
constexpr char kPartialResults[] = "partial";
constexpr char kScrolls[] = "scrolls";
constexpr char kStatusPages[] = "pages";
constexpr char kNetworks[] = "networks";
constexpr char kCertificates[] = "certificates";
constexpr char kWeight[] = "weight";
constexpr char kFilter[] = "filter";

// Key sets: RFC 7517, RFC 8037 and two members that only this program defines.
constexpr char kKeys[] = "keys";
constexpr char kKeyId[] = "kid";
constexpr char kKeyType[] = "kty";
constexpr char kCurve[] = "crv";
constexpr char kAlgorithm[] = "alg";
constexpr char kKeyUse[] = "use";
constexpr char kKeyOperations[] = "key_ops";
constexpr char kCoordinateX[] = "x";
constexpr char kCoordinateY[] = "y";
constexpr char kState[] = "state";
constexpr char kRetiresAtSeconds[] = "until";

// Headers and claims of tokens: RFC 7515, RFC 7519 and "tenant".
constexpr char kCritical[] = "crit";
constexpr char kUnencodedPayload[] = "b64";
constexpr char kClaimIssuer[] = "iss";
constexpr char kClaimAudience[] = "aud";
constexpr char kClaimSubject[] = "sub";
constexpr char kClaimTenant[] = "tenant";
constexpr char kClaimExpiry[] = "exp";
constexpr char kClaimNotBefore[] = "nbf";
constexpr char kClaimIssuedAt[] = "iat";

}  // namespace liftrudder::identity::wire_names

#endif  // LIFTRUDDER_IDENTITY_WIRE_NAMES_H_
