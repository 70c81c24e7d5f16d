// When a query ends, and how: a complete or partial answer, or given up on. Owned by one router; not
// thread-safe. It sends nothing.
#ifndef LIFTRUDDER_ROUTING_COMPLETION_POLICY_H_
#define LIFTRUDDER_ROUTING_COMPLETION_POLICY_H_

#include <cstdint>
#include <optional>

#include "routing/query_table.h"
#include "routing/reasons.h"
#include "routing/settings.h"
#include "routing/types.h"

namespace liftrudder::routing {

struct CompletionInputs {
  double reachable_coverage = 0;  // weight answered, in flight, or that may still be sent
  bool all_answered = false;      // every shard request of the phase, and there is one
  bool losses_elevated = false;   // endpoints were lost unannounced of late
  double p90_latency_us = 0;
  Micros now = 0;
};

enum class CompletionKind : std::uint8_t { kAnswer, kAbandon };

struct Completion {
  CompletionKind kind = CompletionKind::kAnswer;
  bool complete = false;  // of kAnswer
  CompletionReason reason;
};

class CompletionPolicy {
 public:
  // `settings` must outlive it.
  explicit CompletionPolicy(const Settings& settings);

  // How the query ends now; none when it goes on.
  std::optional<Completion> Decide(const Query& query, const CompletionInputs& inputs) const;

  // Whether an abandoned query is rejected, which promises that its client may repeat it, rather than failed.
  bool MayReject(const Query& query, const QueryTable& queries, Micros now) const;

  // The Retry-After of a rejected query; 0 where the settings allow none.
  Micros RetryAfterUs(double shedding_probability) const;

  // Most requests of those sent are answered: the others are stragglers.
  static bool MostlyAnswered(const Query& query);

 private:
  std::optional<Completion> Partial(const Query& query, const CompletionInputs& inputs) const;
  std::optional<Completion> Hopeless(const Query& query, const CompletionInputs& inputs) const;
  bool Expired(const Query& query, Micros now) const { return now >= query.deadline_us - answer_margin_us_; }
  Completion ExpiredCompletion(const Query& query, Micros now) const;
  Micros PartialAnswerAtUs(const Query& query, double p90_latency_us) const;

  const Settings& settings_;
  double min_latency_objective_us_;
  Micros answer_margin_us_;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_COMPLETION_POLICY_H_
