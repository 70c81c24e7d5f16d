#include "simulator/host.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

namespace liftrudder::simulator {
namespace {

constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 30;
constexpr std::size_t kLengthBytes = 4;

}  // namespace

std::optional<std::string> ReadFrame(std::FILE* input) {
  std::array<unsigned char, kLengthBytes> length{};
  const std::size_t length_read = std::fread(length.data(), 1, length.size(), input);
  if (length_read == 0) return std::nullopt;
  if (length_read < length.size()) throw WireError("frame: input ends within its length field");
  std::size_t size = 0;
  for (unsigned char byte : length) size = size << 8 | byte;
  if (size > kMaxFrameBytes) throw WireError("frame: length " + std::to_string(size) + " is too large");
  std::string frame(size, '\0');
  const std::size_t read = std::fread(frame.data(), 1, size, input);
  if (read < size) {
    throw WireError("frame: input ends at byte " + std::to_string(read + kLengthBytes) + " of " +
                    std::to_string(size + kLengthBytes));
  }
  return frame;
}

std::string Host::Serve(std::string_view body) {
  Batch batch = decoder_.Decode(body);
  std::vector<routing::Action> actions;
  for (const EventGroup& group : GroupByInstance(batch.events)) {
    if (group.events.empty()) continue;
    actions.clear();
    instances_.at(group.instance).Handle(batch.now_us, group.events, actions);
    encoder_.Add(group.instance, actions);
  }
  return encoder_.Finish();
}

std::vector<Host::EventGroup> Host::GroupByInstance(std::vector<InstanceEvent>& events) {
  std::vector<EventGroup> groups;
  auto find = [&groups](int instance) { return std::ranges::find(groups, instance, &EventGroup::instance); };
  auto drop_earlier_events = [&](int instance) {
    auto group = find(instance);
    if (group != groups.end()) group->events.clear();
  };
  for (InstanceEvent& event : events) {
    const int instance = event.instance;
    if (auto* created = std::get_if<InstanceCreated>(&event.payload)) {
      drop_earlier_events(instance);
      instances_.insert_or_assign(instance, routing::Router(created->settings, created->seed));
      continue;
    }
    if (!instances_.contains(instance)) {
      throw WireError("event for instance " + std::to_string(instance) +
                      ", which was never created or was killed");
    }
    if (std::holds_alternative<InstanceKilled>(event.payload)) {
      instances_.erase(instance);
      drop_earlier_events(instance);
      continue;
    }
    auto group = find(instance);
    if (group == groups.end()) group = groups.insert(groups.end(), EventGroup{instance, {}});
    group->events.push_back(std::move(std::get<routing::Event>(event.payload)));
  }
  return groups;
}

}  // namespace liftrudder::simulator
