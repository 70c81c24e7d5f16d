// When the core's next round may begin. Decides from what the last one took; no clock, no thread, no lock of
// its own. Never sooner than a resolution after the last one began. A round costs the more the more holders
// and open parts there are (some 50 us with 170 of each), and answers to a wide query come all the time: on a
// small share of a core a round for each resolution would take most of it.
#ifndef LIFTRUDDER_COORDINATOR_ROUND_PACER_H_
#define LIFTRUDDER_COORDINATOR_ROUND_PACER_H_

#include <algorithm>

#include "routing/router.h"

namespace liftrudder::coordinator {

class RoundPacer {
 public:
  using Micros = routing::Micros;

  // Rounds for answers and timers get this share of the time, and are no further apart than that share of the
  // least aim: by so much an answer may come later.
  static constexpr double kRounds = 0.1;
  static constexpr double kMostApart = 0.01;

  explicit RoundPacer(const routing::Settings& settings)
      : decision_interval_us_(settings.decision_interval_us) {
    Micros least = settings.classes.empty() ? 0 : settings.classes[0].latency_objective_us;
    for (const routing::QueryClassSettings& one : settings.classes)
      least = std::min(least, one.latency_objective_us);
    most_us_ = std::max(decision_interval_us_, static_cast<Micros>(kMostApart * static_cast<double>(least)));
    apart_us_ = decision_interval_us_;
  }

  void Began(Micros now_us) { began_us_ = now_us; }
  void Ended(Micros now_us) {
    auto share = static_cast<Micros>(static_cast<double>(now_us - began_us_) / kRounds);
    apart_us_ = std::clamp(share, decision_interval_us_, most_us_);
  }

  // For an arrival or news of holders, which a client or a drain waits for.
  Micros Soon() const { return began_us_ + decision_interval_us_; }
  // For answers and timers, which one round takes together.
  Micros Later() const { return began_us_ + apart_us_; }
  Micros Last() const { return began_us_; }

 private:
  Micros decision_interval_us_, most_us_ = 0;
  Micros apart_us_ = 0;  // from the beginning of the last round to that of the next
  Micros began_us_ = 0;
};

}  // namespace liftrudder::coordinator

#endif  // LIFTRUDDER_COORDINATOR_ROUND_PACER_H_
