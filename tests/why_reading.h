// What the tests read of a record: the stories themselves, where the program holds one at a time.
#ifndef LIFTRUDDER_TESTS_WHY_READING_H_
#define LIFTRUDDER_TESTS_WHY_READING_H_

#include <utility>
#include <vector>

#include "why/reader.h"

namespace liftrudder::tests {

struct Kept : why::Found {
  std::vector<why::Story> stories;
};

inline Kept ReadAll(const why::Arena& arena, const why::Filter& filter) {
  Kept out;
  std::vector<why::Story> stories;
  static_cast<why::Found&>(out) = why::Reader(arena).Find(filter, [&stories](const why::Story& story) {
    stories.push_back(story);
    return true;
  });
  out.stories = std::move(stories);
  return out;
}

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_WHY_READING_H_
