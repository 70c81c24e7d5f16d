#include "routing/settings_validation.h"

#include <gtest/gtest.h>

#include "routing/router_harness.h"

namespace liftrudder::routing {
namespace {

TEST(SettingsValidation, ReportsImpossibleSettingsAndEveryQueryFails) {
  Settings settings = BaseSettings();
  settings.reach = 9;
  EXPECT_TRUE(CheckSettings(settings).has_value());
  EXPECT_FALSE(CheckSettings(BaseSettings()).has_value());
  RouterHarness harness(settings);
  harness.ReceiveQuery(1, kCompleteOnly, {1});
  EXPECT_EQ(harness.LastActions<Fail>().size(), 1u);
}

}  // namespace
}  // namespace liftrudder::routing
