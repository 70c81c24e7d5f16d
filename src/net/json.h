// Scans JSON text (RFC 8259) and returns slices of it without building a tree, so that values that are only
// passed on keep their original bytes. No I/O, no threads; slices are valid as long as the text.
#ifndef LIFTRUDDER_NET_JSON_H_
#define LIFTRUDDER_NET_JSON_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace liftrudder::net::json {

// Removes one value, and the white space around it, from the front of `in`. Returns its text, or nullopt if
// it is malformed or nested too deeply.
std::optional<std::string_view> TakeValue(std::string_view& in);
// Whether the text is one value and nothing else.
bool Valid(std::string_view text);

// Called for each member of an object or element of an array; returning false stops the iteration. Keys keep
// their escapes.
using OnMember = std::function<bool(std::string_view key, std::string_view value)>;
using OnElement = std::function<bool(std::string_view value)>;
// Return false if the text is malformed or of another type, or if the callback returned false.
bool ForEachMember(std::string_view object, const OnMember& each);
bool ForEachElement(std::string_view array, const OnElement& each);

// The text of the object's last member with this key; empty if there is none.
std::string_view FindMember(std::string_view object, std::string_view key);

// These parse the text of one value as returned by TakeValue; nullopt if it is of another type.
std::optional<std::string_view> RawString(std::string_view value);  // without the quotes, escapes kept
std::optional<std::string> ParseString(std::string_view value);
std::optional<double> ParseNumber(std::string_view value);  // finite
std::optional<std::int64_t> ParseInteger(std::string_view value);
std::optional<bool> ParseBool(std::string_view value);

// Encodes the text as a JSON string.
std::string Quote(std::string_view text);

}  // namespace liftrudder::net::json

#endif  // LIFTRUDDER_NET_JSON_H_
