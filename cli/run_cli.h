#ifndef WALNUTWING_CLI_RUN_CLI_H_
#define WALNUTWING_CLI_RUN_CLI_H_

// The operators' client: the subcommands of `walnutwing` in CommandTable.

#include <ostream>
#include <span>
#include <string>

namespace walnutwing {

// Runs one command. aArguments are the arguments after the program's name.
// Output goes to aOut. If the command fails, the last line on aErr names the
// result code. Returns the exit status, as listed in docs/ERRORS.md.
int
RunCli(std::span<const std::string> aArguments,
       std::ostream& aOut,
       std::ostream& aErr);

// Returns the help text, which lists all commands and flags.
std::string
CliHelp();

} // namespace walnutwing

#endif // WALNUTWING_CLI_RUN_CLI_H_
