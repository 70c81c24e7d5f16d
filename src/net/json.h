// Scans JSON text and hands out slices of it; what is not asked for stays the bytes that came.
#ifndef LIFTRUDDER_NET_JSON_H_
#define LIFTRUDDER_NET_JSON_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace liftrudder::net::json {

// Takes one value off the front, blanks around it included; its text, or nothing when it is malformed.
std::optional<std::string_view> Take(std::string_view& in);
// The text is one value and nothing else.
bool Valid(std::string_view text);

// Calls for each member or element; false when malformed, not of that kind, or the callee said stop.
using OnMember = std::function<bool(std::string_view key, std::string_view value)>;
using OnElement = std::function<bool(std::string_view value)>;
bool JsonMembers(std::string_view object, const OnMember& each);
bool Elements(std::string_view array, const OnElement& each);

// One member's text; empty when there is none.
std::string_view Get(std::string_view object, std::string_view key);

// What stands between the quotes, escapes kept.
std::optional<std::string_view> RawString(std::string_view value);
std::optional<std::string> String(std::string_view value);
std::optional<double> Number(std::string_view value);
std::optional<std::int64_t> Integer(std::string_view value);
std::optional<bool> Bool(std::string_view value);

std::string Quote(std::string_view text);

}  // namespace liftrudder::net::json

#endif  // LIFTRUDDER_NET_JSON_H_
