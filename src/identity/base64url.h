// base64url without padding (RFC 4648 section 5, as used by RFC 7515 section 2), strict: every value has
// exactly one encoding. Plain functions for any thread.
#ifndef LIFTRUDDER_IDENTITY_BASE64URL_H_
#define LIFTRUDDER_IDENTITY_BASE64URL_H_

#include <optional>
#include <string>
#include <string_view>

namespace liftrudder::identity {

// Nothing where a character is outside the alphabet (padding, blanks and line ends included), the length is
// impossible, or the remaining bits are not zero: two texts for one signature would be two tokens to a cache.
std::optional<std::string> DecodeBase64Url(std::string_view text);

std::string EncodeBase64Url(std::string_view bytes);

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_BASE64URL_H_
