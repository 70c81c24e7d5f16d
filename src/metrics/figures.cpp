#include "metrics/figures.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace liftrudder::metrics {

Figures::Figures(std::vector<std::string> classes) : names_(std::move(classes)), groups_(names_.size()) {}

Figures::ByClass* Figures::Of(int class_index) {
  auto index = static_cast<std::size_t>(class_index);
  return class_index >= 0 && index < groups_.size() ? &groups_[index] : nullptr;
}

Figures::ByClass* Figures::Of(const std::string& class_name) {
  return Of(static_cast<int>(std::ranges::find(names_, class_name) - names_.begin()));
}

void Figures::Ended(ByClass* group, int status) {
  if (group == nullptr) return;
  if (status == 200) return group->answered.Add();
  (status == 429 || status == 503 ? group->deferred : group->errored).Add();
}

std::string Figures::Text() const {
  std::string out;
  auto of_class = [&](const char* name, Counter ByClass::*observed) {
    for (std::size_t i = 0; i < groups_.size(); ++i) {
      fmt::format_to(std::back_inserter(out), "app_{}{{group=\"{}\"}} {}\n", name, names_[i],
                     (groups_[i].*observed).Value());
    }
  };
  of_class("answered_total", &ByClass::answered);
  of_class("deferred_total", &ByClass::deferred);
  of_class("errored_total", &ByClass::errored);
  of_class("sends_total", &ByClass::sends);
  fmt::format_to(std::back_inserter(out), "app_current {}\napp_cluster_size {}\napp_cluster_unhealthy {}\n",
                 current.Value(), cluster_size.Value(), cluster_unhealthy.Value());
  return out;
}

}  // namespace liftrudder::metrics
