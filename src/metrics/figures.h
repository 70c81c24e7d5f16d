// The figures that operators' tools fetch: by class of request, in the names that those tools know. Counted
// where each request and each attempt ends, once; nothing here is read by a decision. Any thread.
#ifndef LIFTRUDDER_METRICS_FIGURES_H_
#define LIFTRUDDER_METRICS_FIGURES_H_

#include <string>
#include <vector>

#include "metrics/metrics.h"

namespace liftrudder::metrics {

class Figures {
 public:
  explicit Figures(std::vector<std::string> classes);

  struct ByClass {
    Counter answered, deferred, errored, sends;
  };
  // Null for a class that there is not: such a request is nobody's.
  ByClass* Of(int class_index);
  // By its name; as above.
  ByClass* Of(const std::string& class_name);
  // How a request of that class ended, by the status that its client was given.
  static void Ended(ByClass* group, int status);

  Counter current;  // requests taken and not ended
  Counter cluster_size, cluster_unhealthy;

  std::string Text() const;

 private:
  const std::vector<std::string> names_;
  std::vector<ByClass> groups_;
};

}  // namespace liftrudder::metrics

#endif  // LIFTRUDDER_METRICS_FIGURES_H_
