// What the tests read of a record: the stories themselves, where the program holds one at a time.
#ifndef LIFTRUDDER_TESTS_SUPPORT_EXPLAIN_READING_H_
#define LIFTRUDDER_TESTS_SUPPORT_EXPLAIN_READING_H_

#include <utility>
#include <vector>

#include "decision_log/reader.h"

namespace liftrudder::tests {

struct Kept : decision_log::Found {
  std::vector<decision_log::Story> stories;
};

inline Kept ReadAll(const decision_log::Arena& arena, const decision_log::Filter& filter) {
  Kept out;
  std::vector<decision_log::Story> stories;
  static_cast<decision_log::Found&>(out) = decision_log::Reader(arena).Find(filter, [&stories](const decision_log::Story& story) {
    stories.push_back(story);
    return true;
  });
  out.stories = std::move(stories);
  return out;
}

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SUPPORT_EXPLAIN_READING_H_
