#include "metrics/operator_figures.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "metrics/wire_names.h"

namespace liftrudder::metrics {
namespace {

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

}  // namespace

OperatorFigures::OperatorFigures(std::vector<std::string> classes)
    : class_names_(std::move(classes)), by_class_(class_names_.size()) {}

OperatorFigures::ClassFigures* OperatorFigures::FindClass(int class_index) {
  auto index = static_cast<std::size_t>(class_index);
  return class_index >= 0 && index < by_class_.size() ? &by_class_[index] : nullptr;
}

OperatorFigures::ClassFigures* OperatorFigures::FindClass(const std::string& class_name) {
  return FindClass(static_cast<int>(std::ranges::find(class_names_, class_name) - class_names_.begin()));
}

void OperatorFigures::CountResponse(ClassFigures* figures, int status) {
  if (figures == nullptr) return;
  if (status == kOk) {
    figures->answered.Add();
  } else if (status == kTooManyRequests || status == kServiceUnavailable) {
    figures->rejected.Add();
  } else {
    figures->failed.Add();
  }
}

std::string OperatorFigures::Text() const {
  std::string text;
  auto lines_by_class = [&](const char* name, Counter ClassFigures::*counter) {
    for (std::size_t i = 0; i < by_class_.size(); ++i) {
      fmt::format_to(std::back_inserter(text), "{}{{{}=\"{}\"}} {}\n", name, wire_names::kClassLabel,
                     class_names_[i], (by_class_[i].*counter).Value());
    }
  };
  auto line = [&](const char* name, const Counter& counter) {
    fmt::format_to(std::back_inserter(text), "{} {}\n", name, counter.Value());
  };
  lines_by_class(wire_names::kAnsweredTotal, &ClassFigures::answered);
  lines_by_class(wire_names::kRejectedTotal, &ClassFigures::rejected);
  lines_by_class(wire_names::kFailedTotal, &ClassFigures::failed);
  lines_by_class(wire_names::kAttemptsTotal, &ClassFigures::attempts_written);
  line(wire_names::kCurrent, requests_in_progress);
  line(wire_names::kClusterSize, cluster_size);
  line(wire_names::kClusterUnhealthy, cluster_unhealthy);
  return text;
}

}  // namespace liftrudder::metrics
