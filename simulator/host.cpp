#include "simulator/host.h"

#include <algorithm>

namespace liftrudder::simulator {
namespace {

constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 30;

}  // namespace

bool ReadFrame(std::FILE* input, std::string& frame) {
  unsigned char head[4];
  std::size_t got = std::fread(head, 1, sizeof head, input);
  if (got == 0) return false;
  if (got < sizeof head) throw WireError("frame: input ends within its length");
  std::size_t size = 0;
  for (unsigned char byte : head) size = size << 8 | byte;
  if (size > kMaxFrameBytes) throw WireError("frame: length " + std::to_string(size) + " is too large");
  frame.resize(size);
  got = std::fread(frame.data(), 1, size, input);
  if (got < size) {
    throw WireError("frame: input ends at byte " + std::to_string(got + 4) + " of " +
                    std::to_string(size + 4));
  }
  return true;
}

std::string Host::Serve(std::string_view body) {
  Batch batch = decoder_.Decode(body);
  std::vector<int> order;
  std::map<int, std::vector<Event>> inbox;
  for (InstanceEvent& event : batch.events) {
    int who = event.instance;
    if (auto* created = std::get_if<Created>(&event.what)) {
      inbox.erase(who);
      instances_.insert_or_assign(who, routing::Router(created->settings, created->seed));
      continue;
    }
    if (!instances_.contains(who)) {
      throw WireError("event for instance " + std::to_string(who) +
                      ", which was never created or was killed");
    }
    if (std::holds_alternative<Killed>(event.what)) {
      instances_.erase(who);
      inbox.erase(who);
      continue;
    }
    if (std::find(order.begin(), order.end(), who) == order.end()) order.push_back(who);
    inbox[who].push_back(std::move(std::get<Event>(event.what)));
  }
  std::vector<Action> actions;
  for (int who : order) {
    auto event_queue = inbox.find(who);
    if (event_queue == inbox.end()) continue;
    actions.clear();
    instances_.at(who).Handle(batch.now, event_queue->second, actions);
    encoder_.Add(who, actions);
  }
  return encoder_.Finish();
}

}  // namespace liftrudder::simulator
