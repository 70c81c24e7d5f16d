// base64url without padding (RFC 4648 section 5, as used by RFC 7515 section 2), strict: every value has
// exactly one encoding. Thread-safe.
#ifndef LIFTRUDDER_IDENTITY_BASE64URL_H_
#define LIFTRUDDER_IDENTITY_BASE64URL_H_

#include <optional>
#include <string>
#include <string_view>

namespace liftrudder::identity {

// Returns nothing if a character is outside the alphabet (padding, blanks and line ends included), the length
// is impossible, or the trailing bits are not zero: with two encodings of its signature, one token would have
// two cache entries.
std::optional<std::string> DecodeBase64Url(std::string_view text);

std::string EncodeBase64Url(std::string_view bytes);

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_BASE64URL_H_
