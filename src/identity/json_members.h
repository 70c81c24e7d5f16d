// Reads the members of an object in an operator's file. Plain class, any thread.
#ifndef LIFTRUDDER_IDENTITY_JSON_MEMBERS_H_
#define LIFTRUDDER_IDENTITY_JSON_MEMBERS_H_

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace liftrudder::identity {

// One member after the other, each told where it stands; what is not known is an error, since a right that is
// misspelt would be one that is not held against anybody.
class JsonMembers {
 public:
  JsonMembers(const nlohmann::json& object, std::string where) : object_(object), where_(std::move(where)) {
    if (!object.is_object()) Wrong("is not an object");
  }

  template <typename T>
  void Take(const char* name, T& out) {
    known_.insert(name);
    auto found = object_.find(name);
    if (found == object_.end()) return;
    bool fits = std::is_same_v<T, bool> ? found->is_boolean() : found->is_string();
    if constexpr (std::is_same_v<T, std::vector<std::string>>) {
      fits = found->is_array();
      for (const nlohmann::json& one : *found) fits = fits && one.is_string();
    }
    if (!fits) return Wrong(fmt::format("[{}] is of another kind", name));
    found->get_to(out);
  }
  std::int64_t Number(const char* name, std::int64_t least, std::int64_t most, std::int64_t otherwise) {
    known_.insert(name);
    auto found = object_.find(name);
    if (found == object_.end()) return otherwise;
    if (!found->is_number_integer() || found->get<std::int64_t>() < least ||
        found->get<std::int64_t>() > most)
      Wrong(fmt::format("[{}] must be a whole number from {} to {}", name, least, most));
    return wrong.empty() ? found->get<std::int64_t>() : otherwise;
  }
  const nlohmann::json* Member(const char* name) {
    known_.insert(name);
    auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
  }
  void End() {
    if (!object_.is_object()) return;
    for (const auto& [name, value] : object_.items())
      if (!known_.contains(name)) Wrong(fmt::format("[{}] is not known", name));
  }
  void Wrong(const std::string& what) {
    if (wrong.empty()) wrong = fmt::format("{}: {}", where_, what);
  }

  std::string wrong;

 private:
  const nlohmann::json& object_;
  std::string where_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_JSON_MEMBERS_H_
