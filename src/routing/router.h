// Makes the decisions of a query coordinator in front of a sharded, replicated store: takes events and
// returns actions. Does no I/O, reads no clock and has no global state. docs/design/routing.md lists the
// modules and what each decides.
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

// The router of one coordinator. Not thread-safe; instances share no state. The same settings, seed and
// events give the same actions. With settings that CheckSettings finds invalid it fails every query at once
// and does nothing else.
class Router {
 public:
  Router(const Settings& settings, std::uint64_t seed);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  // Runs one round. `now` is the time of all events and must not go backwards. Appends to `actions`, which
  // take effect at `now`, in order. If `pending` is given, appends an entry for each shard request that is
  // not sent, or not retried, whenever the reason changes.
  void Handle(Micros now, std::span<const Event> events, std::vector<Action>& actions,
              std::vector<PendingShardRequest>* pending = nullptr);

  // Number of listed endpoints that the last round avoided: draining, ejected, or in an ejected zone. An
  // ejected endpoint still gets probe requests, and other requests where no healthy replica is left.
  int AvoidedEndpoints() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_ROUTER_H_
