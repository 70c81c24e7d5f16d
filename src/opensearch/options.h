// The options of the search API. The operator's file holds them beside the coordinator's configuration.
#ifndef LIFTRUDDER_OPENSEARCH_OPTIONS_H_
#define LIFTRUDDER_OPENSEARCH_OPTIONS_H_

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"

namespace liftrudder::opensearch {

struct IndexOptions {
  int class_index = 0;
  int complete_class_index = 0;  // for counts, scrolls and searches that do not allow partial results
  std::vector<coordinator::ShardRequest> shard_requests;
};

struct Options {
  std::map<std::string, IndexOptions, std::less<>> indices;
  std::int64_t result_window = 1000;
  std::size_t max_scrolls = 64;
  coordinator::Micros max_keep_alive_us = 300'000'000;
  std::string tiebreak = "_id";  // a field whose value is unique in an index
};

// The options cannot be used; what() names the member or value at fault. Thrown at start-up only: a
// reload does not read these options.
class OptionsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws OptionsError.
Options ParseOptions(std::string_view text, const config::Config& config);

}  // namespace liftrudder::opensearch

#endif  // LIFTRUDDER_OPENSEARCH_OPTIONS_H_
