// Text helpers for scenarios: escapes, globs, frames, HTTP requests, log lines. Pure functions.
#ifndef LIFTRUDDER_TESTS_SCENARIO_TEXT_H_
#define LIFTRUDDER_TESTS_SCENARIO_TEXT_H_

#include <string>
#include <string_view>

namespace liftrudder::tests {

// Replaces \r, \n and \xNN by their bytes, and any other escaped character by itself.
std::string Unescape(std::string_view text);

// In `glob` only * is special: messages contain many brackets, which must match literally.
bool MatchesGlob(std::string_view glob, std::string_view text);

// A platform frame: a 4-byte little-endian length and `content`, which begins with the frame's type letter.
std::string Frame(std::string_view content);
// The content size of the frame at the start of `bytes`, which holds at least 4 bytes.
std::size_t FrameSize(std::string_view bytes);

// Each header line in `headers` ends with CRLF.
std::string HttpRequest(const std::string& method, const std::string& target, const std::string& headers,
                        const std::string& body);
std::string QueryHeaders(const std::string& call_id, const std::string& class_name,
                         const std::string& timeout_seconds);

// The rest of the line after `prefix` in `log`; empty while there is no such complete line.
std::string LoggedTextAfter(const std::string& log, const std::string& prefix);

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SCENARIO_TEXT_H_
