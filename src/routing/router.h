// The decisions of a query router in front of a sharded, replicated store: events in, actions out.
#ifndef LIFTRUDDER_ROUTING_ROUTER_H_
#define LIFTRUDDER_ROUTING_ROUTER_H_

#include <memory>
#include <span>
#include <vector>

#include "routing/actions.h"
#include "routing/events.h"
#include "routing/reasons.h"
#include "routing/settings.h"
#include "routing/types.h"

namespace liftrudder::routing {

// One aggregator. Not thread-safe; instances share nothing. Same settings, seed and events: same actions.
// With settings that CheckSettings turns down it fails every query at once and does nothing else.
class Router {
 public:
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // All events happen at `now`; the actions appended take effect at `now`, in order. `held`, where given,
  // gets a line for each part that is not sent, or not sent again, whenever the reason changes.
  void Handle(Micros now, std::span<const Event> events, std::vector<Action>& actions,
              std::vector<PendingShardRequest>* pending = nullptr);
  // Replicas listed that got nothing new of their own accord in the last round: they drain, look sick or are
  // far.
  int Avoided() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ROUTER_H_
