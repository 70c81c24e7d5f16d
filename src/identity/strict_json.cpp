#include "identity/strict_json.h"

#include <fmt/format.h>

#include <set>
#include <string>
#include <vector>

namespace liftrudder::identity {
namespace {

using Json = nlohmann::json;

// Thrown by the parser's callback and caught in ParseStrictJson: the parser cannot be stopped in another way,
// and deep nesting must be rejected before it exhausts the parser's own stack.
struct RejectedJson {
  ReadError error;
};

// The parser's callback; stops the parser at a duplicate member or too deep nesting.
class StructureChecker {
 public:
  explicit StructureChecker(std::size_t max_depth) : max_depth_(max_depth) {}

  bool operator()(int depth, Json::parse_event_t event, const Json& value) {
    if (static_cast<std::size_t>(depth) > max_depth_) {
      throw RejectedJson{{"", fmt::format("it is nested deeper than {}", max_depth_)}};
    }
    if (event == Json::parse_event_t::object_start) open_objects_.emplace_back();
    if (event == Json::parse_event_t::object_end) open_objects_.pop_back();
    if (event == Json::parse_event_t::key) CheckUnique(value.get<std::string>());
    return true;
  }

 private:
  void CheckUnique(const std::string& member) {
    bool is_new = open_objects_.back().insert(member).second;
    if (!is_new) throw RejectedJson{{"", fmt::format("the member '{}' is there twice", member)}};
  }

  const std::size_t max_depth_;
  std::vector<std::set<std::string>> open_objects_;  // member names seen so far, outermost object first
};

}  // namespace

tl::expected<Json, ReadError> ParseStrictJson(std::string_view text, std::size_t max_bytes,
                                              std::size_t max_depth) {
  if (text.size() > max_bytes) {
    return tl::unexpected(
        ReadError{"", fmt::format("it has {} bytes, {} at most are read", text.size(), max_bytes)});
  }
  StructureChecker checker(max_depth);
  auto callback = [&checker](int depth, Json::parse_event_t event, Json& value) {
    return checker(depth, event, value);
  };
  try {
    return Json::parse(text.begin(), text.end(), callback);
  } catch (const RejectedJson& rejected) {
    return tl::unexpected(rejected.error);
  } catch (const Json::exception&) {
    return tl::unexpected(ReadError{"", "it is not JSON"});
  }
}

}  // namespace liftrudder::identity
