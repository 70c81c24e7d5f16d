// Decides when a query ends and how: answered completely or partially, or abandoned. Owned by one router; not
// thread-safe. Sends nothing.
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
  bool all_answered = false;      // every shard request of the phase is, and there is at least one
  bool losses_elevated = false;   // endpoints were recently lost unannounced
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

  // How the query ends now; none if it continues.
  std::optional<Completion> Decide(const Query& query, const CompletionInputs& inputs) const;

  // Whether an abandoned query is rejected, which means that its client may safely repeat it, or else fails.
  // It may if nothing of the query can have run, or if no repeat by its client can begin too late for its
  // class (LatestRepeatUs). Clients repeat a query until their timeout ends, whatever Retry-After says.
  bool MayReject(const Query& query, const QueryTable& queries, Micros now) const;

  // The Retry-After of a rejected query; 0 where the settings allow none.
  Micros RetryAfterUs(double shedding_probability) const;

  // Whether most of the requests sent are answered, so that the others are stragglers.
  static bool MostlyAnswered(const Query& query);

 private:
  std::optional<Completion> DecidePartial(const Query& query, const CompletionInputs& inputs) const;
  std::optional<Completion> DecideAbandon(const Query& query, const CompletionInputs& inputs) const;
  bool IsExpired(const Query& query, Micros now) const {
    return now >= query.deadline_us - answer_margin_us_;
  }
  static std::optional<Micros> FirstPossibleRunUs(const Query& query, const QueryTable& queries);
  Micros ClientGivesUpUs(const Query& query) const;
  Completion ExpiredCompletion(const Query& query, Micros now) const;
  Micros PartialAnswerAtUs(const Query& query, double p90_latency_us) const;

  const Settings& settings_;
  double min_latency_objective_us_;
  Micros answer_margin_us_;
};

}  // namespace liftrudder::routing

#endif  // LIFTRUDDER_ROUTING_COMPLETION_POLICY_H_
