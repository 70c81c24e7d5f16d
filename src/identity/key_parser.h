// Parses one key of a JWK set (RFC 7517, RFC 8037). Thread-safe.
#ifndef LIFTRUDDER_IDENTITY_KEY_PARSER_H_
#define LIFTRUDDER_IDENTITY_KEY_PARSER_H_

#include <nlohmann/json.hpp>
#include <string>
#include <tl/expected.hpp>

#include "identity/keys.h"

namespace liftrudder::identity {

// What is wrong with a key. `problem` completes a sentence that begins with the key's position in its set.
struct KeyError {
  std::string kid;  // empty if the key has none
  std::string problem;
};

tl::expected<Key, KeyError> ParseKey(const nlohmann::json& object);

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_KEY_PARSER_H_
