// Texts of scenarios and of the wires in them: escapes, globs, frames, HTTP requests. Pure functions.
#ifndef LIFTRUDDER_TESTS_SCENARIO_TEXT_H_
#define LIFTRUDDER_TESTS_SCENARIO_TEXT_H_

#include <string>
#include <string_view>

namespace liftrudder::tests {

// \r, \n and \xNN replaced by their bytes; any other escaped character by itself.
std::string Unescape(std::string_view text);

// `glob` has stars and nothing else that is special, since messages are full of brackets.
bool MatchesGlob(std::string_view glob, std::string_view text);

// A platform frame: a length of four bytes, least significant first, and `content`, its letter included.
std::string Frame(std::string_view content);
// The size of the content of the frame that begins `bytes`, of which there are four at least.
std::size_t FrameSize(std::string_view bytes);

// `headers` end with a line break each.
std::string HttpRequest(const std::string& method, const std::string& target, const std::string& headers,
                        const std::string& body);
std::string QueryHeaders(const std::string& call_id, const std::string& class_name,
                         const std::string& timeout_seconds);

// What follows `mark` in `log` up to the end of its line; empty while there is no such whole line.
std::string LoggedAfter(const std::string& log, const std::string& mark);

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SCENARIO_TEXT_H_
