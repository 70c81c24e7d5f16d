#include "routing/settings.h"

#include <algorithm>

namespace liftrudder::routing {
namespace {

// Decision rounds reserved before a deadline, so that an answer decided in time also arrives in time.
constexpr double kAnswerMarginRounds = 3;

}  // namespace

double MinLatencyObjectiveUs(const Settings& settings) {
  auto min_objective_us = static_cast<double>(settings.classes.at(0).latency_objective_us);
  for (const QueryClassSettings& cls : settings.classes) {
    int phases = cls.fetch_phase_requests > 0 ? 2 : 1;
    min_objective_us = std::min(min_objective_us, static_cast<double>(cls.latency_objective_us) / phases);
  }
  return min_objective_us;
}

Micros AnswerMarginUs(const Settings& settings) {
  auto round_us = static_cast<double>(std::max<Micros>(settings.decision_interval_us, 1));
  return static_cast<Micros>(kAnswerMarginRounds * round_us);
}

}  // namespace liftrudder::routing
