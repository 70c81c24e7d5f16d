// The query coordinator's program: parses the arguments, then serves queries or runs a sub-command.
#include <CLI/CLI.hpp>
#include <exception>
#include <functional>
#include <string>
#include <utility>

#include "app/coordinator_server.h"
#include "app/explain_command.h"
#include "app/identity_command.h"
#include "app/serve_options.h"
#include "app/signals.h"
#include "log/log.h"

namespace app = liftrudder::app;

int main(int argc, char** argv) try {
  const app::ControlSignals signals;
  CLI::App program(
      "A query coordinator for lesson search and booking. Without a sub-command it serves queries.",
      "liftrudder");
  std::string search_file;
  program.add_option(
      "--opensearch", search_file,
      "Serve the search API with this configuration file, in place of the platform's protocols");
  std::function<int()> sub_command;
  app::AddExplainCommand(program, sub_command);
  app::AddIdentityCommands(program, sub_command);
  try {
    program.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return program.exit(error) == 0 ? 0 : app::kBadUsage;
  }
  if (sub_command) return sub_command();
  app::IgnoreBrokenPipes();
  app::ServeOptions options =
      search_file.empty() ? app::ReadPlatformOptions() : app::ReadSearchOptions(search_file);
  app::CoordinatorServer server(std::move(options), signals);
  server.Run();
  return 0;
} catch (const std::exception& error) {
  liftrudder::log::Error("{}", error.what());
  return 1;
}
