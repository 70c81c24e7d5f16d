// Reads JSON that a stranger signed or an operator wrote: bounded in bytes and depth, and no member twice,
// since one reader would take the first and another the last (RFC 7515 section 4). Plain function, any
// thread.
#ifndef LIFTRUDDER_IDENTITY_STRICT_JSON_H_
#define LIFTRUDDER_IDENTITY_STRICT_JSON_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <variant>

namespace liftrudder::identity {

// The value, or what is wrong with the text.
std::variant<nlohmann::json, std::string> ReadStrictJson(std::string_view text, std::size_t most_bytes,
                                                         std::size_t most_depth = 8);

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_STRICT_JSON_H_
