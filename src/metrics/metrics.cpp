#include "metrics/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace liftrudder::metrics {

std::string Counters::Text() const {
  static constexpr const char* kOutcomes[] = {"ok",    "error",     "full", "timeout", "connect_failed",
                                              "reset", "cancelled", "moot"};
  std::string out;
  auto line = [&out](const char* name, const Counter& counter) {
    fmt::format_to(std::back_inserter(out), "{} {}\n", name, counter.Value());
  };
  line("queries_taken", taken);
  line("queries_turned_away", turned_away);
  line("requests_malformed", malformed);
  line("requests_denied", denied);
  line("clients_closed_for_room", evicted);
  line("clients_gone", gone);
  line("answers_whole", whole);
  line("answers_partial", partial);
  line("answers_refused", refused);
  line("answers_failed", failed);
  line("answers_late", late);
  line("attempts_sent", sent);
  line("attempts_resent", retried);
  for (std::size_t i = 0; i < outcomes.size(); ++i)
    fmt::format_to(std::back_inserter(out), "attempts_{} {}\n", kOutcomes[i], outcomes[i].Value());
  line("connections_opened", connects);
  line("connections_failed", connects_failed);
  line("connections_spoilt", spoilt);
  line("rounds", rounds);
  line("lists_told", lists);
  return out;
}

}  // namespace liftrudder::metrics
