// The decisions of a query coordinator in front of a sharded, replicated store: events in, actions out.
// No I/O, no clock and no global state. Which module decides what: docs/design/routing.md.
#ifndef LIFTRUDDER_ROUTING_ROUTER_H_
#define LIFTRUDDER_ROUTING_ROUTER_H_

#include <cstdint>
#include <memory>
#include <span>
#include <vector>

#include "routing/actions.h"
#include "routing/events.h"
#include "routing/reasons.h"
#include "routing/settings.h"
#include "routing/types.h"

namespace liftrudder::routing {

// The router of one coordinator. Not thread-safe; instances share nothing. The same settings, seed and events
// give the same actions. With settings that CheckSettings finds impossible it fails every query at once and
// does nothing else.
class Router {
 public:
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Runs one round. All events happen at `now`, which must not go backwards; the actions appended take effect
  // at `now`, in order. `pending`, where given, gets an entry for each shard request that is not sent, or not
  // sent again, whenever the reason changes.
  void Handle(Micros now, std::span<const Event> events, std::vector<Action>& actions,
              std::vector<PendingShardRequest>* pending = nullptr);

  // How many listed endpoints the last round avoided: draining, ejected, or in an ejected zone. An ejected
  // one still gets probe requests, and others where no healthy replica is left.
  int Avoided() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ROUTER_H_
