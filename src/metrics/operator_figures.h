// The figures that operators' tools fetch from the admin server: requests and attempts by class, and the
// state of the cluster. A request is counted once, when it ends, and an attempt once, when it has been
// written completely. No decision reads the figures. Thread-safe.
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
    Counter attempts_written;  // attempts written completely
  };

  // `classes`: the names of the query classes, by class index.
  explicit OperatorFigures(std::vector<std::string> classes);

  // The figures of a class, by its index or name; null when there is no such class. Owned by this object.
  ClassFigures* FindClass(int class_index);
  ClassFigures* FindClass(const std::string& class_name);
  // Counts a request by the HTTP status of its response; does nothing when `figures` is null.
  static void CountResponse(ClassFigures* figures, int status);

  Counter requests_in_progress;
  Counter cluster_size;       // endpoints listed
  Counter cluster_unhealthy;  // of these, endpoints that the router avoids

  // Returns the figures in the Prometheus text format.
  std::string Text() const;

 private:
  const std::vector<std::string> class_names_;
  std::vector<ClassFigures> by_class_;  // its size never changes
};

}  // namespace liftrudder::metrics

#endif  // LIFTRUDDER_METRICS_OPERATOR_FIGURES_H_
