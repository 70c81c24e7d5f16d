#include "scenario/scenario.h"

#include <csignal>
#include <exception>
#include <sstream>

#include "scenario/player.h"

namespace liftrudder::tests {

void Play(const std::string& program, const std::string& scenario) {
  ::signal(SIGPIPE, SIG_IGN);
  Player player(program);
  std::istringstream lines(scenario);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (line.empty() || line.front() == '#') continue;
    try {
      player.Execute(line);
    } catch (const std::exception& error) {
      throw ScenarioError("line " + std::to_string(number) + ": " + line + "\n" + error.what());
    }
  }
  player.StopProgram();
}

}  // namespace liftrudder::tests
