// The configuration of a scenario before its `set` statements.
#ifndef LIFTRUDDER_TESTS_SCENARIO_CONFIGURATION_H_
#define LIFTRUDDER_TESTS_SCENARIO_CONFIGURATION_H_

#include <nlohmann/json.hpp>

namespace liftrudder::tests {

nlohmann::json DefaultConfiguration();

}  // namespace liftrudder::tests

#endif  // LIFTRUDDER_TESTS_SCENARIO_CONFIGURATION_H_
