// Puts what the record holds into words: a text that a coordinator understands, or JSON. Decides nothing,
// does no I/O. Any thread. Names that clients chose are escaped wherever they are not plain ASCII, and
// results are bounded in bytes.
#ifndef LIFTRUDDER_WHY_EXPLAIN_H_
#define LIFTRUDDER_WHY_EXPLAIN_H_

#include <string>

#include "why/reader.h"

namespace liftrudder::why {

constexpr std::size_t kMostReply = 512 * 1024;  // bytes; stories beyond are left out and that is said

// One query, in sentences.
std::string TextOf(const Story& story);
// The answer to a question: the stories, or what is known where there are none. Never empty.
std::string TextOf(const Found& found, const Filter& filter, const About& about);
std::string JsonOf(const Found& found, const Filter& filter, const About& about);

std::string TextOf(const Summary& summary, const About& about);
std::string JsonOf(const Summary& summary, const About& about);

// Printable ASCII as it is, all else as \xNN.
std::string Escaped(std::string_view text);

}  // namespace liftrudder::why

#endif  // LIFTRUDDER_WHY_EXPLAIN_H_
