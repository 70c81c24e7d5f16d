// Reads the members of one object in the operator's file and keeps the first error. Not thread-safe.
#ifndef LIFTRUDDER_IDENTITY_JSON_MEMBERS_H_
#define LIFTRUDDER_IDENTITY_JSON_MEMBERS_H_

#include <fmt/format.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "identity/read_error.h"

namespace liftrudder::identity {

// The range that a number must lie in, and its value if the member is absent.
struct NumberRange {
  std::int64_t min = 0;
  std::int64_t max = 0;
  std::int64_t fallback = 0;
};

// Unknown members are an error: a misspelt permission would otherwise be ignored silently.
class JsonMembers {
 public:
  // `where` is the place that errors name. `object` must outlive the reader.
  JsonMembers(const nlohmann::json& object, std::string where) : object_(object), where_(std::move(where)) {
    if (!object.is_object()) Fail("must be a JSON object");
  }

  // Reads a bool, a string or a list of strings; an absent member leaves `value` as it is.
  template <typename T>
  void Read(const char* name, T& value) {
    const nlohmann::json* member = Find(name);
    if (member == nullptr) return;
    if (!HasType<T>(*member)) return Fail(fmt::format("[{}] has the wrong type", name));
    member->get_to(value);
  }

  std::int64_t ReadNumber(const char* name, const NumberRange& range) {
    const nlohmann::json* member = Find(name);
    if (member == nullptr) return range.fallback;
    bool fits = member->is_number_integer() && member->get<std::int64_t>() >= range.min &&
                member->get<std::int64_t>() <= range.max;
    if (!fits) Fail(fmt::format("[{}] must be a whole number from {} to {}", name, range.min, range.max));
    return fits ? member->get<std::int64_t>() : range.fallback;
  }

  // Returns null if there is no such member, or if the value is not an object.
  const nlohmann::json* Find(const char* name) {
    known_.insert(name);
    if (!object_.is_object()) return nullptr;
    auto found = object_.find(name);
    return found == object_.end() ? nullptr : &*found;
  }

  // Makes every member that has not been read an error; call it last.
  void RejectUnknown() {
    if (!object_.is_object()) return;
    for (const auto& [name, value] : object_.items()) {
      if (!known_.contains(name)) Fail(fmt::format("[{}] is not known", name));
    }
  }

  // Only the first error is kept.
  void Fail(const std::string& problem) {
    if (!error_) error_ = ReadError{where_, problem};
  }

  const std::optional<ReadError>& error() const { return error_; }

 private:
  template <typename T>
  static bool HasType(const nlohmann::json& member) {
    if constexpr (std::is_same_v<T, bool>) {
      return member.is_boolean();
    } else if constexpr (std::is_same_v<T, std::vector<std::string>>) {
      if (!member.is_array()) return false;
      for (const nlohmann::json& element : member) {
        if (!element.is_string()) return false;
      }
      return true;
    } else {
      return member.is_string();
    }
  }

  const nlohmann::json& object_;
  std::string where_;
  std::set<std::string, std::less<>> known_;
  std::optional<ReadError> error_;
};

}  // namespace liftrudder::identity

#endif  // LIFTRUDDER_IDENTITY_JSON_MEMBERS_H_
