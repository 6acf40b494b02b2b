// Binary of the router only, as deployed on the users' platform. The main
// binary (daemon/main.cc) has the same subcommand.

#include <iostream>
#include <string_view>

#include "router/router.h"
#include "walnutwing/base/result_code.h"

int
main(int aCount, char** aValues)
{
  using namespace walnutwing;
  const std::string_view command = aCount > 1 ? aValues[1] : "";
  if (command == "router" && aCount == 2) {
    return router::RunRouter("");
  }
  if (command == "router" && aCount == 4 &&
      std::string_view(aValues[2]) == "--config") {
    return router::RunRouter(aValues[3]);
  }
  std::cerr << "usage: walnutwing router [--config FILE]\n"
               "Without --config the file's path is taken from "
               "WALNUTWING_CONFIG (docs/ROUTER.md).\n";
  return ExitStatusOf(ResultCode::CommandLine);
}
