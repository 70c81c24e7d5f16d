// The figures that operators' tools fetch from the admin server: requests and attempts by class, and the
// state of the cluster. Each request and each attempt is counted once, where it ends; no decision reads the
// figures. Thread-safe.
#ifndef LIFTRUDDER_METRICS_OPERATOR_FIGURES_H_
#define LIFTRUDDER_METRICS_OPERATOR_FIGURES_H_

#include <string>
#include <vector>

#include "metrics/metrics.h"

namespace liftrudder::metrics {

class OperatorFigures {
 public:
  struct ClassFigures {
    Counter answered;
    Counter rejected;
    Counter failed;
    Counter sends;  // attempts sent
  };

  // `classes`: the names of the query classes, by class index.
  explicit OperatorFigures(std::vector<std::string> classes);

  // The figures of a class, by its index or name; null when there is no such class. Valid as long as this.
  ClassFigures* Of(int class_index);
  ClassFigures* Of(const std::string& class_name);
  // Counts a request by the HTTP status that its client was given; nothing when `figures` is null.
  static void CountAnswer(ClassFigures* figures, int status);

  Counter current;            // requests in progress
  Counter cluster_size;       // endpoints listed
  Counter cluster_unhealthy;  // of these, endpoints that are avoided

  // The figures in the text format of Prometheus.
  std::string Text() const;

 private:
  const std::vector<std::string> class_names_;
  std::vector<ClassFigures> by_class_;  // its size never changes
};

}  // namespace liftrudder::metrics

#endif  // LIFTRUDDER_METRICS_OPERATOR_FIGURES_H_
