// The walnutwing binary: `walnutwing daemon` runs a router, `walnutwing router`
// runs a router on the users' platform, `walnutwing explain` evaluates the log
// lines of routers, and all other subcommands are the operators' client.

#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "cli/explain.h"
#include "cli/run_cli.h"
#include "daemon/daemon.h"
#include "router/router.h"
#include "walnutwing/base/result_code.h"

namespace {

constexpr const char* kDaemonHelp =
  "usage: walnutwing daemon --config FILE\n"
  "Runs a router with the settings in FILE (docs/SETTINGS.md).\n"
  "SIGTERM stops it gracefully; a second one terminates what is still "
  "running.\n";

constexpr const char* kRouterHelp =
  "usage: walnutwing router [--config FILE]\n"
  "Runs a router on the users' platform (docs/ROUTER.md). Without --config "
  "the\n"
  "file's path is taken from WALNUTWING_CONFIG.\n";

int
RunRouterCommand(const std::vector<std::string>& aArguments)
{
  if (aArguments.empty()) {
    return walnutwing::router::RunRouter("");
  }
  if (aArguments.size() == 2 && aArguments[0] == "--config") {
    return walnutwing::router::RunRouter(aArguments[1]);
  }
  std::cerr << kRouterHelp;
  return walnutwing::ExitStatusOf(walnutwing::ResultCode::CommandLine);
}

int
RunDaemonCommand(const std::vector<std::string>& aArguments)
{
  if (aArguments.size() == 1 &&
      (aArguments[0] == "--help" || aArguments[0] == "-h")) {
    std::cout << kDaemonHelp;
    return 0;
  }
  constexpr std::string_view kConfigFlag = "--config=";
  if (aArguments.size() == 2 && aArguments[0] == "--config") {
    return walnutwing::RunDaemon(aArguments[1]);
  }
  if (aArguments.size() == 1 && aArguments[0].starts_with(kConfigFlag)) {
    return walnutwing::RunDaemon(aArguments[0].substr(kConfigFlag.size()));
  }
  std::cerr
    << "error 5006 command_line: daemon takes --config FILE and nothing else\n"
    << kDaemonHelp;
  return walnutwing::ExitStatusOf(walnutwing::ResultCode::CommandLine);
}

} // namespace

int
main(int aCount, char** aValues)
{
  const std::vector<std::string> arguments(aValues + 1, aValues + aCount);
  if (!arguments.empty() && arguments[0] == "daemon") {
    return RunDaemonCommand({ arguments.begin() + 1, arguments.end() });
  }
  const std::vector<std::string> rest(
    arguments.begin() + (arguments.empty() ? 0 : 1), arguments.end());
  if (!arguments.empty() && arguments[0] == "router") {
    return RunRouterCommand(rest);
  }
  if (!arguments.empty() && arguments[0] == "explain") {
    return walnutwing::RunExplain(rest, std::cin, std::cout, std::cerr);
  }
  return walnutwing::RunCli(arguments, std::cout, std::cerr);
}
