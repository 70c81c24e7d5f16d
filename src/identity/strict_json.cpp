#include "identity/strict_json.h"

#include <set>
#include <vector>

namespace liftrudder::identity {

std::variant<nlohmann::json, std::string> ReadStrictJson(std::string_view text, std::size_t most_bytes,
                                                         std::size_t most_depth) {
  using Json = nlohmann::json;
  if (text.size() > most_bytes)
    return "it has " + std::to_string(text.size()) + " bytes, " + std::to_string(most_bytes) +
           " at most are read";
  std::vector<std::set<std::string>> open;
  std::string wrong;
  // Throwing ends the reading at once: depth is bounded before the reader's own stack is.
  struct Stop {};
  auto look = [&](int depth, Json::parse_event_t event, Json& value) {
    if (static_cast<std::size_t>(depth) > most_depth) {
      wrong = "it is nested deeper than " + std::to_string(most_depth);
      throw Stop{};
    }
    if (event == Json::parse_event_t::object_start) open.emplace_back();
    if (event == Json::parse_event_t::object_end) open.pop_back();
    if (event == Json::parse_event_t::key && !open.back().insert(value.get<std::string>()).second) {
      wrong = "the member '" + value.get<std::string>() + "' is there twice";
      throw Stop{};
    }
    return true;
  };
  try {
    return Json::parse(text.begin(), text.end(), look);
  } catch (const Stop&) {
    return wrong;
  } catch (const Json::exception&) {
    return std::string("it is not JSON");
  }
}

}  // namespace liftrudder::identity
