// Parses JSON from untrusted clients and from operators, with limits on its bytes and its depth. Duplicate
// members are an error, since one parser would take the first and another the last (RFC 7515 section 4).
// Thread-safe.
#ifndef LIFTRUDDER_IDENTITY_STRICT_JSON_H_
#define LIFTRUDDER_IDENTITY_STRICT_JSON_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string_view>
#include <tl/expected.hpp>

#include "identity/read_error.h"

namespace liftrudder::identity {

constexpr std::size_t kDefaultMaxJsonDepth = 8;

tl::expected<nlohmann::json, ReadError> ParseStrictJson(std::string_view text, std::size_t max_bytes,
                                                        std::size_t max_depth = kDefaultMaxJsonDepth);

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_STRICT_JSON_H_
